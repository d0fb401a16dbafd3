import type { ServiceClass } from '@anvilpaddle/common';
import type { Work } from './scheduler';

const LEARNING_RATE = 0.1;
const REFUSAL_DECAY = 0.95;
const LONG_DEVIATIONS = 2;
const KEPT_KEYS = 2000;
const FIRST_TOKENS = 64;

/** What one request is expected to take. */
export interface Estimate {
  readonly tokens: number;
  readonly durationMs: number;
  /** Duration that few requests exceed. */
  readonly upperDurationMs: number;
}

/** Expected service of a request, learned from the requests before it. */
export interface ServiceEstimates {
  get(work: Work): Estimate;
  /** Takes in what finished work has used; 0 tokens stands for "not counted". */
  learn(work: Work, usedTokens: number, durationMs: number): void;
  /** Lowers an expectation on which work was refused, so that a wrong one does not last. */
  decay(work: Work): void;
  /** Tokens to charge for a time in a slot when nobody counted them. */
  getTokensForDuration(durationMs: number): number;
  /** Number of learned keys. */
  size(): number;
}

interface Mean {
  samples: number;
  tokens: number;
  durationMs: number;
  /** Mean distance of a duration from the mean. */
  deviationMs: number;
}

const newMean = (): Mean => ({
  samples: 0,
  tokens: FIRST_TOKENS,
  durationMs: 0,
  deviationMs: 0,
});

const addSample = (mean: Mean, tokens: number, durationMs: number): Mean => {
  const samples = mean.samples + 1;
  // The first samples form a plain average; afterwards the old ones fade.
  const rate = Math.max(LEARNING_RATE, 1 / samples);
  const distanceMs = mean.samples === 0 ? 0 : Math.abs(durationMs - mean.durationMs);
  return {
    samples,
    tokens: mean.tokens + (tokens - mean.tokens) * rate,
    durationMs: mean.durationMs + (durationMs - mean.durationMs) * rate,
    deviationMs: mean.deviationMs + (distanceMs - mean.deviationMs) * rate,
  };
};

const getKey = (work: Work): string => JSON.stringify([work.serviceClass, work.team, work.route]);

/** Estimates for each class, team and route; the keys used last are kept. */
export const newServiceEstimates = (keptKeys: number = KEPT_KEYS): ServiceEstimates => {
  const means = new Map<string, Mean>();
  /** Over all teams; items of batch jobs say nothing about online requests. */
  const overall: Record<ServiceClass, Mean> = { online: newMean(), batch: newMean() };
  let tokensPerMs: number | undefined;

  const put = (key: string, mean: Mean): void => {
    means.delete(key);
    means.set(key, mean);
    if (means.size <= keptKeys) return;
    const [oldest] = means.keys();
    if (oldest !== undefined) means.delete(oldest);
  };

  const getTokensOf = (durationMs: number): number => durationMs * (tokensPerMs ?? 1);

  return {
    get: (work) => {
      const own = means.get(getKey(work));
      const { tokens, durationMs, deviationMs } = own ?? overall[work.serviceClass];
      // The allowance only ever lowers the estimate: asking for much must not cost others anything.
      return {
        tokens: Math.max(1, Math.min(tokens, work.maxTokens ?? tokens)),
        durationMs,
        // Nobody is refused for what other teams' requests take.
        upperDurationMs: own === undefined ? 0 : durationMs + LONG_DEVIATIONS * deviationMs,
      };
    },
    learn: (work, usedTokens, durationMs) => {
      const isCounted = usedTokens > 0;
      // Calls that fail at once would make a slow upstream look fast.
      if (!isCounted && tokensPerMs !== undefined) return;
      if (isCounted && durationMs > 0) {
        const rate = usedTokens / durationMs;
        tokensPerMs = (tokensPerMs ?? rate) + (rate - (tokensPerMs ?? rate)) * LEARNING_RATE;
      }
      const tokens = isCounted ? usedTokens : getTokensOf(durationMs);
      const key = getKey(work);
      put(key, addSample(means.get(key) ?? newMean(), tokens, durationMs));
      const { serviceClass } = work;
      overall[serviceClass] = addSample(overall[serviceClass], tokens, durationMs);
    },
    decay: (work) => {
      const key = getKey(work);
      const mean = means.get(key);
      if (mean !== undefined) put(key, { ...mean, durationMs: mean.durationMs * REFUSAL_DECAY });
    },
    getTokensForDuration: getTokensOf,
    size: () => means.size,
  };
};
