/** Reports of upstreams' limits as gateways send them to each other, checked by hand. */
import type { UpstreamLimitReport } from '@anvilpaddle/decisions';

/** Upstream's incarnation, requests per second (null at the end of a limit), its age in ms, requests sent. */
export type EncodedLimitReport = readonly [string, number | null, number, number];

const MAX_UPSTREAM_CHARS = 128;
/** Longest list of reports that is read of one sender. */
const MAX_REPORTS = 1000;

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isLimitReport = (value: unknown): value is EncodedLimitReport =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  value[0].length <= MAX_UPSTREAM_CHARS &&
  (value[1] === null || isAmount(value[1])) &&
  isAmount(value[2]) &&
  Number.isSafeInteger(value[3]) &&
  isAmount(value[3]);

/** Encodes reports for a datagram, with ages rounded to milliseconds. */
export const encodeLimitReports = (reports: readonly UpstreamLimitReport[]): EncodedLimitReport[] =>
  reports.map(({ upstream, requestsPerSecond, ageMs, sent }) => [
    upstream,
    requestsPerSecond ?? null,
    Math.max(0, Math.round(ageMs)),
    sent,
  ]);

/** Decodes a peer's reports without the invalid ones; a peer of an earlier version sends none. */
export const decodeLimitReports = (value: unknown): UpstreamLimitReport[] =>
  Array.isArray(value)
    ? value
        .slice(0, MAX_REPORTS)
        .filter(isLimitReport)
        .map(([upstream, requestsPerSecond, ageMs, sent]) => ({
          upstream,
          requestsPerSecond: requestsPerSecond ?? undefined,
          ageMs,
          sent,
        }))
    : [];
