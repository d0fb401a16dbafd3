/** Order in which batch items run, and estimates of the run time that they need. */

/** Due time and remaining run time of a batch item, in milliseconds of one clock. */
export interface ItemTiming {
  readonly dueMs: number;
  /** Run time that the item is still expected to need. */
  readonly remainingMs: number;
  /** Whether the item has given events; undefined if a gateway of an earlier version reports it. */
  readonly hasBegun?: boolean;
}

/** Order of items at a time; negative if the first one is more urgent. */
export type UrgencyOrder = (a: ItemTiming, b: ItemTiming, nowMs: number) => number;

/** Elapsed time that an item takes, interruptions included, as a multiple of its run time. */
const INTERRUPTION_FACTOR = 1.5;
/** The same for an item that has begun: it is interrupted less, as it goes before fresh ones. */
const BEGUN_INTERRUPTION_FACTOR = 1.2;

/** Whether an item that is started now can finish by its due time. */
const canFinishInTime = (
  { dueMs, remainingMs }: ItemTiming,
  nowMs: number,
  factor = INTERRUPTION_FACTOR,
): boolean => nowMs + remainingMs * factor <= dueMs;

/** The same by whether the item has begun. */
const canFinishByProgress = (item: ItemTiming, nowMs: number): boolean =>
  canFinishInTime(
    item,
    nowMs,
    item.hasBegun === true ? BEGUN_INTERRUPTION_FACTOR : INTERRUPTION_FACTOR,
  );

/**
 * Compares two items by urgency. Items that can still finish in time go before those that can't,
 * then those that are due earlier go first. Of items due at the same time, such as those of one
 * job, the one with the least remaining run time goes first, so that started items are completed
 * before others start.
 */
const compareByDueTime: UrgencyOrder = (a, b, nowMs) =>
  Number(canFinishInTime(b, nowMs)) - Number(canFinishInTime(a, nowMs)) ||
  a.dueMs - b.dueMs ||
  a.remainingMs - b.remainingMs;

/**
 * Compares two items by urgency. Items that can still finish in time go before those that can't,
 * then those that have begun before those that have not. Of items that have begun, the one with the
 * least remaining run time goes first: if the earliest due went first, then under overload all slots
 * would run items that miss their due time at the next interruption. Fresh items go by due time, as
 * the remaining run times of gateways differ by chance.
 */
const compareByProgress: UrgencyOrder = (a, b, nowMs) =>
  Number(canFinishByProgress(b, nowMs)) - Number(canFinishByProgress(a, nowMs)) ||
  Number(b.hasBegun) - Number(a.hasBegun) ||
  (a.hasBegun === true ? a.remainingMs - b.remainingMs : 0) ||
  a.dueMs - b.dueMs ||
  a.remainingMs - b.remainingMs;

/**
 * Order in which a set of items competes. If a gateway of an earlier version reports one of them,
 * they go by due time, as they do at that gateway: with different orders, two gateways could each
 * expect the other to act.
 */
export const getUrgencyOrder = (items: readonly ItemTiming[]): UrgencyOrder =>
  items.every(({ hasBegun }) => hasBegun !== undefined) ? compareByProgress : compareByDueTime;

/** Compares two items by the order in which they compete with each other. */
export const compareUrgency: UrgencyOrder = (a, b, nowMs) =>
  a.hasBegun === undefined || b.hasBegun === undefined
    ? compareByDueTime(a, b, nowMs)
    : compareByProgress(a, b, nowMs);

/** Estimates the run time that items need, learned from earlier runs of their route. */
export interface RunTimeEstimator {
  /** Records the events and the duration of a run, whether the item finished or was preempted. */
  learnRun(route: string, events: number, runMs: number): void;
  /** Records the total number of events of an item that has finished. */
  learnCompletion(route: string, events: number): void;
  /**
   * Expected remaining run time of an item that has given a number of events, in milliseconds; at the
   * pace of its run if that is known.
   */
  getRemainingMs(route: string, events: number, runMsPerEvent?: number): number;
  /** Mean time per event of a route, in milliseconds; undefined before a run was measured. */
  getMsPerEvent(route: string): number | undefined;
}

/** Weight of a new sample in the moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Fraction of the mean events that an item past the mean is still expected to need. */
const MIN_REMAINING_FRACTION = 0.1;
/**
 * Minimum number of events of a run from which the time per event is learned: in shorter runs the
 * processing of the prompt dominates.
 */
const MIN_EVENTS_OF_SAMPLE = 10;
/** Assumed events of an item before one of its route has finished. */
const INITIAL_EVENTS_PER_ITEM = 250;
/** Assumed time per event before an item of the route has run. */
const INITIAL_MS_PER_EVENT = 20;

const getSmoothed = (mean: number, sample: number): number =>
  mean + (sample - mean) * SMOOTHING_FACTOR;

/** Creates an estimator without samples. */
export const newRunTimeEstimator = (): RunTimeEstimator => {
  const eventsPerItem = new Map<string, number>();
  const msPerEvent = new Map<string, number>();
  return {
    learnRun: (route, events, runMs) => {
      if (events < MIN_EVENTS_OF_SAMPLE) return;
      const sample = runMs / events;
      msPerEvent.set(route, getSmoothed(msPerEvent.get(route) ?? sample, sample));
    },
    learnCompletion: (route, events) => {
      eventsPerItem.set(route, getSmoothed(eventsPerItem.get(route) ?? events, events));
    },
    getMsPerEvent: (route) => msPerEvent.get(route),
    getRemainingMs: (
      route,
      events,
      runMsPerEvent = msPerEvent.get(route) ?? INITIAL_MS_PER_EVENT,
    ) => {
      const mean = eventsPerItem.get(route) ?? INITIAL_EVENTS_PER_ITEM;
      const remainingEvents = Math.max(mean * MIN_REMAINING_FRACTION, mean - events);
      return remainingEvents * runMsPerEvent;
    },
  };
};
