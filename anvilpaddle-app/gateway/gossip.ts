/** Datagrams by which gateways tell one another their loads and what they admitted. */
import { createSocket } from 'node:dgram';
import { z } from 'zod';
import {
  getFaultMessage,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import type { LoadBoard, Sharing, WindowLimit } from '@anvilpaddle/decisions';
import type { GatewayList } from './gatewayList';

/** Shortest time between two datagrams to the same peer. */
const SHORTEST_INTERVAL_MS = 25;
/** Datagrams each gateway sends a second at most, so that a large fleet is not kept busy by them. */
const MAX_DATAGRAMS_PER_SECOND = 400;
/** Time between datagrams while nothing changes. */
const IDLE_INTERVAL_MS = 250;
/** Silence after which a peer counts as not heard. */
const HEARD_MS = 700;

const datagramSchema = z.object({
  from: z.string(),
  ageMs: z.number(),
  /** Upstream, online requests, batch items. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number()])),
  /** Team, own total, own in the window, all in the window. */
  spent: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
});
type Datagram = z.output<typeof datagramSchema>;

/** Exchange with the other gateways. */
export interface Gossip {
  /** Whether a gateway was heard of late. */
  isHeard(incarnation: string): boolean;
  sharing(): Sharing;
  /** Something changed that the others should know soon. */
  touch(): void;
  close(): void;
}

interface Heard {
  readonly heardMs: number;
  readonly startedMs: number;
}

/** Starts the exchange on an address. */
export const newGossip = (
  address: Address,
  incarnation: string,
  list: GatewayList,
  board: LoadBoard,
  limit: WindowLimit,
  clock: Clock,
  log: Logger,
): Gossip => {
  const socket = createSocket('udp4');
  const heard = new Map<string, Heard>();
  const startedMs = clock.monotonic();
  let isChanged = false;
  let lastSentMs = -Infinity;
  let isFaulty = false;

  const receive = (content: Buffer): void => {
    let datagram: Datagram;
    try {
      datagram = datagramSchema.parse(JSON.parse(content.toString()));
    } catch {
      log.warn({ bytes: content.length }, 'unreadable datagram');
      return;
    }
    const nowMs = clock.monotonic();
    const { from, ageMs, loads, spent } = datagram;
    heard.set(from, { heardMs: nowMs, startedMs: nowMs - ageMs });
    board.hear(from, new Map(loads.map(([id, online, batch]) => [id, { online, batch }])), nowMs);
    const spendings = spent.map(
      ([team, total, recent, window]) => [team, { total, recent, window }] as const,
    );
    limit.hear(from, new Map(spendings), nowMs);
  };

  const getDatagram = (nowMs: number): Datagram => ({
    from: incarnation,
    ageMs: Math.round(nowMs - startedMs),
    loads: [...board.own()].map(([id, { online, batch }]) => [id, online, batch]),
    spent: [...limit.own(nowMs)]
      .filter(([, { recent }]) => recent > 0)
      .map(([team, { total, recent, window }]) => [team, total, recent, window]),
  });

  const send = (): void => {
    const nowMs = clock.monotonic();
    const peers = list.others();
    const intervalMs = Math.max(
      SHORTEST_INTERVAL_MS,
      (peers.length * MS_PER_SECOND) / MAX_DATAGRAMS_PER_SECOND,
    );
    const sinceMs = nowMs - lastSentMs;
    if (sinceMs < (isChanged ? intervalMs : IDLE_INTERVAL_MS)) return;
    isChanged = false;
    lastSentMs = nowMs;
    const content = Buffer.from(JSON.stringify(getDatagram(nowMs)));
    peers.forEach(({ address: { host, port } }) => socket.send(content, port, host));
  };

  const forgetSilent = (): void => {
    const nowMs = clock.monotonic();
    heard.forEach(({ heardMs }, peer) => {
      if (nowMs - heardMs < 10 * MS_PER_SECOND) return;
      heard.delete(peer);
      limit.forget(peer);
    });
  };

  const isHeard = (peer: string): boolean =>
    clock.monotonic() - (heard.get(peer)?.heardMs ?? -Infinity) < HEARD_MS;

  socket.on('message', receive);
  socket.on('error', (fault) => {
    if (!isFaulty) log.warn({ reason: getFaultMessage(fault) }, 'datagrams fail');
    isFaulty = true;
  });
  socket.bind(address.port, address.host);
  const timers = [
    clock.every(SHORTEST_INTERVAL_MS, send),
    clock.every(MS_PER_SECOND, forgetSilent),
  ];

  return {
    isHeard,
    sharing: () => {
      const others = list.others();
      const heardOthers = others.filter((other) => isHeard(other.incarnation));
      const starts = heardOthers.map(
        (other) => heard.get(other.incarnation)?.startedMs ?? Infinity,
      );
      return {
        members: others.length + 1,
        heard: heardOthers.length + 1,
        oldestMs: clock.monotonic() - Math.min(startedMs, ...starts),
      };
    },
    touch: () => {
      isChanged = true;
    },
    close: () => {
      timers.forEach((timer) => timer.cancel());
      socket.close();
    },
  };
};
