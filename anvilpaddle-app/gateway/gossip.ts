/**
 * Gossip between gateways: each sends its load and admissions to all others in UDP datagrams. Other
 * failure domains get a datagram once; the gateway there that receives it passes it on to the others.
 */
import {
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
  type Timer,
} from '@anvilpaddle/common';
import {
  getRelayPlan,
  type ItemTracker,
  type Loads,
  type LoadTracker,
  type InputQuarantine,
  type GatewayVisibility,
  type SlidingWindowLimiter,
  type TeamShares,
  type TeamSlots,
  type UpstreamLimits,
} from '@anvilpaddle/decisions';
import {
  areSameLoads,
  decodeLoads,
  encodeItems,
  getRelayedContent,
  markForRelay,
  newDecodedItems,
  parseDatagram,
  type Datagram,
  type GatewayState,
} from './datagram';
import type { Gateway, GatewayList } from './gatewayList';
import { DATAGRAM_PURPOSE, newGossipSocket, type GossipMetrics } from './gossipSocket';
import { decodeLimitReports, encodeLimitReports } from './limitReport';
import { parsePartReports } from './partReport';
import { decodeHeldSlots, encodeHeldSlots } from './teamReport';

/** Minimum time between two datagrams to the same peer. */
const MIN_SEND_INTERVAL_MS = 25;
/** Maximum rate at which one gateway sends datagrams, to bound the work in a large fleet. */
const MAX_DATAGRAMS_PER_SECOND = 400;
/** Time between datagrams while nothing changes. */
const IDLE_SEND_INTERVAL_MS = 250;
/**
 * Interval at which datagrams carry reports of suspects, which cost each peer more than all else in them.
 * What this gateway itself has seen goes out with the next datagram.
 */
const SUSPECT_REPORT_INTERVAL_MS = 200;
/** Age of a peer's last datagram after which its state no longer counts. */
const PEER_TIMEOUT_MS = 700;

/** Age of the last datagram of every peer after which this gateway considers itself isolated. */
const ISOLATION_TIMEOUT_MS = 600;

/** State of the other gateways as they report it. */
export interface Gossip {
  /** Whether a datagram from the gateway arrived recently. */
  isRecentlySeen(incarnation: string): boolean;
  /** Whether the gateway was seen recently and takes over jobs. */
  isTakingJobs(incarnation: string): boolean;
  /** Whether the gateway was seen recently and reaches the store directly. */
  isReachingStore(incarnation: string): boolean;
  /** Whether any recently seen gateway serves callers. */
  isAnyServing(): boolean;
  /** Whether there are peers and none of them was seen recently. */
  isIsolated(): boolean;
  /** How many gateways there are, how many were seen recently, and how long they have run. */
  getVisibility(): GatewayVisibility;
  /** Mean time since the last datagrams of the recently seen gateways, in milliseconds. */
  getViewAgeMs(): number;
  /** Schedules a datagram to all peers; called when state changes that they should learn soon. */
  scheduleSend(): void;
  /** Sends a datagram soon, with reports of suspects. */
  sendSuspects(): void;
  close(): void;
}

/** Last report of a peer. */
interface PeerState extends GatewayState {
  readonly vm: string;
  /** Requests that the peer had admitted; undefined for a peer of an earlier version. */
  readonly admitted: number | undefined;
  /** Time for which the peer's process had run when it sent the report. */
  readonly ageMs: number;
  readonly lastSeenMs: number;
  readonly startedMs: number;
  /** Its loads, as they were sent and as they were applied. */
  readonly encodedLoads: Datagram['loads'];
  readonly loads: Loads;
}

/** State that gateways share by gossip. */
export interface SharedState {
  readonly upstreamLoads: LoadTracker;
  readonly items: ItemTracker;
  readonly limit: SlidingWindowLimiter;
  readonly quarantine: Pick<InputQuarantine, 'parts' | 'requests'>;
  readonly upstreamLimits: UpstreamLimits;
  readonly teamSlots: Pick<TeamSlots, 'updatePeer' | 'removePeer'>;
  readonly teamShares: Pick<TeamShares, 'getReport'>;
}

/** Connections of the gossip to its gateway. */
export interface GossipHooks {
  getState(): GatewayState;
  /** Called after a peer's report has been applied. */
  onPeerUpdate(): void;
  readonly metrics: GossipMetrics;
}

/** The list, or nothing if it is empty: an undefined field is left out of a datagram. */
const omitEmpty = <T>(list: readonly T[]): readonly T[] | undefined =>
  list.length === 0 ? undefined : list;

