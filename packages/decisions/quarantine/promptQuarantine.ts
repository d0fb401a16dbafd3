/**
 * Finds the parts of prompts that crash the upstreams that answer them, at whatever point of the answer. A
 * crash breaks off all that runs at an upstream, so a part counts as harmful only once it was aboard at more
 * crashes than sound requests of the same length are by chance, and when no other part explains them.
 */
import { MS_PER_MINUTE } from '@anvilpaddle/common';
import {
  EXONERATION_EVIDENCE,
  MAX_EARLIER_SURVIVALS,
  MAX_KNOWN_CRASHES,
  MAX_OTHERS_REPORTED,
  MAX_RECENT_REPORTED,
  MAX_SERVED_PARTS,
  MAX_SUSPECTS,
  MEMORY_MS,
  MIN_SUSPECT_CRASHES,
  QUARANTINE_EVIDENCE,
  RECENT_CHANGE_MS,
  RELEASE_EVIDENCE,
  SUSPECT_EVIDENCE,
} from './constants';
import {
  countMoments,
  getBurstShare,
  getEvidence,
  getMaxEvidence,
  getRunTimeShare,
  getTellingCrashes,
  RARE_PART_RATES,
  type Crash,
  type CrashContext,
  type Crashes,
  type TellingCrash,
} from './crashEvidence';
import { getLossRate, getRoundedCounts, newSoundLossRate, type LossCounts } from './soundLossRate';
import {
  addCrash,
  addPeerSurvivals,
  clearSuspect,
  compareByCrashes,
  countSurvivals,
  getFullEvidence,
  getLastCrashMs,
  getReport,
  getReportedCrash,
  getServedTime,
  isAnswered,
  newSuspect,
  setPeerLosses,
  setPeerServed,
  type Suspect,
} from './suspect';
import {
  PART_STATE,
  type InputAssessment,
  type PartReport,
  type QuarantineChange,
  type ServedTime,
  type SoundRates,
} from './types';

/** Prompt that was lost, and the crash from its point of view. */
export interface LostPrompt {
  readonly promptParts: readonly string[];
  readonly crash: Crash;
}

/** Quarantine of one gateway; all times are monotonic milliseconds. */
export interface PromptQuarantine {
  /** Records that an upstream answered a request as a whole, in `runMs`. */
  recordSurvival(promptParts: readonly string[], runMs: number, nowMs: number): void;
  /** Records requests that were lost when their upstream crashed. */
  recordCrash(upstream: string, lost: readonly LostPrompt[]): void;
  /** Records items that were lost so: they confirm a suspicion of their parts, but raise none. */
  recordLostItems(upstream: string, lost: readonly LostPrompt[]): void;
  assess(promptParts: readonly string[], nowMs: number): InputAssessment;
  /** Parts to report to the peers: those that changed lately, and the others in turn. */
  getReports(nowMs: number): PartReport[];
  /** Reports of all suspects, those that were aboard at most crashes first. */
  getCheckpoint(nowMs: number): PartReport[];
  /** Whether a part was aboard at crashes of which nothing has cleared it. */
  isSuspect(part: string): boolean;
  /** Adds what a peer knows. */
  updatePeer(peer: string, reports: readonly PartReport[], nowMs: number): void;
  /** Adds a quarantined part that was stored. */
  restore(report: PartReport, nowMs: number): void;
  getQuarantinedCount(): number;
}

const NONE_EXPLAINED: ReadonlySet<string> = new Set();
/** Crashes without which no part is quarantined, whatever else is known. */
const MIN_QUARANTINE_CRASHES = Math.ceil(QUARANTINE_EVIDENCE / getMaxEvidence(1, 0));
/** Interval at which suspects that are long unused are forgotten. */
const FORGET_INTERVAL_MS = MS_PER_MINUTE;

/** Served requests with a part, and their run time in milliseconds. */
interface Served {
  readonly count: number;
  readonly runMs: number;
}

const NOT_SERVED: Served = { count: 0, runMs: 0 };
const CLEAR: InputAssessment = { state: PART_STATE.clear };

/** Time of the last of some losses. */
const getLatestMs = (lost: readonly LostPrompt[]): number =>
  Math.max(...lost.map(({ crash }) => crash.atMs));

/** Removes the keys that were set first until no more than `size` are left. */
const removeOldest = (map: Map<string, unknown>, size: number): void => {
  const excess = map.size - size;
  if (excess > 0) [...map.keys()].slice(0, excess).forEach((key) => map.delete(key));
};

