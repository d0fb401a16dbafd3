/** What a batch item asks for: run time by a due time; times on one clock in milliseconds. */
export interface ItemDemand {
  readonly dueMs: number;
  /** Run time that it is expected to need still. */
  readonly remainingMs: number;
}

/** Whether an item can still be done by its due time if it runs from now on. */
const isInTime = ({ dueMs, remainingMs }: ItemDemand, nowMs: number): boolean =>
  nowMs + remainingMs <= dueMs;

/**
 * Orders two items: those that can still be in time go before those that can't, the earlier due
 * before the later, and of one job those with the least left, so that items get done rather than begun.
 */
export const compareItems = (a: ItemDemand, b: ItemDemand, nowMs: number): number =>
  Number(isInTime(b, nowMs)) - Number(isInTime(a, nowMs)) ||
  a.dueMs - b.dueMs ||
  a.remainingMs - b.remainingMs;

/** Estimate of the run time that items need, learned from those that were done. */
export interface ItemEstimate {
  /** An item of a route was done with a number of events in a run time. */
  learn(route: string, events: number, runMs: number): void;
  /** Expected run time left of an item with a number of events; 0 before anything is learned. */
  getRemainingMs(route: string, events: number): number;
}

const SAMPLE_SHARE = 0.1;
/** Part of the mean that an item past it is still expected to need. */
const LEAST_SHARE = 0.1;

/** Estimate that knows nothing yet. */
export const newItemEstimate = (): ItemEstimate => {
  const means = new Map<string, { readonly events: number; readonly runMs: number }>();
  return {
    learn: (route, events, runMs) => {
      const known = means.get(route) ?? { events, runMs };
      means.set(route, {
        events: known.events + (events - known.events) * SAMPLE_SHARE,
        runMs: known.runMs + (runMs - known.runMs) * SAMPLE_SHARE,
      });
    },
    getRemainingMs: (route, events) => {
      const mean = means.get(route);
      if (mean === undefined || mean.events <= 0) return 0;
      return mean.runMs * Math.max(LEAST_SHARE, 1 - events / mean.events);
    },
  };
};
