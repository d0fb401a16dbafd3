/** What the time of a refused caller's return goes by. */
export interface CapacityShortage {
  /** Time until the shortest queue has drained, in milliseconds. */
  readonly queueMs: number;
  /** Time in which this gateway's part of the upstreams takes in one more request, in ms. */
  readonly admissionIntervalMs: number;
}

/** Spreads the returns of refused callers over the time in which there will be room for them. */
export interface RetryAfterSchedule {
  /** Time after which one more refused caller should come back, in milliseconds. */
  getRetryAfterMs(shortage: CapacityShortage, nowMs: number): number;
}

/** Shortest time to come back: the load has to change first. */
const SHORTEST_MS = 150;
/** Longest time to come back; callers with a few seconds heed no longer one. */
const LONGEST_MS = 1500;

/** Schedule without any return due. */
export const newRetryAfterSchedule = (): RetryAfterSchedule => {
  let lastReturnMs = -Infinity;
  return {
    getRetryAfterMs: ({ queueMs, admissionIntervalMs: spacingMs }, nowMs) => {
      const earliestMs = nowMs + Math.max(SHORTEST_MS, queueMs);
      const nextMs = Math.max(earliestMs, lastReturnMs + spacingMs);
      const returnMs = Math.min(nextMs, nowMs + LONGEST_MS);
      lastReturnMs = returnMs;
      return returnMs - nowMs;
    },
  };
};
