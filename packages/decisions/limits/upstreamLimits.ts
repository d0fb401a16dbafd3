/** Limits that upstreams name for the requests of all gateways together. */
import { MS_PER_MINUTE, type Random } from '@anvilpaddle/common';
import {
  newSharedBucket,
  type BucketVisibility,
  type SharedBucket,
  type Urgency,
} from './sharedBucket';
import {
  newUpstreamSends,
  UPSTREAM_LIMIT_WINDOW_MS,
  type SendCounts,
  type SentRequests,
  type UpstreamSends,
} from './upstreamSends';

/** What an upstream last said of its limit. */
export interface UpstreamLimit {
  /** Requests per second from all gateways together; undefined once the upstream names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Monotonic time at which it said so, in milliseconds. */
  readonly saidMs: number;
}

/** What a gateway reports to its peers about one upstream. */
export interface UpstreamLimitReport {
  /** Incarnation of the upstream. */
  readonly upstream: string;
  readonly requestsPerSecond: number | undefined;
  /** Time since the upstream said so, in milliseconds. */
  readonly ageMs: number;
  /** Requests that the gateway has sent to the upstream. */
  readonly sent: SentRequests;
}

/** Requests to an upstream with a limit. */
export interface LimitedSends extends SendCounts {
  readonly requestsPerSecond: number;
}

/**
 * Limits of the upstreams, by incarnation. Each gateway reports the limits that it has heard and the
 * requests that it has sent to the others. Times are monotonic milliseconds.
 */
export interface UpstreamLimits {
  /** Counts a request that this gateway sends. */
  recordSend(upstream: string, nowMs: number): void;
  /** Takes back a request of this gateway that was not sent after all. */
  recordUnsent(upstream: string, nowMs: number): void;
  /** Applies the limit in a response of the upstream; undefined if the response names none. */
  recordResponse(upstream: string, requestsPerSecond: number | undefined, nowMs: number): void;
  /** Limit of the upstream in requests per second; undefined if it has none. */
  getRequestsPerSecond(upstream: string): number | undefined;
  /** Time until this gateway may send a request, in milliseconds; undefined without a limit. */
  getWaitMs(upstream: string, urgency: Urgency, nowMs: number): number | undefined;
  /** Number of batch items that all gateways together may send now; infinite without a limit. */
  getSpareTokens(upstream: string, nowMs: number): number;
  /** Number of listed upstreams with a limit. */
  getLimitedCount(): number;
  /** Requests to the upstreams with a limit; starts new peaks. */
  takeSends(nowMs: number): ReadonlyMap<string, LimitedSends>;
  /** Reports of this gateway to its peers: what it heard or sent in the last seconds. */
  getReports(nowMs: number): UpstreamLimitReport[];
  /** Applies the reports of a peer. */
  updatePeer(peer: string, reports: readonly UpstreamLimitReport[], nowMs: number): void;
  /** Drops the state of a peer; its requests stay counted. */
  removePeer(peer: string): void;
  /**
   * Drops the state of all upstreams but the given ones. That of an upstream with a limit stays for some time:
   * its entry may lapse while it lives, and it names its limit all the while.
   */
  retain(upstreams: ReadonlySet<string>, nowMs: number): void;
}

/** Connections of the limits to their gateway. */
export interface UpstreamLimitHooks {
  readonly getVisibility: () => BucketVisibility;
  readonly random: Random;
  /** Called when the limit of an upstream begins, changes or ends. */
  readonly onChange?: (upstream: string, limit: UpstreamLimit) => void;
}

/**
 * Time from which a limit is known in which the first reports of peers arrive: what these have sent by
 * then is paid for by the empty bucket at the start.
 */
const START_MS = 500;

/**
 * Age up to which a peer's report of a limit is applied if the limit is not known here. The end of a
 * limit is remembered for as long, so that no older report can bring the limit back.
 */
const MAX_REPORT_AGE_MS = 5000;
/** Time for which the limit of an upstream is remembered that is no longer listed. */
const MAX_MISSING_MS = 10 * MS_PER_MINUTE;

