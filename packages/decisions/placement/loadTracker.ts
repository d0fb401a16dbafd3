import type { ServiceClass } from '@anvilpaddle/common';

/** Requests of each class that an upstream works on. */
export interface UpstreamLoad {
  readonly online: number;
  readonly batch: number;
}

/** Loads by upstream; upstreams without work may be missing. */
export type Loads = ReadonlyMap<string, UpstreamLoad>;

/**
 * Load of all upstreams as one gateway knows it: its own requests exactly, those of its peers as
 * they last told. Times are monotonic milliseconds.
 */
export interface LoadTracker {
  /** A request of this gateway was sent to an upstream. */
  begin(upstream: string, serviceClass: ServiceClass): void;
  /** It ended. */
  end(upstream: string, serviceClass: ServiceClass): void;
  /** What this gateway tells its peers. */
  getOwn(): Loads;
  /** A peer told its loads. */
  updatePeer(peer: string, loads: Loads, nowMs: number): void;
  /** A peer's process has ended and its connections with it. */
  removePeer(peer: string): void;
  /** Load of an upstream from all gateways whose requests may still run. */
  getLoad(upstream: string, nowMs: number): UpstreamLoad;
}

/**
 * Silence after which a peer's load no longer counts: by then its requests have ended. Upstreams work on
 * for a peer whose VM lost its power or is cut off, as nothing closes its connections.
 */
const SILENCE_MS = { online: 1500, batch: 5000 } as const;

const NO_LOAD: UpstreamLoad = { online: 0, batch: 0 };

interface PeerLoads {
  readonly loads: Loads;
  readonly heardMs: number;
}

/** Board without any load; `onOwnChange` is called when this gateway's own load changes. */
export const newLoadTracker = (onOwnChange: () => void = () => undefined): LoadTracker => {
  const own = new Map<string, UpstreamLoad>();
  const peers = new Map<string, PeerLoads>();

  const change = (upstream: string, serviceClass: ServiceClass, by: number): void => {
    const load = own.get(upstream) ?? NO_LOAD;
    const next = { ...load, [serviceClass]: load[serviceClass] + by };
    if (next.online === 0 && next.batch === 0) own.delete(upstream);
    else own.set(upstream, next);
    onOwnChange();
  };

  const dropSilent = (nowMs: number): void => {
    peers.forEach(({ heardMs }, peer) => {
      if (nowMs - heardMs > SILENCE_MS.batch) peers.delete(peer);
    });
  };

  return {
    begin: (upstream, serviceClass) => change(upstream, serviceClass, 1),
    end: (upstream, serviceClass) => change(upstream, serviceClass, -1),
    getOwn: () => own,
    updatePeer: (peer, loads, nowMs) => {
      peers.set(peer, { loads, heardMs: nowMs });
    },
    removePeer: (peer) => {
      peers.delete(peer);
    },
    getLoad: (upstream, nowMs) => {
      dropSilent(nowMs);
      let { online, batch } = own.get(upstream) ?? NO_LOAD;
      peers.forEach(({ loads, heardMs }) => {
        const load = loads.get(upstream) ?? NO_LOAD;
        if (nowMs - heardMs <= SILENCE_MS.online) online += load.online;
        batch += load.batch;
      });
      return { online, batch };
    },
  };
};
