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

/**
 * Elapsed time that an item takes, interruptions included, as a multiple of its run time. An item
 * that has begun is interrupted less, since it goes before those that have not.
 */
const INTERRUPTION_FACTOR = { begun: 1.2, fresh: 2, unknown: 1.5 } as const;

/** Whether an item that is started now can finish by its due time. */
const canFinishInTime = (
  { dueMs, remainingMs, hasBegun }: ItemTiming,
  nowMs: number,
  factor: number = hasBegun === true ? INTERRUPTION_FACTOR.begun : INTERRUPTION_FACTOR.fresh,
): boolean => nowMs + remainingMs * factor <= dueMs;

/**
 * Compares two items by urgency. Items that can still finish in time go before those that can't,
 * then those that are due earlier go first. Of items due at the same time, such as those of one
 * job, the one with the least remaining run time goes first, so that started items are completed
 * before others start.
 */
const compareByDueTime: UrgencyOrder = (a, b, nowMs) =>
  Number(canFinishInTime(b, nowMs, INTERRUPTION_FACTOR.unknown)) -
    Number(canFinishInTime(a, nowMs, INTERRUPTION_FACTOR.unknown)) ||
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
  Number(canFinishInTime(b, nowMs)) - Number(canFinishInTime(a, nowMs)) ||
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
export const compareUrgency: UrgencyOrder = (a, b, nowMs) => getUrgencyOrder([a, b])(a, b, nowMs);

/** Estimates the run time that items need, learned from earlier runs of their route. */
export interface RunTimeEstimator {
  /** Records the events and the duration of a run, whether the item finished or was preempted. */
  learnRun(route: string, events: number, runMs: number): void;
  /** Records the total number of events of an item that has finished. */
  learnCompletion(route: string, events: number): void;
  /** Expected remaining run time of an item that has given a number of events, in milliseconds. */
  getRemainingMs(route: string, events: number): number;
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
    getRemainingMs: (route, events) => {
      const mean = eventsPerItem.get(route) ?? INITIAL_EVENTS_PER_ITEM;
      const remainingEvents = Math.max(mean * MIN_REMAINING_FRACTION, mean - events);
      return remainingEvents * (msPerEvent.get(route) ?? INITIAL_MS_PER_EVENT);
    },
  };
};
