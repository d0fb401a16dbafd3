/** Load of the upstreams from the requests of all gateways. */
import type { ServiceClass } from '@anvilpaddle/common';

/** Number of requests of each class that run at an upstream. */
export interface UpstreamLoad {
  readonly online: number;
  readonly batch: number;
}

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
  /** Replaces the loads of a peer by those that it has just reported. */
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
const PEER_TIMEOUT_MS = { online: 1500, batch: 5000 } as const;

const NO_LOAD: UpstreamLoad = { online: 0, batch: 0 };

/** Loads that a peer reported. */
interface PeerLoads {
  readonly loads: Loads;
  readonly receivedMs: number;
}

/** Creates a tracker without load; calls `onChange` when this gateway's own load changes. */
export const newLoadTracker = (onChange: () => void = () => undefined): LoadTracker => {
  const own = new Map<string, UpstreamLoad>();
  const peers = new Map<string, PeerLoads>();

  const change = (upstream: string, serviceClass: ServiceClass, delta: number): void => {
    const load = own.get(upstream) ?? NO_LOAD;
    const next = { ...load, [serviceClass]: load[serviceClass] + delta };
    if (next.online === 0 && next.batch === 0) own.delete(upstream);
    else own.set(upstream, next);
    onChange();
  };

  const removeTimedOutPeers = (nowMs: number): void => {
    peers.forEach(({ receivedMs }, peer) => {
      if (nowMs - receivedMs > PEER_TIMEOUT_MS.batch) peers.delete(peer);
    });
  };

  return {
    begin: (upstream, serviceClass) => change(upstream, serviceClass, 1),
    end: (upstream, serviceClass) => change(upstream, serviceClass, -1),
    getOwn: () => own,
    updatePeer: (peer, loads, nowMs) => {
      peers.set(peer, { loads, receivedMs: nowMs });
    },
    removePeer: (peer) => {
      peers.delete(peer);
    },
    getLoad: (upstream, nowMs) => {
      removeTimedOutPeers(nowMs);
      let { online, batch } = own.get(upstream) ?? NO_LOAD;
      peers.forEach(({ loads, receivedMs }) => {
        const load = loads.get(upstream) ?? NO_LOAD;
        if (nowMs - receivedMs <= PEER_TIMEOUT_MS.online) online += load.online;
        batch += load.batch;
      });
      return { online, batch };
    },
  };
};
