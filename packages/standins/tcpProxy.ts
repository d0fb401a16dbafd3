/** TCP proxy that injects network faults. */
import { createConnection, createServer, type Socket } from 'node:net';
import type { Address } from '@anvilpaddle/common';

/** TCP proxy in front of a process that injects network faults in tests. */
export interface TcpProxy {
  /** Closes connections from an IP address and refuses new ones; from all addresses by default. */
  disconnect(from?: string): void;
  /** Holds back all bytes but keeps connections open, as a network that loses packets does. */
  stall(from?: string): void;
  /** Delays bytes in both directions by a time in milliseconds. */
  setDelay(delayMs: number): void;
  /** Ends all faults; closed connections stay closed. */
  restore(): void;
  close(): Promise<void>;
}

/** Matches every client address. */
const ANY_CLIENT = '*';

/** Starts a proxy that listens on one address and relays bytes to and from another. */
export const newTcpProxy = async (address: Address, target: Address): Promise<TcpProxy> => {
  const disconnectedClients = new Set<string>();
  const stalledClients = new Set<string>();
  const connections = new Map<Socket, { from: string; targetSocket: Socket }>();
  let delayMs = 0;

  const includesClient = (set: ReadonlySet<string>, from: string): boolean =>
    set.has(from) || set.has(ANY_CLIENT);

  const relay = (source: Socket, destination: Socket, from: string): void => {
    source.on('data', (bytes) => {
      const deliver = (): void => {
        // While the client is stalled, tries again until the stall ends.
        if (includesClient(stalledClients, from)) setTimeout(deliver, 20).unref();
        else if (!destination.destroyed) destination.write(bytes);
      };
      if (delayMs === 0 && !includesClient(stalledClients, from)) deliver();
      else setTimeout(deliver, delayMs).unref();
    });
    source.on('error', () => destination.destroy());
    source.on('close', () => setTimeout(() => destination.destroy(), delayMs).unref());
  };

  const server = createServer((socket) => {
    const from = socket.remoteAddress ?? '';
    if (includesClient(disconnectedClients, from)) {
      socket.destroy();
      return;
    }
    const targetSocket = createConnection({ ...target, localAddress: from });
    connections.set(socket, { from, targetSocket });
    socket.on('close', () => connections.delete(socket));
    relay(socket, targetSocket, from);
    relay(targetSocket, socket, from);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });

  const closeConnections = (from: string): void =>
    connections.forEach((connection, socket) => {
      if (from !== ANY_CLIENT && connection.from !== from) return;
      socket.destroy();
      connection.targetSocket.destroy();
    });

  return {
    disconnect: (from = ANY_CLIENT) => {
      disconnectedClients.add(from);
      closeConnections(from);
    },
    stall: (from = ANY_CLIENT) => {
      stalledClients.add(from);
    },
    setDelay: (ms) => {
      delayMs = ms;
    },
    restore: () => {
      disconnectedClients.clear();
      stalledClients.clear();
      delayMs = 0;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        closeConnections(ANY_CLIENT);
      }),
  };
};
