/** How strongly crashes and survivals of upstreams speak against a part of prompts. */
import {
  COMMON_CAUSE_MS,
  HARMFUL_LOSS_RATE,
  HARMFUL_PRESENCE,
  MIN_SOUND_LOSS_RATE,
  REQUESTS_AT_CRASH,
} from './constants';
import type { ServedCount, SoundRates } from './types';

/** Requests with a part that may exist although none was served. */
const UNSEEN_REQUESTS = 0.1;

/** Crashes at which a part was present: time in monotonic milliseconds by upstream. */
export type CrashTimes = ReadonlyMap<string, number>;

const NO_UPSTREAMS: ReadonlySet<string> = new Set();

/** Number of crashes with causes of their own; those of the excluded upstreams don't count. */
export const countSeparateCrashes = (
  crashTimes: CrashTimes,
  excluded: ReadonlySet<string> = NO_UPSTREAMS,
): number => {
  let count = 0;
  let lastMs = -Infinity;
  [...crashTimes]
    .filter(([upstream]) => !excluded.has(upstream))
    .map(([, atMs]) => atMs)
    .sort((a, b) => a - b)
    .forEach((atMs) => {
      if (atMs - lastMs < COMMON_CAUSE_MS) return;
      count += 1;
      lastMs = atMs;
    });
  return count;
};

/**
 * Probability that a sound part is present at a crash: that of one of the requests there having it. The
 * share of requests with the part is taken a little higher than it was seen.
 */
export const getChancePresence = ({ withPart, all }: ServedCount): number => {
  const share = Math.min(1, (withPart + UNSEEN_REQUESTS) / (all + 1));
  return 1 - (1 - share) ** REQUESTS_AT_CRASH;
};

/** Rates of a rare part where little crashes. */
export const RARE_PART_RATES: SoundRates = {
  loss: MIN_SOUND_LOSS_RATE,
  presence: MIN_SOUND_LOSS_RATE,
};

/** Logarithm of the odds by which one crash with a part present speaks against the part. */
const getCrashEvidence = ({ loss, presence }: SoundRates): number =>
  Math.min(Math.log(HARMFUL_LOSS_RATE / loss), Math.log(HARMFUL_PRESENCE / presence));

/** Logarithm of the odds that a part is harmful rather than sound. */
export const getEvidence = (crashes: number, survivals: number, sound: SoundRates): number =>
  crashes * getCrashEvidence(sound) +
  survivals * Math.log((1 - HARMFUL_LOSS_RATE) / (1 - sound.loss));
