/** Limits that upstreams name for the requests of all gateways together. */
import type { Random } from '@anvilpaddle/common';
import {
  newSharedBucket,
  type BucketVisibility,
  type SharedBucket,
  type Urgency,
} from './sharedBucket';
import { newUpstreamSends, type SendCounts, type UpstreamSends } from './upstreamSends';

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
  /** Requests that the gateway has sent to the upstream since the gateway started. */
  readonly sent: number;
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
  /** Time until this gateway may send the upstream a request, in milliseconds. */
  getWaitMs(upstream: string, urgency: Urgency, nowMs: number): number;
  /** Number of batch items that all gateways together may send now; infinite without a limit. */
  getSpareTokens(upstream: string, nowMs: number): number;
  /** Number of upstreams with a limit. */
  getLimitedCount(): number;
  /** Requests to the upstreams with a limit; starts new peaks. */
  takeSends(nowMs: number): ReadonlyMap<string, LimitedSends>;
  /** Reports of this gateway to its peers: limits in force, and those that ended recently. */
  getReports(nowMs: number): UpstreamLimitReport[];
  /** Applies the reports of a peer. */
  updatePeer(peer: string, reports: readonly UpstreamLimitReport[], nowMs: number): void;
  /** Drops the state of a peer; its requests stay counted. */
  removePeer(peer: string): void;
  /** Drops the state of all upstreams but the given ones. */
  retain(upstreams: ReadonlySet<string>): void;
}

/** Connections of the limits to their gateway. */
export interface UpstreamLimitHooks {
  readonly getVisibility: () => BucketVisibility;
  readonly random: Random;
  /** Called when the limit of an upstream begins, changes or ends. */
  readonly onChange?: (upstream: string, limit: UpstreamLimit) => void;
}

/** Time for which the end of a limit is reported to peers that may not know of it. */
const END_REPORT_MS = 5000;

/** Creates limits of which none is known. */
export const newUpstreamLimits = ({
  getVisibility,
  random,
  onChange = () => undefined,
}: UpstreamLimitHooks): UpstreamLimits => {
  const limits = new Map<string, UpstreamLimit>();
  const sendsByUpstream = new Map<string, UpstreamSends>();
  /** Buckets of the limits in force. */
  const buckets = new Map<string, SharedBucket>();

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
    else buckets.set(upstream, newSharedBucket(requestsPerSecond, getVisibility, random, nowMs));
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

  const isReported = ({ requestsPerSecond, saidMs }: UpstreamLimit, nowMs: number): boolean =>
    requestsPerSecond !== undefined || nowMs - saidMs < END_REPORT_MS;

  return {
    recordSend: (upstream, nowMs) => {
      getSends(upstream).recordOwn(nowMs);
      buckets.get(upstream)?.take(1, nowMs);
    },
    recordUnsent: (upstream, nowMs) => {
      getSends(upstream).takeBackOwn(nowMs);
      buckets.get(upstream)?.giveBack(nowMs);
    },
    recordResponse: (upstream, requestsPerSecond, nowMs) =>
      applyLimit(upstream, { requestsPerSecond, saidMs: nowMs }, nowMs),
    getRequestsPerSecond: (upstream) => limits.get(upstream)?.requestsPerSecond,
    getWaitMs: (upstream, urgency, nowMs) => buckets.get(upstream)?.getWaitMs(urgency, nowMs) ?? 0,
    getSpareTokens: (upstream, nowMs) => buckets.get(upstream)?.getSpareTokens(nowMs) ?? Infinity,
    getLimitedCount: () => buckets.size,
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
    getReports: (nowMs) =>
      [...limits]
        .filter(([, limit]) => isReported(limit, nowMs))
        .map(([upstream, { requestsPerSecond, saidMs }]) => ({
          upstream,
          requestsPerSecond,
          ageMs: nowMs - saidMs,
          sent: getSends(upstream).getOwnTotal(),
        })),
    updatePeer: (peer, reports, nowMs) =>
      reports.forEach(({ upstream, requestsPerSecond, ageMs, sent }) => {
        applyLimit(upstream, { requestsPerSecond, saidMs: nowMs - ageMs }, nowMs);
        const added = getSends(upstream).recordPeer(peer, sent, nowMs);
        if (added > 0) buckets.get(upstream)?.take(added, nowMs);
      }),
    removePeer: (peer) => sendsByUpstream.forEach((sends) => sends.removePeer(peer)),
    retain: (upstreams) =>
      [limits, sendsByUpstream, buckets].forEach((states) =>
        [...states.keys()]
          .filter((upstream) => !upstreams.has(upstream))
          .forEach((upstream) => states.delete(upstream)),
      ),
  };
};
