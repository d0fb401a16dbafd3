/** How strongly crashes and survivals of upstreams speak against a part of prompts. */
import {
  COMMON_CAUSE_MS,
  COMPANION_CRASH_MS,
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

/** Crash that speaks against a part. */
export interface TellingCrash extends Crash {
  /** Whether another one came at the same moment, so that the two are not independent. */
  readonly isFurther: boolean;
}

/** Crashes at which a part was present, by upstream. */
export type Crashes = ReadonlyMap<string, Crash>;

/** Times of all known crashes, whatever was aboard, by upstream. */
export type CrashTimes = ReadonlyMap<string, number>;

/** What tells whether crashes of several upstreams at one moment have a common cause. */
export interface CrashContext {
  readonly crashTimes: CrashTimes;
  /** Upstreams whose crashes another part explains: they count neither for nor against this one. */
  readonly explained: ReadonlySet<string>;
  /** Whether the part has been answered since its first crash. */
  readonly isAnswered: boolean;
}

/** Crashes by the moments at which they came. */
const groupByMoment = (crashes: readonly Crash[]): Crash[][] => {
  const moments: Crash[][] = [];
  [...crashes]
    .sort((a, b) => a.atMs - b.atMs)
    .forEach((crash) => {
      const moment = moments.at(-1);
      const firstMs = moment?.[0]?.atMs ?? -Infinity;
      if (moment !== undefined && crash.atMs - firstMs < COMMON_CAUSE_MS) moment.push(crash);
      else moments.push([crash]);
    });
  return moments;
};

/**
 * Crashes that speak against a part. Several upstreams that crash at one moment may have lost their power: they
 * count once if one of them did not have the part aboard, or if the part has been answered since.
 */
export const getTellingCrashes = (
  crashes: Crashes,
  { crashTimes, explained, isAnswered }: CrashContext,
): TellingCrash[] => {
  const unexplained = [...crashes].filter(([upstream]) => !explained.has(upstream));
  /** Whether an upstream crashed at about that moment without the part. */
  const hasCompanion = (moment: readonly Crash[]): boolean =>
    [...crashTimes]
      .filter(([upstream]) => !crashes.has(upstream) && !explained.has(upstream))
      .some(([, atMs]) => moment.some((crash) => Math.abs(crash.atMs - atMs) < COMPANION_CRASH_MS));
  return groupByMoment(unexplained.map(([, crash]) => crash)).flatMap((moment) => {
    const countsOnce = moment.length > 1 && (isAnswered || hasCompanion(moment));
    const counted = countsOnce ? moment.slice(0, 1) : moment;
    return counted.map((crash, index) => ({ ...crash, isFurther: index > 0 }));
  });
};

/** Number of moments at which crashes came. */
export const countMoments = (crashes: Crashes): number =>
  groupByMoment([...crashes.values()]).length;

/**
 * Share of the upstreams' run time that requests with a part take, a little more than was seen. A part is
 * aboard for as long as its requests run.
 */
export const getRunTimeShare = ({ withPart, all }: ServedTime): number =>
  Math.min(1, (withPart + UNSEEN_WITH_PART_MS) / (all + UNSEEN_MS));

/** The same if one more request with the part had been served. */
export const getBurstShare = ({ withPart, all }: ServedTime, meanRunMs: number): number =>
  Math.min(1, (withPart + meanRunMs) / (all + meanRunMs));

/** Rates of a rare part where little crashes. */
export const RARE_PART_RATES: SoundRates = { loss: PRIOR_LOSS_RATE, share: 0, burstShare: 0 };

/** Probability that a sound part is aboard at a crash. */
const getPresence = (
  { concurrency, isFurther }: TellingCrash,
  { share, burstShare }: SoundRates,
): number => {
  const absence = (1 - (isFurther ? burstShare : share)) ** concurrency;
  return Math.max(MIN_SOUND_LOSS_RATE, 1 - absence);
};

/** Logarithm of the odds by which one answered request speaks for its parts. */
const SURVIVAL_EVIDENCE = Math.log((1 - HARMFUL_LOSS_RATE) / (1 - MIN_SOUND_LOSS_RATE));

/** Largest evidence that a number of crashes and survivals can make. */
export const getMaxEvidence = (crashes: number, survivals: number): number =>
  crashes * Math.log(HARMFUL_LOSS_RATE / MIN_SOUND_LOSS_RATE) + survivals * SURVIVAL_EVIDENCE;

/** Logarithm of the odds that a part is harmful rather than sound. */
export const getEvidence = (
  crashes: readonly TellingCrash[],
  survivals: number,
  sound: SoundRates,
): number => {
  // Lost requests with the part would have run for as long as the longest of them at least.
  const longestRunMs = Math.max(0, ...crashes.map(({ runMs }) => runMs));
  const byLoss = Math.log(HARMFUL_LOSS_RATE / getLossProbability(sound.loss, longestRunMs));
  const getCrashEvidence = (crash: TellingCrash): number => {
    const evidence = Math.min(byLoss, Math.log(HARMFUL_PRESENCE / getPresence(crash, sound)));
    return crash.isFurther ? Math.max(0, evidence) : evidence;
  };
  return (
    crashes.reduce((sum, crash) => sum + getCrashEvidence(crash), 0) + survivals * SURVIVAL_EVIDENCE
  );
};
