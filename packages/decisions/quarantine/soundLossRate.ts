/** Estimate of how often sound requests are lost with crashes of upstreams, by the time that they run. */
import { LOSS_RATE_HALF_LIFE_MS, MAX_SOUND_LOSS_RATE, MIN_SOUND_LOSS_RATE } from './constants';

/** What a gateway has seen lately of its requests; all numbers decay. */
export interface LossCounts {
  /** Requests that were lost with crashes of upstreams. */
  readonly losses: number;
  readonly requests: number;
  /** Time for which they ran in all, in milliseconds. */
  readonly runMs: number;
}

/** What counts before anything has been seen. */
const PRIOR: LossCounts = { losses: 0.05, requests: 10, runMs: 10_000 };
/** Number of crashes whose losses are remembered. */
const MAX_CRASHES = 256;

/** How often sound requests are lost, and for how long they run. */
export interface LossRate {
  readonly lossesPerMs: number;
  readonly meanRunMs: number;
}

const DECIMALS = 100;

/** Counts as precise as reports need them. */
export const getRoundedCounts = ({ losses, requests, runMs }: LossCounts): LossCounts => ({
  losses: Math.round(losses * DECIMALS) / DECIMALS,
  requests: Math.round(requests),
  runMs: Math.round(runMs),
});

/** Rate over several gateways. */
export const getLossRate = (counts: readonly LossCounts[]): LossRate => {
  const all = [PRIOR, ...counts].reduce((sum, { losses, requests, runMs }) => ({
    losses: sum.losses + losses,
    requests: sum.requests + requests,
    runMs: sum.runMs + runMs,
  }));
  return { lossesPerMs: all.losses / all.runMs, meanRunMs: all.runMs / all.requests };
};

/** Rate before anything has been seen. */
export const PRIOR_LOSS_RATE: LossRate = getLossRate([]);

/**
 * Probability that a sound request is lost with a crash. One that was lost after `runMs` would have run for
 * as long at least, and for the mean time as a rule.
 */
export const getLossProbability = ({ lossesPerMs, meanRunMs }: LossRate, runMs: number): number => {
  const probability = lossesPerMs * Math.max(meanRunMs, runMs);
  return Math.min(MAX_SOUND_LOSS_RATE, Math.max(MIN_SOUND_LOSS_RATE, probability));
};

/** Estimator of the loss rate; times are monotonic milliseconds. */
export interface SoundLossRate {
  /** Records an answered request that ran for `runMs`. */
  recordSurvival(runMs: number, nowMs: number): void;
  /** Records a request that was lost after `runMs` as its upstream crashed. */
  recordLoss(upstream: string, runMs: number, nowMs: number): void;
  /** Counts over the last half-lives, without the losses at upstreams whose crashes have an explanation. */
  getCounts(explained: Iterable<string>, nowMs: number): LossCounts;
}

interface CrashLosses {
  readonly count: number;
  readonly atMs: number;
}

const getDecay = (elapsedMs: number): number =>
  0.5 ** (Math.max(0, elapsedMs) / LOSS_RATE_HALF_LIFE_MS);

/** Creates an estimator that has seen no request. */
export const newSoundLossRate = (): SoundLossRate => {
  /** Losses by upstream, the latest crash at the end. */
  const lossesByUpstream = new Map<string, CrashLosses>();
  let runTimeMs = 0;
  let requests = 0;
  let losses = 0;
  let updatedMs = 0;

  const decay = (nowMs: number): void => {
    const factor = getDecay(nowMs - updatedMs);
    runTimeMs *= factor;
    requests *= factor;
    losses *= factor;
    updatedMs = nowMs;
  };

  const getLossesOf = (upstream: string, nowMs: number): number => {
    const known = lossesByUpstream.get(upstream);
    return known === undefined ? 0 : known.count * getDecay(nowMs - known.atMs);
  };

  return {
    recordSurvival: (runMs, nowMs) => {
      decay(nowMs);
      runTimeMs += runMs;
      requests += 1;
    },
    recordLoss: (upstream, runMs, nowMs) => {
      decay(nowMs);
      runTimeMs += runMs;
      requests += 1;
      losses += 1;
      const count = getLossesOf(upstream, nowMs) + 1;
      lossesByUpstream.delete(upstream);
      lossesByUpstream.set(upstream, { count, atMs: nowMs });
      const [oldest] = lossesByUpstream.keys();
      if (lossesByUpstream.size > MAX_CRASHES && oldest !== undefined) {
        lossesByUpstream.delete(oldest);
      }
    },
    getCounts: (explained, nowMs) => {
      decay(nowMs);
      const explainedLosses = [...explained].reduce(
        (sum, upstream) => sum + getLossesOf(upstream, nowMs),
        0,
      );
      return { losses: Math.max(0, losses - explainedLosses), requests, runMs: runTimeMs };
    },
  };
};
