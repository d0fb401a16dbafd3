/** Requests that all gateways send to one upstream, as far as one gateway knows them. */
import { newWindowCounter } from './windowCounter';

/** Span over which the requests to an upstream are counted, in milliseconds. */
export const UPSTREAM_LIMIT_WINDOW_MS = 4000;

/** Requests to an upstream. */
export interface SendCounts {
  /** Requests of this gateway in the window. */
  readonly own: number;
  /** Requests of all gateways in the window. */
  readonly all: number;
  /** Largest number of requests of all gateways in one window since the last call. */
  readonly peak: number;
}

/** Counter of the requests to one upstream. Times are monotonic milliseconds. */
export interface UpstreamSends {
  /** Counts a request of this gateway. */
  recordOwn(nowMs: number): void;
  /** Takes back a request of this gateway that was not sent after all. */
  takeBackOwn(nowMs: number): void;
  /**
   * Applies the number of requests that a peer has sent since it started, and returns how many of
   * them are new. What it sent before its first report may be long past and doesn't count.
   */
  recordPeer(peer: string, sent: number, nowMs: number): number;
  /** Drops the total of a peer; its requests in the window stay counted. */
  removePeer(peer: string): void;
  /** Requests of this gateway since it started; it never falls. */
  getOwnTotal(): number;
  /** Counts at this time; starts a new peak. */
  takeCounts(nowMs: number): SendCounts;
}

/** Creates a counter without requests. */
export const newUpstreamSends = (): UpstreamSends => {
  const ownWindow = newWindowCounter(UPSTREAM_LIMIT_WINDOW_MS);
  const window = newWindowCounter(UPSTREAM_LIMIT_WINDOW_MS);
  const peerTotals = new Map<string, number>();
  let ownTotal = 0;
  /** Requests that were not sent, although peers may have been told of them. */
  let unsent = 0;
  let peak = 0;

  const count = (added: number, nowMs: number): void => {
    window.add(added, nowMs);
    peak = Math.max(peak, window.get(nowMs));
  };

  return {
    recordOwn: (nowMs) => {
      if (unsent > 0) unsent -= 1;
      else ownTotal += 1;
      ownWindow.add(1, nowMs);
      count(1, nowMs);
    },
    takeBackOwn: (nowMs) => {
      unsent += 1;
      ownWindow.add(-1, nowMs);
      window.add(-1, nowMs);
    },
    recordPeer: (peer, sent, nowMs) => {
      const known = peerTotals.get(peer) ?? sent;
      // Datagrams may arrive out of order.
      peerTotals.set(peer, Math.max(sent, known));
      const added = Math.max(0, sent - known);
      if (added > 0) count(added, nowMs);
      return added;
    },
    removePeer: (peer) => {
      peerTotals.delete(peer);
    },
    getOwnTotal: () => ownTotal,
    takeCounts: (nowMs) => {
      const all = window.get(nowMs);
      const counts = { own: ownWindow.get(nowMs), all, peak };
      peak = all;
      return counts;
    },
  };
};
