/** Pace of the runs of batch items, and which slow runs are better resumed by a new one. */

/** Minimum number of events after the first by which a run's pace is measured. */
const MIN_EVENTS_OF_PACE = 10;

/** Pace of one run, from its first event on. */
export interface RunPace {
  /** Records the number of events that the item has given over all of its runs. */
  observe(events: number, nowMs: number): void;
  /** Time per event, in milliseconds; undefined while the run has too few events. */
  getMsPerEvent(nowMs: number): number | undefined;
}

/** Starts measuring a run of an item that has given a number of events before. */
export const newRunPace = (eventsBefore: number): RunPace => {
  let first: { readonly events: number; readonly ms: number } | undefined;
  let latestEvents = eventsBefore;
  return {
    observe: (events, nowMs) => {
      latestEvents = events;
      if (events > eventsBefore) first ??= { events, ms: nowMs };
    },
    getMsPerEvent: (nowMs) => {
      if (first === undefined) return undefined;
      const events = latestEvents - first.events;
      return events < MIN_EVENTS_OF_PACE ? undefined : (nowMs - first.ms) / events;
    },
  };
};

/** Time per event of a slow run, as a multiple of its route's mean. */
const SLOW_RUN_FACTOR = 1.6;
/** Run time that a move must be expected to save; it costs a tick and the start of a run. */
const MIN_SAVED_MS = 500;
/** Weight of a new sample in the fraction of moves that help. */
const SMOOTHING_FACTOR = 0.1;
/** Fraction of the runs after slow ones that must not be slow for further moves. */
const MIN_HELPED_FRACTION = 0.5;

/** A run whose pace is known. */
export interface PacedRun {
  readonly route: string;
  readonly msPerEvent: number;
  /** Mean time per event of the route, in milliseconds. */
  readonly meanMsPerEvent: number;
}

/** Decides which slow runs are better resumed by a new one, as far as that helps items of their route. */
export interface SlowRunMoves {
  isSlow(run: PacedRun): boolean;
  /** Whether a run should be moved; its item needs `remainingMs` at the run's pace. */
  shouldMove(run: PacedRun, remainingMs: number): boolean;
  /** Records the pace of a run that goes on with an item whose previous run was slow. */
  learnNextRun(run: PacedRun): void;
}

/** Creates the decision; moves are assumed to help until runs show otherwise. */
export const newSlowRunMoves = (): SlowRunMoves => {
  /** Fraction of the runs after slow ones that were not slow, by route. */
  const helpedFractions = new Map<string, number>();
  const getHelpedFraction = (route: string): number => helpedFractions.get(route) ?? 1;

  const isSlow = ({ msPerEvent, meanMsPerEvent }: PacedRun): boolean =>
    msPerEvent > meanMsPerEvent * SLOW_RUN_FACTOR;

  return {
    isSlow,
    shouldMove: (run, remainingMs) =>
      isSlow(run) &&
      remainingMs * (1 - run.meanMsPerEvent / run.msPerEvent) >= MIN_SAVED_MS &&
      getHelpedFraction(run.route) >= MIN_HELPED_FRACTION,
    learnNextRun: (run) => {
      const known = getHelpedFraction(run.route);
      const sample = isSlow(run) ? 0 : 1;
      helpedFractions.set(run.route, known + (sample - known) * SMOOTHING_FACTOR);
    },
  };
};
