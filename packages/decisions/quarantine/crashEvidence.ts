/** How strongly crashes and survivals of upstreams speak against a part of prompts. */
import {
  COMMON_CAUSE_MS,
  DEFAULT_RUN_MS,
  HARMFUL_LOSS_RATE,
  HARMFUL_PRESENCE,
  MIN_SOUND_LOSS_RATE,
} from './constants';
import { getLossProbability, PRIOR_LOSS_RATE } from './soundLossRate';
import type { ServedTime, SoundRates } from './types';

/** Run time with a part, and in all, that may exist although nothing was served. */
const UNSEEN_WITH_PART_MS = 0.1 * DEFAULT_RUN_MS;
const UNSEEN_MS = DEFAULT_RUN_MS;

/** Crash at which a part was aboard. */
export interface Crash {
  /** Time in monotonic milliseconds. */
  readonly atMs: number;
  /** Time for which the request with the part had run. */
  readonly runMs: number;
  /** Requests and items that the upstream had, with this one. */
  readonly concurrency: number;
}

/** Crashes at which a part was present, by upstream. */
export type Crashes = ReadonlyMap<string, Crash>;

const NO_UPSTREAMS: ReadonlySet<string> = new Set();

/** Crashes with causes of their own; those of the excluded upstreams don't count. */
export const getSeparateCrashes = (
  crashes: Crashes,
  excluded: ReadonlySet<string> = NO_UPSTREAMS,
): Crash[] => {
  let lastMs = -Infinity;
  return [...crashes]
    .filter(([upstream]) => !excluded.has(upstream))
    .map(([, crash]) => crash)
    .sort((a, b) => a.atMs - b.atMs)
    .filter(({ atMs }) => {
      if (atMs - lastMs < COMMON_CAUSE_MS) return false;
      lastMs = atMs;
      return true;
    });
};

/**
 * Share of the upstreams' run time that requests with a part take, a little more than was seen. A part is
 * aboard for as long as its requests run.
 */
export const getRunTimeShare = ({ withPart, all }: ServedTime): number =>
  Math.min(1, (withPart + UNSEEN_WITH_PART_MS) / (all + UNSEEN_MS));

/** Rates of a rare part where little crashes. */
export const RARE_PART_RATES: SoundRates = { loss: PRIOR_LOSS_RATE, share: 0 };

/** Probability that a sound part is aboard at a crash. */
const getPresence = ({ concurrency }: Crash, { share }: SoundRates): number =>
  Math.max(MIN_SOUND_LOSS_RATE, 1 - (1 - share) ** concurrency);

/** Logarithm of the odds by which one answered request speaks for its parts. */
const SURVIVAL_EVIDENCE = Math.log((1 - HARMFUL_LOSS_RATE) / (1 - MIN_SOUND_LOSS_RATE));

/** Largest evidence that a number of crashes and survivals can make. */
export const getMaxEvidence = (crashes: number, survivals: number): number =>
  crashes * Math.log(HARMFUL_LOSS_RATE / MIN_SOUND_LOSS_RATE) + survivals * SURVIVAL_EVIDENCE;

/** Logarithm of the odds that a part is harmful rather than sound. */
export const getEvidence = (
  crashes: readonly Crash[],
  survivals: number,
  sound: SoundRates,
): number => {
  // Lost requests with the part would have run for as long as the longest of them at least.
  const longestRunMs = Math.max(0, ...crashes.map(({ runMs }) => runMs));
  const byLoss = Math.log(HARMFUL_LOSS_RATE / getLossProbability(sound.loss, longestRunMs));
  const getCrashEvidence = (crash: Crash): number =>
    Math.min(byLoss, Math.log(HARMFUL_PRESENCE / getPresence(crash, sound)));
  return (
    crashes.reduce((sum, crash) => sum + getCrashEvidence(crash), 0) + survivals * SURVIVAL_EVIDENCE
  );
};
