/** Load of the upstreams from the requests of all gateways. */
import type { ServiceClass } from '@anvilpaddle/common';

/** Number of requests of each class that run at an upstream. */
export interface UpstreamLoad {
  readonly online: number;
  readonly batch: number;
}

/** Requests and items together. */
export const getTotalLoad = ({ online, batch }: UpstreamLoad): number => online + batch;

/** Loads by upstream; idle upstreams may be missing. */
export type Loads = ReadonlyMap<string, UpstreamLoad>;

/**
 * Tracks the load of all upstreams: this gateway's own requests exactly, those of its peers by
 * their latest reports. Times are monotonic milliseconds.
 */
export interface LoadTracker {
  /** Counts a request that this gateway sends to an upstream. */
  begin(upstream: string, serviceClass: ServiceClass): void;
  /** Ends the count of a request that this gateway sent to an upstream. */
  end(upstream: string, serviceClass: ServiceClass): void;
  /** Load by this gateway's requests, as reported to its peers. */
  getOwn(): Loads;
  /**
   * Replaces the loads of a peer by those that it has just reported. They must not change afterwards; the
   * same object as before says that they are unchanged, which costs little.
   */
  updatePeer(peer: string, loads: Loads, nowMs: number): void;
  /** Removes the loads of a peer whose process has ended and with it its connections. */
  removePeer(peer: string): void;
  /** Load of an upstream by all gateways whose requests may still run. */
  getLoad(upstream: string, nowMs: number): UpstreamLoad;
}

/**
 * Time without a report after which a peer's load no longer counts, as its requests have ended by
 * then. Until then they keep running: if a peer's VM lost power or its network, nothing closes the
 * peer's connections to the upstreams.
 */
export const PEER_LOAD_TIMEOUT_MS = { online: 1500, batch: 5000 } as const;

const NO_LOAD: UpstreamLoad = { online: 0, batch: 0 };

/** Sum of the peers' loads of one class, by upstream. */
interface PeerTotals {
  /** Replaces what a peer reported. */
  update(peer: string, loads: Loads, nowMs: number): void;
  remove(peer: string): void;
  /** Number of requests at an upstream by the peers that reported recently. */
  get(upstream: string, nowMs: number): number;
}

/** Loads that a peer reported last. */
interface PeerLoads {
  loads: Loads;
  receivedMs: number;
}

/**
 * Keeps the sums up to date as reports arrive and time out, so that a lookup does not visit each
 * peer: there are far more lookups than reports, one for each upstream and placement.
 */
const newPeerTotals = (serviceClass: ServiceClass): PeerTotals => {
  const timeoutMs = PEER_LOAD_TIMEOUT_MS[serviceClass];
  /** Reports by peer, changed in place: a report of unchanged loads allocates nothing. */
  const reports = new Map<string, PeerLoads>();
  /** No report is older. */
  let oldestMs = Infinity;
  const totals = new Map<string, number>();

  const add = (loads: Loads, sign: 1 | -1): void =>
    loads.forEach((load, upstream) => {
      if (load[serviceClass] === 0) return;
      const total = (totals.get(upstream) ?? 0) + sign * load[serviceClass];
      if (total === 0) totals.delete(upstream);
      else totals.set(upstream, total);
    });

  const remove = (peer: string): void => {
    const report = reports.get(peer);
    if (report === undefined) return;
    reports.delete(peer);
    add(report.loads, -1);
  };

  const removeTimedOut = (nowMs: number): void => {
    if (nowMs - oldestMs <= timeoutMs) return;
    oldestMs = Infinity;
    reports.forEach(({ receivedMs }, peer) => {
      if (nowMs - receivedMs > timeoutMs) remove(peer);
      else oldestMs = Math.min(oldestMs, receivedMs);
    });
  };

  return {
    update: (peer, loads, nowMs) => {
      oldestMs = Math.min(oldestMs, nowMs);
      const report = reports.get(peer);
      if (report === undefined) {
        reports.set(peer, { loads, receivedMs: nowMs });
        add(loads, 1);
        return;
      }
      report.receivedMs = nowMs;
      if (report.loads === loads) return;
      add(report.loads, -1);
      report.loads = loads;
      add(loads, 1);
    },
    remove,
    get: (upstream, nowMs) => {
      removeTimedOut(nowMs);
      return totals.get(upstream) ?? 0;
    },
  };
};

/** Creates a tracker without load; calls `onChange` when this gateway's own load changes. */
export const newLoadTracker = (onChange: () => void = () => undefined): LoadTracker => {
  const own = new Map<string, UpstreamLoad>();
  const peers = { online: newPeerTotals('online'), batch: newPeerTotals('batch') };

  const change = (upstream: string, serviceClass: ServiceClass, delta: number): void => {
    const load = own.get(upstream) ?? NO_LOAD;
    const next = { ...load, [serviceClass]: load[serviceClass] + delta };
    if (next.online === 0 && next.batch === 0) own.delete(upstream);
    else own.set(upstream, next);
    onChange();
  };

  return {
    begin: (upstream, serviceClass) => change(upstream, serviceClass, 1),
    end: (upstream, serviceClass) => change(upstream, serviceClass, -1),
    getOwn: () => own,
    updatePeer: (peer, loads, nowMs) => {
      peers.online.update(peer, loads, nowMs);
      peers.batch.update(peer, loads, nowMs);
    },
    removePeer: (peer) => {
      peers.online.remove(peer);
      peers.batch.remove(peer);
    },
    getLoad: (upstream, nowMs) => {
      const { online, batch } = own.get(upstream) ?? NO_LOAD;
      return {
        online: online + peers.online.get(upstream, nowMs),
        batch: batch + peers.batch.get(upstream, nowMs),
      };
    },
  };
};
