/**
 * Finds the parts of prompts that crash the upstreams that begin to answer them. A crash breaks off
 * all that runs at an upstream, so a part counts as harmful only once it was present, before any
 * content, at more crashes than sound requests are by chance, and when no other part explains them.
 */
import {
  EXONERATION_EVIDENCE,
  MAX_EARLIER_SURVIVALS,
  MAX_OTHERS_REPORTED,
  MAX_RECENT_REPORTED,
  MAX_SOUND_LOSS_RATE,
  MAX_SERVED_PARTS,
  MAX_SUSPECTS,
  MEMORY_MS,
  MIN_SOUND_LOSS_RATE,
  MIN_SUSPECT_CRASHES,
  QUARANTINE_EVIDENCE,
  RECENT_CHANGE_MS,
  RELEASE_EVIDENCE,
  SUSPECT_EVIDENCE,
} from './constants';
import {
  countSeparateCrashes,
  getChancePresence,
  getEvidence,
  RARE_PART_RATES,
  type CrashTimes,
} from './crashEvidence';
import { newSoundLossRate } from './soundLossRate';
import {
  addCrash,
  addPeerSurvivals,
  clearSuspect,
  countSurvivals,
  getFullEvidence,
  getReport,
  getServedCount,
  newSuspect,
  type Suspect,
} from './suspect';
import {
  PART_STATE,
  type InputAssessment,
  type PartReport,
  type QuarantineChange,
  type ServedCount,
  type SoundRates,
} from './types';

/** Quarantine of one gateway; all times are monotonic milliseconds. */
export interface PromptQuarantine {
  /** Records that an upstream began to answer a request and did not crash. */
  recordSurvival(promptParts: readonly string[], nowMs: number): void;
  /** Records a request that was lost without content when its upstream crashed. */
  recordCrash(upstream: string, promptParts: readonly string[], nowMs: number): void;
  /** Records an item that was lost so: it confirms a suspicion of its parts, but raises none. */
  recordLostItem(upstream: string, promptParts: readonly string[], nowMs: number): void;
  assess(promptParts: readonly string[], nowMs: number): InputAssessment;
  /** Parts to report to the peers: those that changed lately, and the others in turn. */
  getReports(nowMs: number): PartReport[];
  /** Adds what a peer knows. */
  updatePeer(peer: string, reports: readonly PartReport[], nowMs: number): void;
  /** Adds a quarantined part that was stored. */
  restore(report: PartReport, nowMs: number): void;
  getQuarantinedCount(): number;
}

