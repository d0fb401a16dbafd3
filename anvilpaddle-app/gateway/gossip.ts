/** Datagrams by which gateways tell one another their loads and what they admitted. */
import { createSocket } from 'node:dgram';
import {
  getErrorMessage,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
  type Timer,
} from '@anvilpaddle/common';
import type {
  ItemTracker,
  LoadTracker,
  GatewayVisibility,
  SlidingWindowLimiter,
} from '@anvilpaddle/decisions';
import {
  decodeItems,
  encodeItems,
  parseDatagram,
  type Datagram,
  type GatewayState,
} from './datagram';
import type { Gateway, GatewayList } from './gatewayList';

/** Shortest time between two datagrams to the same peer. */
const SHORTEST_INTERVAL_MS = 25;
/** Datagrams each gateway sends a second at most, so that a large fleet is not kept busy by them. */
const MAX_DATAGRAMS_PER_SECOND = 400;
/** Time between datagrams while nothing changes. */
const IDLE_INTERVAL_MS = 250;
/** Silence after which a peer counts as not heard. */
const HEARD_MS = 700;

/** Silence of all peers after which this gateway takes itself for cut off. */
const ALONE_MS = 600;

/** Exchange with the other gateways. */
export interface Gossip {
  /** Whether a gateway was heard of late. */
  isRecentlySeen(incarnation: string): boolean;
  /** Whether a gateway that was heard of late takes over jobs. */
  isTakingJobs(incarnation: string): boolean;
  /** Whether a gateway that was heard of late reaches the store by its own path. */
  isReachingStore(incarnation: string): boolean;
  /** Whether any gateway that was heard of late serves callers. */
  isAnyServing(): boolean;
  /** Whether there are peers and none of them was heard of late. */
  isIsolated(): boolean;
  getVisibility(): GatewayVisibility;
  /** Something changed that the others should know soon. */
  scheduleSend(): void;
  close(): void;
}

interface Heard extends GatewayState {
  readonly vm: string;
  readonly heardMs: number;
  readonly startedMs: number;
}

/** What gateways tell each other about. */
export interface SharedState {
  readonly upstreamLoads: LoadTracker;
  readonly items: ItemTracker;
  readonly limit: SlidingWindowLimiter;
}

/** What the exchange needs of its gateway. */
export interface GossipHooks {
  getState(): GatewayState;
  /** A peer told its loads and items. */
  onPeerUpdate(): void;
}

