/** When a slow request gets a second attempt beside its first, within a share of extra requests. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Hedges of one gateway. Times are milliseconds; those of events are monotonic. */
export interface Hedging {
  /** Counts a request that may be hedged; it adds its share to the budget. */
  recordRequest(): void;
  /** Learns how long an attempt took to its first content, or for how long it had none. */
  learn(kind: string, durationMs: number, nowMs: number): void;
  /** Age of an attempt at which a hedge is due; undefined while too little is known of its kind. */
  getDelayMs(kind: string, nowMs: number): number | undefined;
  /** Takes a hedge from the budget; false if it holds less than one. */
  tryTake(): boolean;
}

/** Most hedges that the budget holds, so that a quiet time does not pay for a burst of them. */
const MAX_BUDGETED_HEDGES = 10;
/** Durations older than this are forgotten, within one to two times this span. */
const WINDOW_MS = 30_000;
/** Durations of a kind that are needed before its requests are hedged. */
const MIN_SAMPLES = 20;
/** Lowest percentile after which a hedge is sent, also if the operators allow more hedges. */
const MIN_PERCENTILE = 50;
const MAX_PERCENTILE = 100;
/** Longest duration that is told apart from longer ones. */
const MAX_DURATION_MS = 30_000;
const SIGNIFICANT_DIGITS = 2;

/** Durations of one kind of request in the present window and in the one before. */
interface Durations {
  startedMs: number;
  present: Histogram;
  previous: Histogram;
}

const newHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_DURATION_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

/**
 * Creates the hedges of a gateway that may send `maxShare` (0 to 1) times as many extra requests as
 * there are requests that may be hedged. The slowest `maxShare` of the attempts are hedged: the
 * percentile after which a hedge is due follows from the share, so that the budget goes to them. It
 * starts empty, so that restarts do not add to the extra requests of the fleet.
 */
export const newHedging = (maxShare: number): Hedging => {
  const percentile = Math.max(MIN_PERCENTILE, MAX_PERCENTILE * (1 - maxShare));
  const durationsByKind = new Map<string, Durations>();
  let budget = 0;

  const getDurations = (kind: string, nowMs: number): Durations => {
    const known = durationsByKind.get(kind);
    if (known === undefined || nowMs - known.startedMs >= 2 * WINDOW_MS) {
      const durations = { startedMs: nowMs, present: newHistogram(), previous: newHistogram() };
      durationsByKind.set(kind, durations);
      return durations;
    }
    if (nowMs - known.startedMs >= WINDOW_MS) {
      const { previous } = known;
      known.previous = known.present;
      previous.reset();
      known.present = previous;
      known.startedMs += WINDOW_MS;
    }
    return known;
  };

  return {
    recordRequest: () => {
      budget = Math.min(MAX_BUDGETED_HEDGES, budget + maxShare);
    },
    learn: (kind, durationMs, nowMs) => {
      if (maxShare === 0) return;
      const clampedMs = Math.min(MAX_DURATION_MS, Math.max(1, Math.round(durationMs)));
      getDurations(kind, nowMs).present.recordValue(clampedMs);
    },
    getDelayMs: (kind, nowMs) => {
      if (maxShare === 0) return undefined;
      const { present, previous } = getDurations(kind, nowMs);
      // The later window counts once it has enough samples, so that the delay follows the load.
      const source = present.totalCount >= MIN_SAMPLES ? present : previous;
      return source.totalCount >= MIN_SAMPLES ? source.getValueAtPercentile(percentile) : undefined;
    },
    tryTake: () => {
      if (budget < 1) return false;
      budget -= 1;
      return true;
    },
  };
};
