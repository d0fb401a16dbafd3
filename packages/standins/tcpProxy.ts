import { createConnection, createServer, type Socket } from 'node:net';
import type { Address } from '@anvilpaddle/common';

/** TCP link in front of a process, for tests that cut or slow what passes. */
export interface TcpProxy {
  /** Drops connections from an IP address and refuses new ones; from all when missing. */
  disconnect(from?: string): void;
  /** Holds back bytes without closing, as a network that swallows packets does. */
  stall(from?: string): void;
  /** Delays bytes in both directions by milliseconds. */
  setDelay(delayMs: number): void;
  restore(): void;
  close(): Promise<void>;
}

const ALL = '*';

/** Starts a link that listens on one address and passes bytes to another. */
export const newTcpProxy = async (address: Address, target: Address): Promise<TcpProxy> => {
  const cutFrom = new Set<string>();
  const stalledFrom = new Set<string>();
  const pairs = new Map<Socket, { from: string; out: Socket }>();
  let delayMs = 0;

  const isIn = (set: ReadonlySet<string>, from: string): boolean => set.has(from) || set.has(ALL);

  const pass = (source: Socket, sink: Socket, from: string): void => {
    source.on('data', (bytes) => {
      const deliver = (): void => {
        if (isIn(stalledFrom, from)) setTimeout(deliver, 20).unref();
        else if (!sink.destroyed) sink.write(bytes);
      };
      if (delayMs === 0 && !isIn(stalledFrom, from)) deliver();
      else setTimeout(deliver, delayMs).unref();
    });
    source.on('error', () => sink.destroy());
    source.on('close', () => setTimeout(() => sink.destroy(), delayMs).unref());
  };

  const server = createServer((socket) => {
    const from = socket.remoteAddress ?? '';
    if (isIn(cutFrom, from)) {
      socket.destroy();
      return;
    }
    const out = createConnection({ ...target, localAddress: from });
    pairs.set(socket, { from, out });
    socket.on('close', () => pairs.delete(socket));
    pass(socket, out, from);
    pass(out, socket, from);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });

  const drop = (from: string): void =>
    pairs.forEach((pair, socket) => {
      if (from !== ALL && pair.from !== from) return;
      socket.destroy();
      pair.out.destroy();
    });

  return {
    disconnect: (from = ALL) => {
      cutFrom.add(from);
      drop(from);
    },
    stall: (from = ALL) => {
      stalledFrom.add(from);
    },
    setDelay: (ms) => {
      delayMs = ms;
    },
    restore: () => {
      cutFrom.clear();
      stalledFrom.clear();
      delayMs = 0;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        drop(ALL);
      }),
  };
};
