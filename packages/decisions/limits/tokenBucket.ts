import { MS_PER_SECOND } from '@anvilpaddle/common';

/** Tokens a second and the most that may be saved up. */
export interface RateLimit {
  readonly rate: number;
  readonly burst: number;
}

/** Decision on one request. */
export type Admission =
  { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

/** Bucket of tokens that refills over time. */
export interface TokenBucket {
  /** Takes tokens when there are enough; times are monotonic milliseconds. */
  take(count: number, nowMs: number): Admission;
  /** Changes the rate; what was saved is cut to the new burst. */
  setRateLimit(rate: RateLimit, nowMs: number): void;
  level(nowMs: number): number;
}

/** Bucket that starts at a level, full by default. */
export const newTokenBucket = (
  initialRate: RateLimit,
  startMs: number,
  initialLevel: number = initialRate.burst,
): TokenBucket => {
  let rate = initialRate;
  let tokens = initialLevel;
  let updatedMs = startMs;

  const refill = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - updatedMs);
    tokens = Math.min(rate.burst, tokens + (elapsedMs * rate.rate) / MS_PER_SECOND);
    updatedMs = Math.max(updatedMs, nowMs);
  };

  return {
    take: (count, nowMs) => {
      refill(nowMs);
      if (tokens >= count) {
        tokens -= count;
        return { admitted: true };
      }
      const missing = count - tokens;
      return {
        admitted: false,
        retryAfterMs: (missing * MS_PER_SECOND) / Math.max(rate.rate, 1e-6),
      };
    },
    setRateLimit: (next, nowMs) => {
      refill(nowMs);
      rate = next;
      tokens = Math.min(tokens, next.burst);
    },
    level: (nowMs) => {
      refill(nowMs);
      return tokens;
    },
  };
};
