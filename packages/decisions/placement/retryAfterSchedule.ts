/** Retry-after times of callers that are refused because all upstreams are busy. */

/** What the retry-after time depends on. */
export interface CapacityShortage {
  /** Time until the shortest queue has drained, in milliseconds. */
  readonly queueMs: number;
  /** Time until the limits that upstreams name allow a request, in milliseconds; none by default. */
  readonly limitWaitMs?: number | undefined;
  /** Time in which this gateway's share of the upstreams can take one more request, in ms. */
  readonly admissionIntervalMs: number;
}

/** Spreads the retries of refused callers over the time in which they can be served. */
export interface RetryAfterSchedule {
  /** Time after which one more refused caller should retry, in milliseconds. */
  getRetryAfterMs(shortage: CapacityShortage, nowMs: number): number;
}

/** Minimum retry-after time: the load needs time to change. */
const MIN_RETRY_AFTER_MS = 150;
/**
 * Maximum retry-after time, unless the upstreams' limits allow nothing sooner: callers with a timeout
 * of a few seconds don't wait longer.
 */
const MAX_RETRY_AFTER_MS = 1500;

/** Creates a schedule without retries. */
export const newRetryAfterSchedule = (): RetryAfterSchedule => {
  let lastRetryMs = -Infinity;
  return {
    getRetryAfterMs: ({ queueMs, limitWaitMs = 0, admissionIntervalMs }, nowMs) => {
      const earliestMs = nowMs + Math.max(MIN_RETRY_AFTER_MS, queueMs, limitWaitMs);
      const nextMs = Math.max(earliestMs, lastRetryMs + admissionIntervalMs);
      const retryMs = Math.min(nextMs, nowMs + Math.max(MAX_RETRY_AFTER_MS, limitWaitMs));
      lastRetryMs = retryMs;
      return retryMs - nowMs;
    },
  };
};
