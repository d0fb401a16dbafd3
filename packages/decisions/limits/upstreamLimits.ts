/** Limits that upstreams name for the requests of all gateways together. */
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
  /** Applies the limit in a response of the upstream; undefined if the response names none. */
  recordResponse(upstream: string, requestsPerSecond: number | undefined, nowMs: number): void;
  /** Whether the upstream has a limit. */
  isLimited(upstream: string): boolean;
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

/** Called when the limit of an upstream begins, changes or ends. */
export type UpstreamLimitListener = (upstream: string, limit: UpstreamLimit) => void;

/** Time for which the end of a limit is reported to peers that may not know of it. */
const END_REPORT_MS = 5000;

/** Creates limits of which none is known. */
export const newUpstreamLimits = (
  onChange: UpstreamLimitListener = () => undefined,
): UpstreamLimits => {
  const limits = new Map<string, UpstreamLimit>();
  const sendsByUpstream = new Map<string, UpstreamSends>();

  const getSends = (upstream: string): UpstreamSends => {
    const known = sendsByUpstream.get(upstream);
    if (known !== undefined) return known;
    const sends = newUpstreamSends();
    sendsByUpstream.set(upstream, sends);
    return sends;
  };

  /** Applies what an upstream said, unless it is known to have said something later. */
  const applyLimit = (upstream: string, limit: UpstreamLimit): void => {
    const known = limits.get(upstream);
    if (known === undefined && limit.requestsPerSecond === undefined) return;
    if (known !== undefined && known.saidMs > limit.saidMs) return;
    limits.set(upstream, limit);
    if (known?.requestsPerSecond !== limit.requestsPerSecond) onChange(upstream, limit);
  };

  const getInForce = (): [string, number][] =>
    [...limits].flatMap(([upstream, { requestsPerSecond }]) =>
      requestsPerSecond === undefined ? [] : [[upstream, requestsPerSecond]],
    );

  const isReported = ({ requestsPerSecond, saidMs }: UpstreamLimit, nowMs: number): boolean =>
    requestsPerSecond !== undefined || nowMs - saidMs < END_REPORT_MS;

  return {
    recordSend: (upstream, nowMs) => getSends(upstream).recordOwn(nowMs),
    recordResponse: (upstream, requestsPerSecond, nowMs) =>
      applyLimit(upstream, { requestsPerSecond, saidMs: nowMs }),
    isLimited: (upstream) => limits.get(upstream)?.requestsPerSecond !== undefined,
    getLimitedCount: () => getInForce().length,
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
        applyLimit(upstream, { requestsPerSecond, saidMs: nowMs - ageMs });
        getSends(upstream).recordPeer(peer, sent, nowMs);
      }),
    removePeer: (peer) => sendsByUpstream.forEach((sends) => sends.removePeer(peer)),
    retain: (upstreams) =>
      [limits, sendsByUpstream].forEach((states) =>
        [...states.keys()]
          .filter((upstream) => !upstreams.has(upstream))
          .forEach((upstream) => states.delete(upstream)),
      ),
  };
};
