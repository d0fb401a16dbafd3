/** What a batch item asks for: run time by a due time; times on one clock in milliseconds. */
export interface ItemTiming {
  readonly dueMs: number;
  /** Run time that it is expected to need still. */
  readonly remainingMs: number;
}

/** Time that an item takes with its interruptions, as a multiple of the time for which it runs. */
const STRETCH = 1.5;

/** Whether an item can still be done by its due time if it is started now. */
const isInTime = ({ dueMs, remainingMs }: ItemTiming, nowMs: number): boolean =>
  nowMs + remainingMs * STRETCH <= dueMs;

/**
 * Orders two items: those that can still be in time go before those that can't, the earlier due
 * before the later, and of one job those with the least left, so that items get done rather than begun.
 */
export const compareUrgency = (a: ItemTiming, b: ItemTiming, nowMs: number): number =>
  Number(isInTime(b, nowMs)) - Number(isInTime(a, nowMs)) ||
  a.dueMs - b.dueMs ||
  a.remainingMs - b.remainingMs;

/** Estimate of the run time that items need, learned from their runs. */
export interface RunTimeEstimator {
  /** A run of an item of a route gave a number of events in a time, whether it ended or yielded. */
  learnRun(route: string, events: number, runMs: number): void;
  /** An item of a route was done with a number of events. */
  learnCompletion(route: string, events: number): void;
  /** Expected run time left of an item with a number of events, in milliseconds. */
  getRemainingMs(route: string, events: number): number;
}

const SAMPLE_SHARE = 0.1;
/** Part of the mean that an item past it is still expected to need. */
const LEAST_SHARE = 0.1;
/** Fewest events of a run that tell its speed: before them lies the reading of the prompt. */
const FEWEST_EVENTS = 10;
/** What items are taken to be before one has run. */
const FIRST_EVENTS = 250;
const FIRST_EVENT_MS = 20;

const getMoved = (mean: number, sample: number): number => mean + (sample - mean) * SAMPLE_SHARE;

/** Estimate that knows nothing yet. */
export const newRunTimeEstimator = (): RunTimeEstimator => {
  const eventsDone = new Map<string, number>();
  const eventMs = new Map<string, number>();
  return {
    learnRun: (route, events, runMs) => {
      if (events < FEWEST_EVENTS) return;
      const sample = runMs / events;
      eventMs.set(route, getMoved(eventMs.get(route) ?? sample, sample));
    },
    learnCompletion: (route, events) => {
      eventsDone.set(route, getMoved(eventsDone.get(route) ?? events, events));
    },
    getRemainingMs: (route, events) => {
      const mean = eventsDone.get(route) ?? FIRST_EVENTS;
      const left = Math.max(mean * LEAST_SHARE, mean - events);
      return left * (eventMs.get(route) ?? FIRST_EVENT_MS);
    },
  };
};