/** Starts the exchange on this gateway's address. */
export const newGossip = (
  self: Gateway,
  list: GatewayList,
  { upstreamLoads: board, items, limit }: SharedState,
  { getState, onPeerUpdate: onHeard }: GossipHooks,
  clock: Clock,
  log: Logger,
): Gossip => {
  const socket = createSocket('udp4');
  const heard = new Map<string, Heard>();
  const startedMs = clock.monotonic();
  let timer: Timer | undefined;
  let isClosed = false;
  let lastSentMs = -Infinity;
  let isFaulty = false;

  /** A new process of a VM shows that the connections of an earlier one have closed. */
  const forgetEarlier = (vm: string): void =>
    heard.forEach((earlier, incarnation) => {
      if (earlier.vm === vm) board.removePeer(incarnation);
    });

  const receive = (content: Buffer, sender: Address): void => {
    const datagram = parseDatagram(content);
    if (datagram === undefined) {
      log.warn({ bytes: content.length }, 'unreadable datagram');
      return;
    }
    const nowMs = clock.monotonic();
    const { from, vm, ageMs, loads, spent, takesJobs, reachesStore, isServing } = datagram;
    // A new process of a VM is known by its first datagram, before its record is read.
    if (!heard.has(from)) {
      list.addFromDatagram({ vm, incarnation: from, address: sender });
      forgetEarlier(vm);
    }
    const state = { takesJobs, reachesStore, isServing };
    heard.set(from, { vm, heardMs: nowMs, startedMs: nowMs - ageMs, ...state });
    board.updatePeer(
      from,
      new Map(loads.map(([id, online, batch]) => [id, { online, batch }])),
      nowMs,
    );
    const told = {
      running: decodeItems(datagram.running),
      waiting: decodeItems(datagram.waiting),
    };
    items.updatePeer(from, told, nowMs);
    const spendings = spent.map(
      ([team, total, window]) => [team, { total, inWindow: window }] as const,
    );
    limit.updatePeer(from, new Map(spendings), nowMs);
    onHeard();
  };

  const getDatagram = (nowMs: number): Datagram => ({
    from: self.incarnation,
    vm: self.vm,
    ageMs: Math.round(nowMs - startedMs),
    loads: [...board.getOwn()].map(([id, { online, batch }]) => [id, online, batch]),
    spent: [...limit.getOwn(nowMs)]
      .filter(([, { inWindow: window }]) => window > 0)
      .map(([team, { total, inWindow: window }]) => [team, total, window]),
    running: encodeItems(items.getOwn().running),
    waiting: encodeItems(items.getOwn().waiting),
    ...getState(),
  });

  const send = (): void => {
    const nowMs = clock.monotonic();
    lastSentMs = nowMs;
    const content = Buffer.from(JSON.stringify(getDatagram(nowMs)));
    list.getOthers().forEach(({ address: { host, port } }) => socket.send(content, port, host));
  };

  /** Sends soon; what changes until then goes along. */
  const touch = (): void => {
    if (timer !== undefined || isClosed) return;
    const intervalMs = Math.max(
      SHORTEST_INTERVAL_MS,
      (list.getOthers().length * MS_PER_SECOND) / MAX_DATAGRAMS_PER_SECOND,
    );
    timer = clock.after(Math.max(0, lastSentMs + intervalMs - clock.monotonic()), () => {
      timer = undefined;
      if (!isClosed) send();
    });
  };

  const sendIdle = (): void => {
    if (clock.monotonic() - lastSentMs >= IDLE_INTERVAL_MS) touch();
  };

  const forgetSilent = (): void => {
    const nowMs = clock.monotonic();
    heard.forEach(({ heardMs }, peer) => {
      if (nowMs - heardMs < 10 * MS_PER_SECOND) return;
      heard.delete(peer);
      limit.removePeer(peer);
    });
  };

  const getSilenceMs = (peer: string): number =>
    clock.monotonic() - (heard.get(peer)?.heardMs ?? -Infinity);

  const isHeard = (peer: string): boolean => getSilenceMs(peer) < HEARD_MS;

  const isAlone = (): boolean => {
    const others = list.getOthers();
    return (
      others.length > 0 &&
      clock.monotonic() - startedMs > ALONE_MS &&
      others.every(({ incarnation }) => getSilenceMs(incarnation) > ALONE_MS)
    );
  };

  socket.on('message', (content, { address, port }) => receive(content, { host: address, port }));
  socket.on('error', (fault) => {
    if (!isFaulty) log.warn({ reason: getErrorMessage(fault) }, 'datagrams fail');
    isFaulty = true;
  });
  socket.bind(self.address.port, self.address.host);
  const timers = [
    clock.every(IDLE_INTERVAL_MS, sendIdle),
    clock.every(MS_PER_SECOND, forgetSilent),
  ];

  return {
    isRecentlySeen: isHeard,
    isTakingJobs: (peer) => isHeard(peer) && heard.get(peer)?.takesJobs === true,
    isReachingStore: (peer) => isHeard(peer) && heard.get(peer)?.reachesStore === true,
    isAnyServing: () => [...heard].some(([peer, { isServing }]) => isServing && isHeard(peer)),
    isIsolated: isAlone,
    getVisibility: () => {
      const others = list.getOthers();
      // The first datagrams take a moment; what the others admitted before was read at the start.
      const isNew = clock.monotonic() - startedMs < HEARD_MS;
      const heardOthers = others.filter((other) => isHeard(other.incarnation));
      const starts = heardOthers.map(
        (other) => heard.get(other.incarnation)?.startedMs ?? Infinity,
      );
      return {
        members: others.length + 1,
        recentlySeen: isNew ? others.length + 1 : heardOthers.length + 1,
        oldestUptimeMs: clock.monotonic() - Math.min(startedMs, ...starts),
      };
    },
    scheduleSend: touch,
    close: () => {
      isClosed = true;
      timer?.cancel();
      timers.forEach((running) => running.cancel());
      socket.close();
    },
  };
};
