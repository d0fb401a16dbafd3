/** Reports of upstreams' limits as gateways send them to each other, checked by hand. */
import type { UpstreamLimitReport } from '@anvilpaddle/decisions';

/**
 * Upstream's incarnation, requests per second (null without a limit), age of that in milliseconds,
 * requests sent since the gateway started, and in the window.
 */
export type EncodedLimitReport = readonly [string, number | null, number, number, number];

const MAX_UPSTREAM_CHARS = 128;
/** Longest list of reports that is read of one sender. */
const MAX_REPORTS = 1000;

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && isAmount(value);

const isLimitReport = (value: unknown): value is EncodedLimitReport =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  value[0].length <= MAX_UPSTREAM_CHARS &&
  (value[1] === null || isAmount(value[1])) &&
  isAmount(value[2]) &&
  isCount(value[3]) &&
  isCount(value[4]);

/** Encodes reports for a datagram, with ages rounded to milliseconds. */
export const encodeLimitReports = (reports: readonly UpstreamLimitReport[]): EncodedLimitReport[] =>
  reports.map(({ upstream, requestsPerSecond, ageMs, sent }) => [
    upstream,
    requestsPerSecond ?? null,
    Math.max(0, Math.round(ageMs)),
    sent.total,
    Math.max(0, sent.inWindow),
  ]);

/** Decodes a peer's reports without the invalid ones; a peer of an earlier version sends none. */
export const decodeLimitReports = (value: unknown): UpstreamLimitReport[] =>
  Array.isArray(value)
    ? value
        .slice(0, MAX_REPORTS)
        .filter(isLimitReport)
        .map(([upstream, requestsPerSecond, ageMs, total, inWindow]) => ({
          upstream,
          requestsPerSecond: requestsPerSecond ?? undefined,
          ageMs,
          sent: { total, inWindow },
        }))
    : [];