const NONE_EXPLAINED: ReadonlySet<string> = new Set();
const CLEAR: InputAssessment = { state: PART_STATE.clear };

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
  isExplained: (crashTimes: CrashTimes) => boolean = () => false,
): PromptQuarantine => {
  const suspects = new Map<string, Suspect>();
  /** Served requests by part, the parts that were served last at the end. */
  const servedByPart = new Map<string, number>();
  const lossRate = newSoundLossRate();
  let servedCount = 0;
  let reportOffset = 0;

  const getOrAddSuspect = (part: string, position: number, nowMs: number): Suspect => {
    const known = suspects.get(part);
    if (known !== undefined) return known;
    const earlierSurvivals = Math.min(MAX_EARLIER_SURVIVALS, servedByPart.get(part) ?? 0);
    const suspect = newSuspect(part, position, earlierSurvivals, nowMs);
    suspects.set(part, suspect);
    return suspect;
  };

  /** Requests that this gateway has had served. */
  const getOwnServed = (part: string): ServedCount => ({
    withPart: servedByPart.get(part) ?? 0,
    all: servedCount,
  });

  /** Rates by which a part is judged; a part that a gateway has judged harmful counts as rare. */
  const getSoundRates = (suspect: Suspect, nowMs: number): SoundRates => {
    if (suspect.isQuarantined || suspect.isClaimed) return RARE_PART_RATES;
    const served = getServedCount(suspect, getOwnServed(suspect.part));
    return {
      loss: Math.min(MAX_SOUND_LOSS_RATE, lossRate.getRate(suspect.ownLosses, nowMs)),
      presence: Math.max(MIN_SOUND_LOSS_RATE, getChancePresence(served)),
    };
  };

  /** Odds that a part is harmful, without the crashes that other parts explain. */
  const getOdds = (suspect: Suspect, explained: ReadonlySet<string>, nowMs: number): number => {
    const hasOtherCause = isExplained(suspect.crashTimes);
    const crashes = hasOtherCause ? 0 : countSeparateCrashes(suspect.crashTimes, explained);
    return getEvidence(crashes, countSurvivals(suspect), getSoundRates(suspect, nowMs));
  };

  const decide = (record: Suspect, explained: ReadonlySet<string>, nowMs: number): void => {
    const threshold = record.isQuarantined ? RELEASE_EVIDENCE : QUARANTINE_EVIDENCE;
    const soundRates = getSoundRates(record, nowMs);
    const isQuarantined = getOdds(record, explained, nowMs) >= threshold;
    if (isQuarantined === record.isQuarantined) return;
    record.isQuarantined = isQuarantined;
    record.changedMs = nowMs;
    onChange({ report: getReport(record, getOwnServed(record.part), nowMs), soundRates });
  };

  /** Forgets suspects that are long unused, and beyond the largest number the least used ones. */
  const forget = (nowMs: number): void => {
    suspects.forEach(({ isQuarantined, usedMs }, part) => {
      if (!isQuarantined && nowMs - usedMs > MEMORY_MS) suspects.delete(part);
    });
    const excess = suspects.size - MAX_SUSPECTS;
    if (excess <= 0) return;
    [...suspects.values()]
      .sort((a, b) => Number(a.isQuarantined) - Number(b.isQuarantined) || a.usedMs - b.usedMs)
      .slice(0, excess)
      .forEach(({ part }) => suspects.delete(part));
  };

  /** Decides on all suspects, the strongest first: a crash that it explains speaks against no other. */
  const decideAll = (nowMs: number): void => {
    const explained = new Set<string>();
    [...suspects.values()]
      .filter(({ crashTimes }) => crashTimes.size >= MIN_SUSPECT_CRASHES)
      .map((suspect) => ({ suspect, evidence: getFullEvidence(suspect) }))
      .sort((a, b) => b.evidence - a.evidence || b.suspect.position - a.suspect.position)
      .forEach(({ suspect }) => {
        decide(suspect, explained, nowMs);
        if (!suspect.isQuarantined) return;
        [...suspect.crashTimes.keys()].forEach((upstream) => explained.add(upstream));
      });
    forget(nowMs);
  };

  /** Reviews parts with more survivals, which speak for these parts alone. */
  const review = (survived: readonly Suspect[], nowMs: number): void => {
    if (survived.some(({ isQuarantined }) => isQuarantined)) decideAll(nowMs);
    survived
      .filter(({ isQuarantined, crashTimes }) => !isQuarantined && crashTimes.size > 0)
      .filter((suspect) => getOdds(suspect, NONE_EXPLAINED, nowMs) < EXONERATION_EVIDENCE)
      .forEach((suspect) => clearSuspect(suspect, nowMs));
  };

  const assessPart = (part: string, nowMs: number): InputAssessment => {
    const record = suspects.get(part);
    if (record === undefined || record.crashTimes.size === 0) return CLEAR;
    const crashes = countSeparateCrashes(record.crashTimes);
    const ageMs = nowMs - Math.max(...record.crashTimes.values());
    if (record.isQuarantined) {
      record.usedMs = nowMs;
      return { state: PART_STATE.quarantined, part, crashes, ageMs };
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
    const added = recent.filter(([upstream, ageMs]) =>
      addCrash(record, upstream, nowMs - Math.max(0, ageMs), nowMs),
    );
    const isNewClaim = report.isQuarantined && !record.isClaimed;
    record.isClaimed ||= report.isQuarantined;
    return added.length > 0 || isNewClaim;
  };

  /** The part of a report if the peer has more survivals of it. */
  const addSurvivalsOfPeer = (peer: string, { part, survivals, served }: PartReport): Suspect[] => {
    const suspect = suspects.get(part);
    suspect?.peerServed.set(peer, served);
    const isNew = suspect !== undefined && addPeerSurvivals(suspect, peer, survivals);
    return isNew ? [suspect] : [];
  };

  /** Counts a survival of a part; the part if it is a suspect. */
  const addSurvival = (part: string): Suspect[] => {
    const survivals = servedByPart.get(part) ?? 0;
    servedByPart.delete(part);
    servedByPart.set(part, survivals + 1);
    const record = suspects.get(part);
    if (record === undefined) return [];
    record.survivals += 1;
    return [record];
  };

  return {
    recordSurvival: (promptParts, nowMs) => {
      lossRate.recordSurvival(nowMs);
      servedCount += 1;
      review(promptParts.flatMap(addSurvival), nowMs);
      removeOldest(servedByPart, MAX_SERVED_PARTS);
    },
    recordCrash: (upstream, promptParts, nowMs) => {
      lossRate.recordLoss(nowMs);
      promptParts.forEach((part, position) => {
        const record = getOrAddSuspect(part, position, nowMs);
        record.ownLosses += 1;
        addCrash(record, upstream, nowMs, nowMs);
      });
      decideAll(nowMs);
    },
    recordLostItem: (upstream, promptParts, nowMs) => {
      const known = promptParts.flatMap((part) => suspects.get(part) ?? []);
      known
        .filter(({ crashTimes }) => crashTimes.size > 0)
        .forEach((suspect) => addCrash(suspect, upstream, nowMs, nowMs));
      if (known.length > 0) decideAll(nowMs);
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
      const byChange = [...suspects.values()]
        .filter(({ crashTimes }) => crashTimes.size > 0)
        .sort((a, b) => b.changedMs - a.changedMs);
      const recent = byChange
        .filter(({ changedMs }) => nowMs - changedMs <= RECENT_CHANGE_MS)
        .slice(0, MAX_RECENT_REPORTED);
      const others = byChange.slice(recent.length);
      const start = others.length === 0 ? 0 : reportOffset % others.length;
      reportOffset = start + MAX_OTHERS_REPORTED;
      return [...recent, ...others.slice(start, start + MAX_OTHERS_REPORTED)].map((suspect) =>
        getReport(suspect, getOwnServed(suspect.part), nowMs),
      );
    },
    updatePeer: (peer, reports, nowMs) => {
      const isNew = reports.map((report) => addReport(report, nowMs));
      const survived = reports.flatMap((report) => addSurvivalsOfPeer(peer, report));
      review(survived, nowMs);
      if (isNew.includes(true)) decideAll(nowMs);
    },
    restore: (report, nowMs) => {
      if (addReport({ ...report, isQuarantined: true }, nowMs)) decideAll(nowMs);
    },
    getQuarantinedCount: () =>
      [...suspects.values()].filter(({ isQuarantined }) => isQuarantined).length,
  };
};