/** Creates limits of which none is known. */
export const newUpstreamLimits = ({
  getVisibility,
  random,
  onChange = () => undefined,
}: UpstreamLimitHooks): UpstreamLimits => {
  const limits = new Map<string, UpstreamLimit>();
  /** Time at which this gateway itself last heard of each limit. */
  const heardMs = new Map<string, number>();
  const sendsByUpstream = new Map<string, UpstreamSends>();
  /** Buckets of the limits in force. */
  const buckets = new Map<string, SharedBucket>();
  /** Time from which each upstream with a limit has not been listed. */
  const missingSinceMs = new Map<string, number>();
  /** Time at which this gateway learnt of each limit. */
  const startedMs = new Map<string, number>();

  const getSends = (upstream: string): UpstreamSends => {
    const known = sendsByUpstream.get(upstream);
    if (known !== undefined) return known;
    const sends = newUpstreamSends();
    sendsByUpstream.set(upstream, sends);
    return sends;
  };

  const updateBucket = (
    upstream: string,
    requestsPerSecond: number | undefined,
    nowMs: number,
  ): void => {
    const bucket = buckets.get(upstream);
    if (requestsPerSecond === undefined) buckets.delete(upstream);
    else if (bucket !== undefined) bucket.setRate(requestsPerSecond, nowMs);
    else {
      buckets.set(upstream, newSharedBucket(requestsPerSecond, getVisibility, random, nowMs));
      startedMs.set(upstream, nowMs);
      getSends(upstream).restartReports();
    }
  };

  /** Applies what an upstream said, unless it is known to have said something later. */
  const applyLimit = (upstream: string, limit: UpstreamLimit, nowMs: number): void => {
    const known = limits.get(upstream);
    if (known === undefined && limit.requestsPerSecond === undefined) return;
    if (known !== undefined && known.saidMs > limit.saidMs) return;
    limits.set(upstream, limit);
    if (known?.requestsPerSecond === limit.requestsPerSecond) return;
    updateBucket(upstream, limit.requestsPerSecond, nowMs);
    onChange(upstream, limit);
  };

  const removeEnded = (nowMs: number): void =>
    limits.forEach(({ requestsPerSecond, saidMs }, upstream) => {
      if (requestsPerSecond !== undefined || nowMs - saidMs < MAX_REPORT_AGE_MS) return;
      limits.delete(upstream);
      heardMs.delete(upstream);
    });

  return {
    recordSend: (upstream, nowMs) => {
      getSends(upstream).recordOwn(nowMs);
      buckets.get(upstream)?.take(nowMs);
    },
    recordUnsent: (upstream, nowMs) => {
      getSends(upstream).takeBackOwn(nowMs);
      buckets.get(upstream)?.giveBack(nowMs);
    },
    recordResponse: (upstream, requestsPerSecond, nowMs) => {
      const isUnlimited = limits.get(upstream)?.requestsPerSecond === undefined;
      if (requestsPerSecond === undefined && isUnlimited) return;
      heardMs.set(upstream, nowMs);
      applyLimit(upstream, { requestsPerSecond, saidMs: nowMs }, nowMs);
    },
    getRequestsPerSecond: (upstream) => limits.get(upstream)?.requestsPerSecond,
    getWaitMs: (upstream, urgency, nowMs) => buckets.get(upstream)?.getWaitMs(urgency, nowMs),
    getSpareTokens: (upstream, nowMs) => buckets.get(upstream)?.getSpareTokens(nowMs) ?? Infinity,
    getLimitedCount: () =>
      [...buckets.keys()].filter((upstream) => !missingSinceMs.has(upstream)).length,
    takeSends: (nowMs) =>
      new Map(
        [...sendsByUpstream].flatMap(([upstream, sends]) => {
          const counts = sends.takeCounts(nowMs);
          const requestsPerSecond = limits.get(upstream)?.requestsPerSecond;
          return requestsPerSecond === undefined
            ? []
            : [[upstream, { requestsPerSecond, ...counts }] as const];
        }),
      ),
    getReports: (nowMs) => {
      removeEnded(nowMs);
      return [...limits].flatMap(([upstream, { requestsPerSecond, saidMs }]) => {
        const sent = getSends(upstream).getOwn(nowMs);
        const sinceHeardMs = nowMs - (heardMs.get(upstream) ?? -Infinity);
        if (sent.inWindow === 0 && sinceHeardMs >= UPSTREAM_LIMIT_WINDOW_MS) return [];
        return [{ upstream, requestsPerSecond, ageMs: nowMs - saidMs, sent }];
      });
    },
    updatePeer: (peer, reports, nowMs) =>
      reports.forEach(({ upstream, requestsPerSecond, ageMs, sent }) => {
        if (ageMs >= MAX_REPORT_AGE_MS && !limits.has(upstream)) return;
        applyLimit(upstream, { requestsPerSecond, saidMs: nowMs - ageMs }, nowMs);
        const sends = getSends(upstream);
        const isStarting = nowMs - (startedMs.get(upstream) ?? nowMs) < START_MS;
        if (isStarting && !sends.isKnown(peer)) sends.startPeer(peer, sent);
        const added = sends.recordPeer(peer, sent, nowMs);
        if (added > 0) buckets.get(upstream)?.takeForPeers(added, nowMs);
      }),
    removePeer: (peer) => sendsByUpstream.forEach((sends) => sends.removePeer(peer)),
    retain: (upstreams, nowMs) => {
      upstreams.forEach((upstream) => missingSinceMs.delete(upstream));
      const isDropped = (upstream: string): boolean => {
        if (upstreams.has(upstream)) return false;
        if (!buckets.has(upstream)) return true;
        const sinceMs = missingSinceMs.get(upstream) ?? nowMs;
        missingSinceMs.set(upstream, sinceMs);
        return nowMs - sinceMs >= MAX_MISSING_MS;
      };
      const known = new Set([...limits.keys(), ...sendsByUpstream.keys()]);
      [...known]
        .filter(isDropped)
        .forEach((upstream) =>
          [limits, heardMs, sendsByUpstream, buckets, startedMs, missingSinceMs].forEach((states) =>
            states.delete(upstream),
          ),
        );
    },
  };
};
