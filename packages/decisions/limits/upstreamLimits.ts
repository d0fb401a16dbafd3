/** Limits that upstreams name for the requests of all gateways together. */
import { MS_PER_MINUTE, MS_PER_SECOND, type Random } from '@anvilpaddle/common';
import { newColdBucket, type ColdBucket } from './coldBucket';
import {
  newSharedBucket,
  type BucketVisibility,
  type RateBound,
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

/** What a cold upstream takes. */
export interface ColdRate {
  /** Requests per second from all gateways together. */
  readonly requestsPerSecond: number;
  /** Monotonic time until which the upstream is cold, in milliseconds. */
  readonly untilMs: number;
}

/** Use of what the cold upstreams take. */
export interface ColdUse {
  /** Requests of all gateways in the last window, as far as this one knows. */
  readonly sent: number;
  /** Requests that the upstreams take in a window. */
  readonly taken: number;
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
  /** Sets what a cold upstream takes; undefined once it is warm, or takes any number. */
  setColdRate(upstream: string, cold: ColdRate | undefined, nowMs: number): void;
  /** Use of what the cold upstreams take together. */
  getColdUse(nowMs: number): ColdUse;
  /** Lowest rate in force for the upstream, in requests per second; undefined if there is none. */
  getRequestsPerSecond(upstream: string, nowMs: number): number | undefined;
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
  /** How far the requests to a cold upstream may exceed what it takes. */
  readonly coldBound?: RateBound;
  /** Called when the limit of an upstream begins, changes or ends. */
  readonly onChange?: (upstream: string, limit: UpstreamLimit) => void;
}

/**
 * Time from which a limit is known in which the first reports of peers arrive: what these have sent by
 * then is paid for by the empty bucket at the start.
 */
const START_MS = 500;

/** Bound of the limits that upstreams name. */
const LIMIT_BOUND: RateBound = {
  windowMs: UPSTREAM_LIMIT_WINDOW_MS,
  tolerance: { share: 0.5, count: 5 },
};
/** Bound of what cold upstreams take. */
export const DEFAULT_COLD_BOUND: RateBound = {
  windowMs: MS_PER_SECOND,
  tolerance: { share: 0.5, count: 5 },
};

/**
 * Age of a report that says nothing of a limit, only what was sent to a cold upstream. Every other
 * statement is newer, also to a gateway of a version that doesn't know cold upstreams.
 */
const NO_STATEMENT_AGE_MS = 1e9;

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
  coldBound = DEFAULT_COLD_BOUND,
  onChange = () => undefined,
}: UpstreamLimitHooks): UpstreamLimits => {
  const limits = new Map<string, UpstreamLimit>();
  /** Time at which this gateway itself last heard of each limit. */
  const heardMs = new Map<string, number>();
  const sendsByUpstream = new Map<string, UpstreamSends>();
  /** Buckets of the limits in force. */
  const buckets = new Map<string, SharedBucket>();
  /** What the cold upstreams take. */
  const colds = new Map<string, ColdRate & { readonly bucket: ColdBucket }>();
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

  const getCold = (upstream: string, nowMs: number) => {
    const cold = colds.get(upstream);
    return cold !== undefined && cold.untilMs > nowMs ? cold : undefined;
  };

  /** Changes the buckets in force for an upstream: that of its limit, and that of a cold one. */
  const changeBuckets = (
    upstream: string,
    nowMs: number,
    change: (bucket: SharedBucket) => void,
  ): void => {
    const bucket = buckets.get(upstream);
    if (bucket !== undefined) change(bucket);
    const cold = getCold(upstream, nowMs);
    if (cold !== undefined) change(cold.bucket);
  };

  /** Begins to count what gateways send to an upstream, unless that has begun already. */
  const startCounting = (upstream: string, nowMs: number): void => {
    if (buckets.has(upstream) || getCold(upstream, nowMs) !== undefined) return;
    startedMs.set(upstream, nowMs);
    getSends(upstream).restartReports();
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
      startCounting(upstream, nowMs);
      buckets.set(
        upstream,
        newSharedBucket(requestsPerSecond, LIMIT_BOUND, getVisibility, random, nowMs),
      );
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
      changeBuckets(upstream, nowMs, (bucket) => bucket.take(nowMs));
    },
    recordUnsent: (upstream, nowMs) => {
      getSends(upstream).takeBackOwn(nowMs);
      changeBuckets(upstream, nowMs, (bucket) => bucket.giveBack(nowMs));
    },
    recordResponse: (upstream, requestsPerSecond, nowMs) => {
      const isUnlimited = limits.get(upstream)?.requestsPerSecond === undefined;
      if (requestsPerSecond === undefined && isUnlimited) return;
      heardMs.set(upstream, nowMs);
      applyLimit(upstream, { requestsPerSecond, saidMs: nowMs }, nowMs);
    },
    setColdRate: (upstream, cold, nowMs) => {
      const known = getCold(upstream, nowMs);
      if (cold === undefined || cold.untilMs <= nowMs) {
        colds.delete(upstream);
        return;
      }
      const { requestsPerSecond } = cold;
      if (known !== undefined) {
        known.bucket.setRate(requestsPerSecond, nowMs);
        colds.set(upstream, { ...cold, bucket: known.bucket });
        return;
      }
      startCounting(upstream, nowMs);
      const bucket = newColdBucket(requestsPerSecond, coldBound, getVisibility, random, nowMs);
      colds.set(upstream, { ...cold, bucket });
    },
    getColdUse: (nowMs) =>
      [...colds.values()]
        .filter(({ untilMs }) => untilMs > nowMs)
        .reduce<ColdUse>(
          ({ sent, taken }, { bucket, requestsPerSecond }) => ({
            sent: sent + bucket.getSentInWindow(nowMs),
            taken: taken + (requestsPerSecond * coldBound.windowMs) / MS_PER_SECOND,
          }),
          { sent: 0, taken: 0 },
        ),
    getRequestsPerSecond: (upstream, nowMs) => {
      const limit = limits.get(upstream)?.requestsPerSecond;
      const cold = getCold(upstream, nowMs)?.requestsPerSecond;
      return limit === undefined || cold === undefined ? (limit ?? cold) : Math.min(limit, cold);
    },
    getWaitMs: (upstream, urgency, nowMs) => {
      const limitMs = buckets.get(upstream)?.getWaitMs(urgency, nowMs);
      const coldMs = getCold(upstream, nowMs)?.bucket.getWaitMs(urgency, nowMs);
      return limitMs === undefined || coldMs === undefined
        ? (limitMs ?? coldMs)
        : Math.max(limitMs, coldMs);
    },
    getSpareTokens: (upstream, nowMs) =>
      Math.min(
        buckets.get(upstream)?.getSpareTokens(nowMs) ?? Infinity,
        getCold(upstream, nowMs)?.bucket.getSpareTokens(nowMs) ?? Infinity,
      ),
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
      const coldReports = [...colds.keys()]
        .filter((upstream) => !limits.has(upstream) && getCold(upstream, nowMs) !== undefined)
        .map((upstream) => ({
          upstream,
          requestsPerSecond: undefined,
          ageMs: NO_STATEMENT_AGE_MS,
          sent: getSends(upstream).getOwn(nowMs),
        }))
        .filter(({ sent }) => sent.inWindow > 0);
      const limitReports = [...limits].flatMap(([upstream, { requestsPerSecond, saidMs }]) => {
        const sent = getSends(upstream).getOwn(nowMs);
        const sinceHeardMs = nowMs - (heardMs.get(upstream) ?? -Infinity);
        if (sent.inWindow === 0 && sinceHeardMs >= UPSTREAM_LIMIT_WINDOW_MS) return [];
        return [{ upstream, requestsPerSecond, ageMs: nowMs - saidMs, sent }];
      });
      return [...limitReports, ...coldReports];
    },
    updatePeer: (peer, reports, nowMs) =>
      reports.forEach(({ upstream, requestsPerSecond, ageMs, sent }) => {
        const isApplied = ageMs < MAX_REPORT_AGE_MS || limits.has(upstream);
        if (!isApplied && getCold(upstream, nowMs) === undefined) return;
        if (isApplied) applyLimit(upstream, { requestsPerSecond, saidMs: nowMs - ageMs }, nowMs);
        const sends = getSends(upstream);
        const isStarting = nowMs - (startedMs.get(upstream) ?? nowMs) < START_MS;
        if (isStarting && !sends.isKnown(peer)) sends.startPeer(peer, sent);
        const added = sends.recordPeer(peer, sent, nowMs);
        if (added === 0) return;
        changeBuckets(upstream, nowMs, (bucket) => bucket.takeForPeers(added, nowMs));
      }),
    removePeer: (peer) => sendsByUpstream.forEach((sends) => sends.removePeer(peer)),
    retain: (upstreams, nowMs) => {
      upstreams.forEach((upstream) => missingSinceMs.delete(upstream));
      colds.forEach(({ untilMs }, upstream) => {
        if (untilMs <= nowMs) colds.delete(upstream);
      });
      const isDropped = (upstream: string): boolean => {
        if (upstreams.has(upstream)) return false;
        if (!buckets.has(upstream) && !colds.has(upstream)) return true;
        const sinceMs = missingSinceMs.get(upstream) ?? nowMs;
        missingSinceMs.set(upstream, sinceMs);
        return nowMs - sinceMs >= MAX_MISSING_MS;
      };
      const known = new Set([...limits.keys(), ...sendsByUpstream.keys()]);
      [...known]
        .filter(isDropped)
        .forEach((upstream) =>
          [limits, heardMs, sendsByUpstream, buckets, colds, startedMs, missingSinceMs].forEach(
            (states) => states.delete(upstream),
          ),
        );
    },
  };
};