/**
 * Creates a quarantine without suspects; `onChange` is called when a part enters or leaves it.
 * `isExplained` tells whether something else than a part has caused all of some crashes.
 */
export const newPromptQuarantine = (
  onChange: (change: QuarantineChange) => void = () => undefined,
  isExplained: (crashes: Crashes) => boolean = () => false,
  lossRate = newSoundLossRate(),
): PromptQuarantine => {
  const suspects = new Map<string, Suspect>();
  /** Suspects that may be quarantined, or are: of hundreds, only these need a decision at each crash. */
  const candidates = new Set<Suspect>();
  /** Times of the crashes that this gateway or a peer has seen, the latest known at the end. */
  const crashTimes = new Map<string, number>();
  /** Served requests and their run time by part, the parts that were served last at the end. */
  const servedByPart = new Map<string, Served>();
  let servedMs = 0;
  let reportOffset = 0;
  let nextForgetMs = -Infinity;

  const getServed = (part: string): Served => servedByPart.get(part) ?? NOT_SERVED;

  const getOrAddSuspect = (part: string, position: number, nowMs: number): Suspect => {
    const known = suspects.get(part);
    if (known !== undefined) return known;
    const earlierSurvivals = Math.min(MAX_EARLIER_SURVIVALS, getServed(part).count);
    const suspect = newSuspect(part, position, earlierSurvivals, nowMs);
    suspects.set(part, suspect);
    return suspect;
  };

  /** Run time of the requests that this gateway has had served. */
  const getOwnServed = (part: string): ServedTime => ({
    withPart: getServed(part).runMs,
    all: servedMs,
  });

  /** Losses without those of crashes that the part would explain: they say nothing of sound requests. */
  const getOwnLosses = ({ crashes }: Suspect, nowMs: number): LossCounts =>
    lossRate.getCounts(crashes.keys(), nowMs);

  /** Report for peers and the store. */
  const getOwnReport = (suspect: Suspect, nowMs: number): PartReport => ({
    ...getReport(suspect, getOwnServed(suspect.part), nowMs),
    otherLosses: getRoundedCounts(getOwnLosses(suspect, nowMs)),
  });

  /** Rates by which a part is judged; a part that a gateway has judged harmful counts as rare. */
  const getSoundRates = (suspect: Suspect, nowMs: number): SoundRates => {
    if (suspect.isQuarantined || suspect.isClaimed) return RARE_PART_RATES;
    const served = getServedTime(suspect, getOwnServed(suspect.part));
    const loss = getLossRate([getOwnLosses(suspect, nowMs), suspect.peerLossTotal]);
    return {
      loss,
      share: getRunTimeShare(served),
      burstShare: getBurstShare(served, loss.meanRunMs),
    };
  };

  const addCrashTime = (upstream: string, atMs: number): void => {
    if (crashTimes.has(upstream)) return;
    crashTimes.set(upstream, atMs);
    removeOldest(crashTimes, MAX_KNOWN_CRASHES);
  };

  const getContext = (suspect: Suspect, explained: ReadonlySet<string>): CrashContext => ({
    crashTimes,
    explained,
    isAnswered: isAnswered(suspect),
  });

  /** Crashes that speak against a part, without those that other parts explain. */
  const getTelling = (suspect: Suspect, explained: ReadonlySet<string>): TellingCrash[] =>
    getTellingCrashes(suspect.crashes, getContext(suspect, explained));

  /** Odds that a part is harmful. */
  const getOdds = (suspect: Suspect, explained: ReadonlySet<string>, nowMs: number): number => {
    const crashes = isExplained(suspect.crashes) ? [] : getTelling(suspect, explained);
    return getEvidence(crashes, countSurvivals(suspect), getSoundRates(suspect, nowMs));
  };

  const decide = (record: Suspect, explained: ReadonlySet<string>, nowMs: number): void => {
    const threshold = record.isQuarantined ? RELEASE_EVIDENCE : QUARANTINE_EVIDENCE;
    const soundRates = getSoundRates(record, nowMs);
    const isQuarantined = getOdds(record, explained, nowMs) >= threshold;
    if (isQuarantined === record.isQuarantined) return;
    record.isQuarantined = isQuarantined;
    record.changedMs = nowMs;
    onChange({ report: getOwnReport(record, nowMs), soundRates });
  };

  const forgetUnused = (nowMs: number): void => {
    if (nowMs < nextForgetMs) return;
    nextForgetMs = nowMs + FORGET_INTERVAL_MS;
    suspects.forEach(({ isQuarantined, usedMs }, part) => {
      if (!isQuarantined && nowMs - usedMs > MEMORY_MS) suspects.delete(part);
    });
  };

  /** Forgets suspects that are long unused, and beyond the largest number the least used ones. */
  const forget = (nowMs: number): void => {
    forgetUnused(nowMs);
    const excess = suspects.size - MAX_SUSPECTS;
    if (excess <= 0) return;
    [...suspects.values()]
      .sort((a, b) => Number(a.isQuarantined) - Number(b.isQuarantined) || a.usedMs - b.usedMs)
      .slice(0, excess)
      .forEach(({ part }) => suspects.delete(part));
  };

  /** Whether what is known of a part is enough for a quarantine, or may end one. */
  const canChange = (suspect: Suspect): boolean =>
    suspect.isQuarantined ||
    getMaxEvidence(suspect.crashes.size, countSurvivals(suspect)) >= QUARANTINE_EVIDENCE;

  /** Adds a crash to a suspect; returns false if it was known or does not count. */
  const addCrashTo = (suspect: Suspect, upstream: string, crash: Crash, nowMs: number): boolean => {
    addCrashTime(upstream, crash.atMs);
    if (!addCrash(suspect, upstream, crash, nowMs)) return false;
    if (suspect.crashes.size >= MIN_QUARANTINE_CRASHES) candidates.add(suspect);
    return true;
  };

  /** Removes candidates that were cleared or forgotten. */
  const removeFormerCandidates = (): void =>
    candidates.forEach((suspect) => {
      const isCandidate = suspect.isQuarantined || suspect.crashes.size >= MIN_QUARANTINE_CRASHES;
      if (!isCandidate || suspects.get(suspect.part) !== suspect) candidates.delete(suspect);
    });

  /** Decides on the candidates, the strongest first: a crash that it explains speaks against no other. */
  const decideOnCandidates = (nowMs: number): void => {
    const explained = new Set<string>();
    removeFormerCandidates();
    [...candidates]
      .filter(canChange)
      .map((suspect) => ({
        suspect,
        evidence: getFullEvidence(suspect, getContext(suspect, NONE_EXPLAINED)),
      }))
      .sort((a, b) => b.evidence - a.evidence || b.suspect.position - a.suspect.position)
      .forEach(({ suspect }) => {
        decide(suspect, explained, nowMs);
        if (!suspect.isQuarantined) return;
        [...suspect.crashes.keys()].forEach((upstream) => explained.add(upstream));
      });
    forget(nowMs);
  };

  /** Reviews parts with more survivals, which speak for these parts alone. */
  const review = (survived: readonly Suspect[], nowMs: number): void => {
    if (survived.some(({ isQuarantined }) => isQuarantined)) decideOnCandidates(nowMs);
    survived
      .filter(({ isQuarantined, crashes }) => !isQuarantined && crashes.size > 0)
      .filter((suspect) => getOdds(suspect, NONE_EXPLAINED, nowMs) < EXONERATION_EVIDENCE)
      .forEach((suspect) => clearSuspect(suspect, nowMs));
  };

  const assessPart = (part: string, nowMs: number): InputAssessment => {
    const record = suspects.get(part);
    if (record === undefined || record.crashes.size === 0) return CLEAR;
    const crashes = getTelling(record, NONE_EXPLAINED).length;
    const ageMs = nowMs - getLastCrashMs(record);
    if (record.isQuarantined) {
      record.usedMs = nowMs;
      // What crashed several upstreams at one moment may not have been the part after all.
      const isTriable = countMoments(record.crashes) < MIN_QUARANTINE_CRASHES;
      return { state: PART_STATE.quarantined, part, crashes, ageMs, isTriable };
    }
    const isSuspect =
      crashes >= MIN_SUSPECT_CRASHES && getOdds(record, NONE_EXPLAINED, nowMs) >= SUSPECT_EVIDENCE;
    return isSuspect ? { state: PART_STATE.suspect, part, crashes, ageMs } : CLEAR;
  };

  /** Adds a report; returns whether anything in it was new. */
  const addReport = (report: PartReport, nowMs: number): boolean => {
    const recent = report.crashes.filter(([, ageMs]) => report.isQuarantined || ageMs < MEMORY_MS);
    if (recent.length === 0) return false;
    const record = getOrAddSuspect(report.part, report.position, nowMs);
    const added = recent.filter((crash) =>
      addCrashTo(record, crash[0], getReportedCrash(crash, nowMs), nowMs),
    );
    const isNewClaim = report.isQuarantined && !record.isClaimed;
    record.isClaimed ||= report.isQuarantined;
    return added.length > 0 || isNewClaim;
  };

  /** The part of a report if the peer has more survivals of it. */
  const addSurvivalsOfPeer = (
    peer: string,
    { part, survivals, served, otherLosses }: PartReport,
  ): Suspect[] => {
    const suspect = suspects.get(part);
    if (suspect === undefined) return [];
    setPeerServed(suspect, peer, served);
    if (otherLosses !== undefined) setPeerLosses(suspect, peer, otherLosses);
    return addPeerSurvivals(suspect, peer, survivals) ? [suspect] : [];
  };

  /** Counts a survival of a part; the part if it is a suspect. */
  const addSurvival = (part: string, runMs: number): Suspect[] => {
    const served = getServed(part);
    servedByPart.delete(part);
    servedByPart.set(part, { count: served.count + 1, runMs: served.runMs + runMs });
    const record = suspects.get(part);
    if (record === undefined) return [];
    record.survivals += 1;
    return [record];
  };

  return {
    recordSurvival: (promptParts, runMs, nowMs) => {
      lossRate.recordSurvival(runMs, nowMs);
      servedMs += runMs;
      const survived = promptParts.flatMap((part) => addSurvival(part, runMs));
      review(survived, nowMs);
      removeOldest(servedByPart, MAX_SERVED_PARTS);
    },
    recordCrash: (upstream, lost) => {
      lost.forEach(({ promptParts, crash }) => {
        addCrashTime(upstream, crash.atMs);
        lossRate.recordLoss(upstream, crash.runMs, crash.atMs);
        promptParts.forEach((part, position) =>
          addCrashTo(getOrAddSuspect(part, position, crash.atMs), upstream, crash, crash.atMs),
        );
      });
      if (lost.length > 0) decideOnCandidates(getLatestMs(lost));
    },
    recordLostItems: (upstream, lost) => {
      lost.forEach(({ crash }) => addCrashTime(upstream, crash.atMs));
      const isNews = lost.map(({ promptParts, crash }) =>
        promptParts
          .flatMap((part) => suspects.get(part) ?? [])
          .filter(({ crashes }) => crashes.size > 0)
          .map((suspect) => addCrashTo(suspect, upstream, crash, crash.atMs))
          .includes(true),
      );
      if (isNews.includes(true)) decideOnCandidates(getLatestMs(lost));
    },
    assess: (promptParts, nowMs) => {
      if (suspects.size === 0) return CLEAR;
      const assessments = promptParts.map((part) => assessPart(part, nowMs));
      return (
        assessments.find(({ state }) => state === PART_STATE.quarantined) ??
        assessments.find(({ state }) => state === PART_STATE.suspect) ??
        CLEAR
      );
    },
    getReports: (nowMs) => {
      if (suspects.size === 0) return [];
      const reported = [...suspects.values()].filter(({ crashes }) => crashes.size > 0);
      // Many parts are aboard at a crash; the harmful one is aboard at most of them.
      const recent = reported
        .filter(({ changedMs }) => nowMs - changedMs <= RECENT_CHANGE_MS)
        .sort(compareByCrashes)
        .slice(0, MAX_RECENT_REPORTED);
      const others = reported.filter((suspect) => !recent.includes(suspect));
      const start = others.length === 0 ? 0 : reportOffset % others.length;
      reportOffset = start + MAX_OTHERS_REPORTED;
      return [...recent, ...others.slice(start, start + MAX_OTHERS_REPORTED)].map((suspect) =>
        getOwnReport(suspect, nowMs),
      );
    },
    getCheckpoint: (nowMs) =>
      [...suspects.values()]
        .filter(({ crashes }) => crashes.size > 0)
        .sort(compareByCrashes)
        .map((suspect) => getOwnReport(suspect, nowMs)),
    isSuspect: (part) => (suspects.get(part)?.crashes.size ?? 0) > 0,
    updatePeer: (peer, reports, nowMs) => {
      if (reports.length === 0) return;
      const isNew = reports.map((report) => addReport(report, nowMs));
      const survived = reports.flatMap((report) => addSurvivalsOfPeer(peer, report));
      review(survived, nowMs);
      if (isNew.includes(true)) decideOnCandidates(nowMs);
    },
    restore: (report, nowMs) => {
      if (addReport({ ...report, isQuarantined: true }, nowMs)) decideOnCandidates(nowMs);
    },
    getQuarantinedCount: () =>
      [...suspects.values()].filter(({ isQuarantined }) => isQuarantined).length,
  };
};