/** Starts the gossip on this gateway's address; `openSocket` opens its socket. */
export const newGossip = (
  self: Gateway,
  gatewayList: GatewayList,
  {
    upstreamLoads,
    items: itemTracker,
    limit: limiter,
    quarantine,
    upstreamLimits,
    teamSlots,
    teamShares,
  }: SharedState,
  { getState, onPeerUpdate, metrics }: GossipHooks,
  clock: Clock,
  log: Logger,
  openSocket: typeof newGossipSocket = newGossipSocket,
): Gossip => {
  const peers = new Map<string, PeerState>();
  const startedMs = clock.monotonic();
  let timer: Timer | undefined;
  let isClosed = false;
  let lastSentMs = -Infinity;
  let nextSuspectReportMs = -Infinity;
  let sentCount = 0;

  /** Drops the loads of earlier processes on a VM: their connections closed when they ended. */
  const removeEarlierLoads = (vm: string): void =>
    peers.forEach((peer, incarnation) => {
      if (peer.vm !== vm) return;
      upstreamLoads.removePeer(incarnation);
      teamSlots.removePeer(incarnation);
    });

  /** Passes a datagram from another failure domain on to the other gateways in this one. */
  const relay = (content: Buffer): void =>
    gatewayList
      .getOthers()
      .filter(({ failureDomain }) => failureDomain === self.failureDomain)
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called once it is open
      .forEach((peer) => socket.send(content, peer, DATAGRAM_PURPOSE.relayed));

  const apply = (datagram: Datagram, sender: Address): void => {
    const nowMs = clock.monotonic();
    const { from, admitted, vm, ageMs, loads, spent } = datagram;
    const { takesJobs, reachesStore, isServing } = datagram;
    // A datagram that was overtaken by a later one has older state.
    if (ageMs < (peers.get(from)?.ageMs ?? 0)) return;
    // A new process on a VM may send its first datagram before its record has been read.
    if (!peers.has(from)) {
      const { address = sender, failureDomain } = datagram;
      gatewayList.addFromDatagram({ vm, incarnation: from, address, failureDomain });
      removeEarlierLoads(vm);
    }
    const known = peers.get(from);
    const isSameLoads = known !== undefined && areSameLoads(loads, known.encodedLoads);
    const peerLoads = isSameLoads ? known.loads : decodeLoads(loads);
    peers.set(from, {
      vm,
      admitted,
      ageMs,
      lastSeenMs: nowMs,
      startedMs: nowMs - ageMs,
      takesJobs,
      reachesStore,
      isServing,
      encodedLoads: loads,
      loads: peerLoads,
    });
    upstreamLoads.updatePeer(from, peerLoads, nowMs);
    itemTracker.updatePeer(from, newDecodedItems(datagram), nowMs);
    const admissionCounts = spent.map(
      ([team, total, inWindow]) => [team, { total, inWindow }] as const,
    );
    limiter.updatePeer(from, admissionCounts, nowMs);
    quarantine.requests.updatePeer(from, parsePartReports(datagram.requests), nowMs);
    quarantine.parts.updatePeer(from, parsePartReports(datagram.suspects), nowMs);
    upstreamLimits.updatePeer(from, decodeLimitReports(datagram.limits), nowMs);
    teamSlots.updatePeer(from, decodeHeldSlots(datagram.teams), nowMs);
    onPeerUpdate();
  };

  const getKnownAdmitted = (peer: string): number | undefined => peers.get(peer)?.admitted;

  const receive = (content: Buffer, sender: Address): void => {
    const relayed = getRelayedContent(content);
    const datagram = parseDatagram(relayed ?? content, getKnownAdmitted);
    if (datagram === undefined) {
      log.warn({ bytes: content.length }, 'unreadable datagram');
      return;
    }
    if (relayed !== undefined) relay(relayed);
    apply(datagram, sender);
  };

  const socket = openSocket(self, receive, metrics, log);

  const getSuspectReports = (nowMs: number): Pick<Datagram, 'suspects' | 'requests'> => {
    if (nowMs < nextSuspectReportMs) return {};
    nextSuspectReportMs = nowMs + SUSPECT_REPORT_INTERVAL_MS;
    return {
      suspects: omitEmpty(quarantine.parts.getReports(nowMs)),
      requests: omitEmpty(quarantine.requests.getReports(nowMs)),
    };
  };

  const newDatagram = (nowMs: number): Datagram => ({
    from: self.incarnation,
    admitted: limiter.getOwnTotal(),
    recent: limiter.getRecent(),
    vm: self.vm,
    address: self.address,
    failureDomain: self.failureDomain,
    ageMs: Math.round(nowMs - startedMs),
    loads: [...upstreamLoads.getOwn()].map(([id, { online, batch }]) => [id, online, batch]),
    spent: [...limiter.getOwn(nowMs)]
      .filter(([, { inWindow }]) => inWindow > 0)
      .map(([team, { total, inWindow }]) => [team, total, inWindow]),
    running: encodeItems(itemTracker.getOwn().running),
    waiting: encodeItems(itemTracker.getOwn().waiting),
    ...getSuspectReports(nowMs),
    limits: omitEmpty(encodeLimitReports(upstreamLimits.getReports(nowMs))),
    teams: encodeHeldSlots(teamShares.getReport(nowMs)),
    ...getState(),
  });

  const getSilenceMs = (peer: string): number =>
    clock.monotonic() - (peers.get(peer)?.lastSeenMs ?? -Infinity);

  const isRecentlySeen = (peer: string): boolean => getSilenceMs(peer) < PEER_TIMEOUT_MS;

  const broadcast = (): void => {
    const nowMs = clock.monotonic();
    lastSentMs = nowMs;
    const content = Buffer.from(JSON.stringify(newDatagram(nowMs)));
    const isSeen = ({ incarnation }: Gateway): boolean => isRecentlySeen(incarnation);
    const { direct, relays } = getRelayPlan(self, gatewayList.getOthers(), isSeen, sentCount);
    direct.forEach((peer) => socket.send(content, peer, DATAGRAM_PURPOSE.own));
    const markedContent = markForRelay(content);
    relays.forEach((peer) => socket.send(markedContent, peer, DATAGRAM_PURPOSE.own));
    sentCount += 1;
  };

  /** Delays the datagram to the minimum interval; it carries every change up to then. */
  const scheduleSend = (): void => {
    if (timer !== undefined || isClosed) return;
    const intervalMs = Math.max(
      MIN_SEND_INTERVAL_MS,
      (gatewayList.getOthers().length * MS_PER_SECOND) / MAX_DATAGRAMS_PER_SECOND,
    );
    timer = clock.after(Math.max(0, lastSentMs + intervalMs - clock.monotonic()), () => {
      timer = undefined;
      if (!isClosed) broadcast();
    });
  };

  const sendIfIdle = (): void => {
    if (clock.monotonic() - lastSentMs >= IDLE_SEND_INTERVAL_MS) scheduleSend();
  };

  const removeSilentPeers = (): void => {
    const nowMs = clock.monotonic();
    peers.forEach(({ lastSeenMs }, peer) => {
      if (nowMs - lastSeenMs < 10 * MS_PER_SECOND) return;
      peers.delete(peer);
      limiter.removePeer(peer);
      upstreamLimits.removePeer(peer);
      teamSlots.removePeer(peer);
    });
  };

  const isIsolated = (): boolean => {
    const others = gatewayList.getOthers();
    return (
      others.length > 0 &&
      clock.monotonic() - startedMs > ISOLATION_TIMEOUT_MS &&
      others.every(({ incarnation }) => getSilenceMs(incarnation) > ISOLATION_TIMEOUT_MS)
    );
  };

  const timers = [
    clock.every(IDLE_SEND_INTERVAL_MS, sendIfIdle),
    clock.every(MS_PER_SECOND, removeSilentPeers),
  ];

  return {
    isRecentlySeen,
    isTakingJobs: (peer) => isRecentlySeen(peer) && peers.get(peer)?.takesJobs === true,
    isReachingStore: (peer) => isRecentlySeen(peer) && peers.get(peer)?.reachesStore === true,
    isAnyServing: () =>
      [...peers].some(([peer, { isServing }]) => isServing && isRecentlySeen(peer)),
    isIsolated,
    getVisibility: () => {
      const others = gatewayList.getOthers();
      // All peers count as seen until their first datagrams can have arrived; what they admitted
      // before is known from their records.
      const isStarting = clock.monotonic() - startedMs < PEER_TIMEOUT_MS;
      const seenPeers = others.filter((other) => isRecentlySeen(other.incarnation));
      const startTimesMs = seenPeers.map(
        (other) => peers.get(other.incarnation)?.startedMs ?? Infinity,
      );
      return {
        members: others.length + 1,
        recentlySeen: isStarting ? others.length + 1 : seenPeers.length + 1,
        oldestUptimeMs: clock.monotonic() - Math.min(startedMs, ...startTimesMs),
      };
    },
    getViewAgeMs: () => {
      const agesMs = [...peers.keys()].map(getSilenceMs).filter((ms) => ms < PEER_TIMEOUT_MS);
      return agesMs.reduce((sum, ageMs) => sum + ageMs, 0) / Math.max(1, agesMs.length);
    },
    scheduleSend,
    sendSuspects: () => {
      nextSuspectReportMs = -Infinity;
      scheduleSend();
    },
    close: () => {
      isClosed = true;
      timer?.cancel();
      timers.forEach((interval) => interval.cancel());
      socket.close();
    },
  };
};
