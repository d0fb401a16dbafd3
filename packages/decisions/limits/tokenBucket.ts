/** Token bucket of a single process. */
import { MS_PER_SECOND } from '@anvilpaddle/common';

/** Rate limit of a token bucket: tokens per second, and the most tokens that it can hold. */
export interface RateLimit {
  readonly rate: number;
  readonly burst: number;
}

/** Decision on one request. */
export type Admission =
  { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

/** Bucket of tokens that refills over time; times are monotonic milliseconds. */
export interface TokenBucket {
  /** Takes tokens if the bucket has enough of them. */
  take(count: number, nowMs: number): Admission;
  /** Changes the rate limit; tokens beyond the new burst are lost. */
  setRateLimit(rateLimit: RateLimit, nowMs: number): void;
  /** Tokens in the bucket. */
  level(nowMs: number): number;
}

/** Bucket that starts at a level, full by default. */
export const newTokenBucket = (
  initialRateLimit: RateLimit,
  startMs: number,
  initialLevel: number = initialRateLimit.burst,
): TokenBucket => {
  let rateLimit = initialRateLimit;
  let tokens = initialLevel;
  let updatedMs = startMs;

  const refill = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - updatedMs);
    tokens = Math.min(rateLimit.burst, tokens + (elapsedMs * rateLimit.rate) / MS_PER_SECOND);
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
      // The lower bound on the rate keeps the retry time finite when the rate is 0.
      return {
        admitted: false,
        retryAfterMs: (missing * MS_PER_SECOND) / Math.max(rateLimit.rate, 1e-6),
      };
    },
    setRateLimit: (next, nowMs) => {
      refill(nowMs);
      rateLimit = next;
      tokens = Math.min(tokens, next.burst);
    },
    level: (nowMs) => {
      refill(nowMs);
      return tokens;
    },
  };
};
