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

/** Requests that one gateway has sent to an upstream. */
export interface SentRequests {
  /** Requests since the gateway started; it never falls. */
  readonly total: number;
  /** Requests in the window, as far as they count as new to a peer that has had no report yet. */
  readonly inWindow: number;
}

/** Counter of the requests to one upstream. Times are monotonic milliseconds. */
export interface UpstreamSends {
  /** Counts a request of this gateway. */
  recordOwn(nowMs: number): void;
  /** Takes back a request of this gateway that was not sent after all. */
  takeBackOwn(nowMs: number): void;
  /** Applies what a peer has sent, and returns how many of these requests are new. */
  recordPeer(peer: string, sent: SentRequests, nowMs: number): number;
  /** Applies the first report of a peer whose earlier requests don't count. */
  startPeer(peer: string, sent: SentRequests): void;
  /** Whether the peer has reported before. */
  isKnown(peer: string): boolean;
  /** Begins the reports anew: earlier requests, of this gateway and of peers, are no longer new. */
  restartReports(): void;
  /** Drops the total of a peer; its requests in the window stay counted. */
  removePeer(peer: string): void;
  /** What this gateway has sent. */
  getOwn(nowMs: number): SentRequests;
  /** Counts at this time; starts a new peak. */
  takeCounts(nowMs: number): SendCounts;
}

/** Creates a counter without requests. */
export const newUpstreamSends = (): UpstreamSends => {
  const ownWindow = newWindowCounter(UPSTREAM_LIMIT_WINDOW_MS);
  const window = newWindowCounter(UPSTREAM_LIMIT_WINDOW_MS);
  const peerTotals = new Map<string, number>();
  let ownTotal = 0;
  let firstReported = 0;
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
    recordPeer: (peer, { total, inWindow }, nowMs) => {
      const known = peerTotals.get(peer) ?? total - inWindow;
      // Datagrams may arrive out of order.
      peerTotals.set(peer, Math.max(total, known));
      const added = Math.max(0, total - known);
      if (added > 0) count(added, nowMs);
      return added;
    },
    startPeer: (peer, { total }) => {
      peerTotals.set(peer, total);
    },
    isKnown: (peer) => peerTotals.has(peer),
    restartReports: () => {
      firstReported = ownTotal;
      peerTotals.clear();
    },
    removePeer: (peer) => {
      peerTotals.delete(peer);
    },
    getOwn: (nowMs) => ({
      total: ownTotal,
      inWindow: Math.max(0, Math.min(ownWindow.get(nowMs), ownTotal - firstReported)),
    }),
    takeCounts: (nowMs) => {
      const all = window.get(nowMs);
      const counts = { own: ownWindow.get(nowMs), all, peak };
      peak = all;
      return counts;
    },
  };
};
