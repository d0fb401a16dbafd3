/**
 * Time until a new arrival gets a slot, in milliseconds. `freeAtMs` says in how long each slot
 * comes free; the work ahead, in slot-milliseconds, takes slots as they come free.
 */
export const getExpectedWaitMs = (freeAtMs: readonly number[], workAheadMs: number): number => {
  const sorted = [...freeAtMs].sort((a, b) => a - b);
  let waitMs = sorted[0] ?? 0;
  let leftMs = workAheadMs;
  for (let free = 1; leftMs > 0 && free <= sorted.length; free += 1) {
    const untilNextMs = (sorted[free] ?? Infinity) - waitMs;
    const stepMs = Math.min(untilNextMs, leftMs / free);
    waitMs += stepMs;
    leftMs -= stepMs * free;
  }
  return waitMs;
};
