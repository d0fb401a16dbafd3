/** Estimates of the tokens and the time that work uses, learned from earlier work. */
import type { ServiceClass } from '@anvilpaddle/common';
import type { Work } from './scheduler';

/** Weight of a new sample in the moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Factor by which `decay` lowers an expected duration. */
const DURATION_DECAY = 0.95;
/** Mean absolute deviations from the average to the upper bound of a duration. */
const UPPER_BOUND_DEVIATIONS = 2;
/** Maximum number of keys with an estimate; the least recently updated ones are dropped. */
const MAX_KEYS = 2000;
/** Expected tokens of a request before any has been recorded. */
const INITIAL_TOKENS = 64;

/** Tokens and time that one request is expected to use. */
export interface Estimate {
  readonly tokens: number;
  readonly durationMs: number;
  /** Upper bound that few requests exceed; 0 if the team has no record on the route. */
  readonly upperDurationMs: number;
}

/** Estimates for a request, learned from earlier requests. */
export interface ServiceEstimates {
  /** Estimate for work; falls back to the averages of its class. */
  get(work: Work): Estimate;
  /**
   * Records what finished work has used. 0 tokens means that they were not counted; such work is
   * ignored once the tokens of other work have been counted.
   */
  learn(work: Work, usedTokens: number, durationMs: number): void;
  /**
   * Lowers the expected duration for work that seems too long for its deadline. Refused work adds
   * no samples, so an estimate that is too high would otherwise never recover.
   */
  decay(work: Work): void;
  /** Tokens to charge for a time in a slot when they were not counted. */
  getTokensForDuration(durationMs: number): number;
  /** Number of combinations of class, team and route with an estimate. */
  size(): number;
}

/** Averages over the samples of one key. */
interface MovingAverages {
  samples: number;
  tokens: number;
  durationMs: number;
  /** Mean absolute deviation of a duration from the average. */
  deviationMs: number;
}

const newMovingAverages = (): MovingAverages => ({
  samples: 0,
  tokens: INITIAL_TOKENS,
  durationMs: 0,
  deviationMs: 0,
});

const addSample = (
  averages: MovingAverages,
  tokens: number,
  durationMs: number,
): MovingAverages => {
  const samples = averages.samples + 1;
  // A plain average of the first samples, an exponential moving average after that.
  const factor = Math.max(SMOOTHING_FACTOR, 1 / samples);
  const distanceMs = averages.samples === 0 ? 0 : Math.abs(durationMs - averages.durationMs);
  return {
    samples,
    tokens: averages.tokens + (tokens - averages.tokens) * factor,
    durationMs: averages.durationMs + (durationMs - averages.durationMs) * factor,
    deviationMs: averages.deviationMs + (distanceMs - averages.deviationMs) * factor,
  };
};

const getKey = (work: Work): string => JSON.stringify([work.serviceClass, work.team, work.route]);

/**
 * Creates estimates per class, team and route. The most recently updated keys are kept, up to the
 * maximum.
 */
export const newServiceEstimates = (maxKeys: number = MAX_KEYS): ServiceEstimates => {
  const averagesByKey = new Map<string, MovingAverages>();
  /** Averages over all teams. Kept per class, as batch items don't predict online requests. */
  const averagesByClass: Record<ServiceClass, MovingAverages> = {
    online: newMovingAverages(),
    batch: newMovingAverages(),
  };
  /** Moving average of the rate in one slot; undefined until tokens have been counted. */
  let tokensPerMs: number | undefined;

  const put = (key: string, averages: MovingAverages): void => {
    averagesByKey.delete(key);
    averagesByKey.set(key, averages);
    if (averagesByKey.size <= maxKeys) return;
    const [oldest] = averagesByKey.keys();
    if (oldest !== undefined) averagesByKey.delete(oldest);
  };

  const getTokensForDuration = (durationMs: number): number => durationMs * (tokensPerMs ?? 1);

  return {
    get: (work) => {
      const own = averagesByKey.get(getKey(work));
      const { tokens, durationMs, deviationMs } = own ?? averagesByClass[work.serviceClass];
      // `maxTokens` can only lower the estimate: a high limit must not delay other teams' work.
      return {
        tokens: Math.max(1, Math.min(tokens, work.maxTokens ?? tokens)),
        durationMs,
        // Without a record of its own, a team is not refused because of other teams' durations.
        upperDurationMs: own === undefined ? 0 : durationMs + UPPER_BOUND_DEVIATIONS * deviationMs,
      };
    },
    learn: (work, usedTokens, durationMs) => {
      const isCounted = usedTokens > 0;
      // Calls that fail immediately would make a slow upstream look fast.
      if (!isCounted && tokensPerMs !== undefined) return;
      if (isCounted && durationMs > 0) {
        const rate = usedTokens / durationMs;
        tokensPerMs = (tokensPerMs ?? rate) + (rate - (tokensPerMs ?? rate)) * SMOOTHING_FACTOR;
      }
      const tokens = isCounted ? usedTokens : getTokensForDuration(durationMs);
      const key = getKey(work);
      put(key, addSample(averagesByKey.get(key) ?? newMovingAverages(), tokens, durationMs));
      const { serviceClass } = work;
      averagesByClass[serviceClass] = addSample(averagesByClass[serviceClass], tokens, durationMs);
    },
    decay: (work) => {
      const key = getKey(work);
      const own = averagesByKey.get(key);
      if (own !== undefined) put(key, { ...own, durationMs: own.durationMs * DURATION_DECAY });
    },
    getTokensForDuration,
    size: () => averagesByKey.size,
  };
};
