/** Estimate of how long new work waits for a slot of an upstream. */

/**
 * Time until a new arrival gets a slot, in milliseconds. `timesUntilFreeMs` holds for each slot the
 * time until it becomes free; the work ahead, in slot-milliseconds, takes the slots as they become
 * free.
 */
export const getExpectedWaitMs = (
  timesUntilFreeMs: readonly number[],
  workAheadMs: number,
): number => {
  const sorted = [...timesUntilFreeMs].sort((a, b) => a - b);
  let waitMs = sorted[0] ?? 0;
  let remainingWorkMs = workAheadMs;
  for (let freeSlots = 1; remainingWorkMs > 0 && freeSlots <= sorted.length; freeSlots += 1) {
    const untilNextSlotMs = (sorted[freeSlots] ?? Infinity) - waitMs;
    const stepMs = Math.min(untilNextSlotMs, remainingWorkMs / freeSlots);
    waitMs += stepMs;
    remainingWorkMs -= stepMs * freeSlots;
  }
  return waitMs;
};
