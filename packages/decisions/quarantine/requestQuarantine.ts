/**
 * Finds requests that crash the upstreams that run them and come again. A sound request is answered
 * sooner or later, and an answer makes up for all crashes before it at which the request was aboard; at
 * three crashes without an answer in between, it is quarantined.
 */
import {
  MAX_REQUESTS_REPORTED,
  MAX_SUSPECTS,
  MEMORY_MS,
  MIN_SUSPECT_CRASHES,
  QUARANTINE_CRASHES,
  RECENT_CHANGE_MS,
} from './constants';
import type { Crash, Crashes } from './crashEvidence';
import { getOutline } from './requestDigest';
import {
  addCrash,
  addPeerSurvivals,
  clearSuspect,
  compareByCrashes,
  countSurvivals,
  getLastCrashMs,
  getReport,
  getReportedCrash,
  newSuspect,
  type Suspect,
} from './suspect';
import {
  PART_STATE,
  type InputAssessment,
  type PartReport,
  type QuarantineChange,
  type ServedTime,
} from './types';

/** Quarantine of requests at one gateway, by their digests; all times are monotonic milliseconds. */
export interface RequestQuarantine {
  /** Whether a request with this outline was aboard at a crash. */
  isKnown(outline: string): boolean;
  /** Records that an upstream has answered a request. */
  recordAnswer(digest: string, nowMs: number): void;
  /** Records a request that was lost when its upstream crashed. */
  recordCrash(upstream: string, digest: string, crash: Crash): void;
  assess(digest: string, nowMs: number): InputAssessment;
  /** Upstreams that crashed with the request aboard. */
  getCrashedUpstreams(digest: string): readonly string[];
  /** Whether one quarantined request was aboard at all of these crashes. */
  explains(crashes: Crashes): boolean;
  /** Requests to report to the peers: those that changed lately, and other suspects in turn. */
  getReports(nowMs: number): PartReport[];
  /** Reports of all suspects, those that were aboard at most crashes first. */
  getCheckpoint(nowMs: number): PartReport[];
  /** Whether a request was aboard at crashes that no answer makes up for. */
  isSuspect(digest: string): boolean;
  /** Adds what a peer knows. */
  updatePeer(peer: string, reports: readonly PartReport[], nowMs: number): void;
  /** Adds a quarantined request that was stored. */
  restore(report: PartReport, nowMs: number): void;
  getQuarantinedCount(): number;
}

const CLEAR: InputAssessment = { state: PART_STATE.clear };
/** How often requests are served says nothing here. */
const NOT_COUNTED: ServedTime = { withPart: 0, all: 0 };

/** Crashes that no answer makes up for. */
const countOpenCrashes = (suspect: Suspect): number =>
  suspect.crashes.size - countSurvivals(suspect);

/** Creates a quarantine without suspects; `onChange` is called when a request enters or leaves it. */
export const newRequestQuarantine = (
  onChange: (change: QuarantineChange) => void = () => undefined,
): RequestQuarantine => {
  const suspects = new Map<string, Suspect>();
  const quarantined = new Set<Suspect>();
  let outlines = new Set<string>();
  let reportOffset = 0;

  /** Forgets requests that are long unused, and beyond the largest number those with few crashes. */
  const forget = (nowMs: number): void => {
    const { size } = suspects;
    suspects.forEach(({ isQuarantined, usedMs }, digest) => {
      if (!isQuarantined && nowMs - usedMs > MEMORY_MS) suspects.delete(digest);
    });
    if (suspects.size > MAX_SUSPECTS) {
      [...suspects.values()]
        .sort((a, b) => countOpenCrashes(a) - countOpenCrashes(b) || a.usedMs - b.usedMs)
        .slice(0, suspects.size - MAX_SUSPECTS)
        .forEach((suspect) => {
          suspects.delete(suspect.part);
          quarantined.delete(suspect);
        });
    }
    if (suspects.size < size) outlines = new Set([...suspects.keys()].map(getOutline));
  };

  const getOrAddSuspect = (digest: string, nowMs: number): Suspect => {
    const known = suspects.get(digest);
    if (known !== undefined) return known;
    const suspect = newSuspect(digest, 0, 0, nowMs);
    suspects.set(digest, suspect);
    outlines.add(getOutline(digest));
    forget(nowMs);
    return suspect;
  };

  /** Adds a crash; the first one after answers have made up for all others counts alone. */
  const addOpenCrash = (suspect: Suspect, upstream: string, crash: Crash, nowMs: number): void => {
    const { crashes } = suspect;
    const isNew = !crashes.has(upstream) && crash.atMs >= suspect.sinceMs;
    if (isNew && crashes.size > 0 && countOpenCrashes(suspect) <= 0) {
      clearSuspect(suspect, crash.atMs);
    }
    addCrash(suspect, upstream, crash, nowMs);
  };

  const decide = (record: Suspect, nowMs: number): void => {
    const isQuarantined = countOpenCrashes(record) >= QUARANTINE_CRASHES;
    if (isQuarantined === record.isQuarantined) return;
    record.isQuarantined = isQuarantined;
    record.changedMs = nowMs;
    if (isQuarantined) quarantined.add(record);
    else quarantined.delete(record);
    onChange({ report: getReport(record, NOT_COUNTED, nowMs) });
  };

  const addReport = (report: PartReport, nowMs: number): void => {
    const recent = report.crashes.filter(([, ageMs]) => report.isQuarantined || ageMs < MEMORY_MS);
    if (recent.length === 0) return;
    const suspect = getOrAddSuspect(report.part, nowMs);
    recent.forEach((crash) =>
      addOpenCrash(suspect, crash[0], getReportedCrash(crash, nowMs), nowMs),
    );
  };

  return {
    isKnown: (outline) => outlines.has(outline),
    recordAnswer: (digest, nowMs) => {
      const suspect = suspects.get(digest);
      const openCrashes = suspect === undefined ? 0 : countOpenCrashes(suspect);
      if (suspect === undefined || openCrashes <= 0) return;
      suspect.survivals += openCrashes;
      suspect.changedMs = nowMs;
      decide(suspect, nowMs);
    },
    recordCrash: (upstream, digest, crash) => {
      const suspect = getOrAddSuspect(digest, crash.atMs);
      addOpenCrash(suspect, upstream, crash, crash.atMs);
      decide(suspect, crash.atMs);
    },
    assess: (digest, nowMs) => {
      const suspect = suspects.get(digest);
      const crashes = suspect === undefined ? 0 : countOpenCrashes(suspect);
      if (suspect === undefined || crashes < MIN_SUSPECT_CRASHES) return CLEAR;
      const { isQuarantined } = suspect;
      if (isQuarantined) suspect.usedMs = nowMs;
      const ageMs = nowMs - getLastCrashMs(suspect);
      return isQuarantined
        ? { state: PART_STATE.quarantined, part: digest, crashes, ageMs, isTriable: true }
        : { state: PART_STATE.suspect, part: digest, crashes, ageMs };
    },
    getCrashedUpstreams: (digest) => [...(suspects.get(digest)?.crashes.keys() ?? [])],
    explains: (crashes) =>
      crashes.size > 0 &&
      [...quarantined].some((request) =>
        [...crashes.keys()].every((upstream) => request.crashes.has(upstream)),
      ),
    getReports: (nowMs) => {
      const reported = [...suspects.values()].filter(({ crashes }) => crashes.size > 0);
      const recent = reported
        .filter(({ changedMs }) => nowMs - changedMs <= RECENT_CHANGE_MS)
        .sort(compareByCrashes)
        .slice(0, MAX_REQUESTS_REPORTED);
      const others = reported.filter(
        (suspect) => countOpenCrashes(suspect) >= MIN_SUSPECT_CRASHES && !recent.includes(suspect),
      );
      const other = others[reportOffset % Math.max(1, others.length)];
      reportOffset += 1;
      return [...recent, ...(other === undefined ? [] : [other])].map((suspect) =>
        getReport(suspect, NOT_COUNTED, nowMs),
      );
    },
    getCheckpoint: (nowMs) =>
      [...suspects.values()]
        .filter((suspect) => countOpenCrashes(suspect) > 0)
        .sort(compareByCrashes)
        .map((suspect) => getReport(suspect, NOT_COUNTED, nowMs)),
    isSuspect: (digest) => {
      const suspect = suspects.get(digest);
      return suspect !== undefined && countOpenCrashes(suspect) > 0;
    },
    updatePeer: (peer, reports, nowMs) =>
      reports.forEach((report) => {
        addReport(report, nowMs);
        const suspect = suspects.get(report.part);
        if (suspect === undefined || suspect.crashes.size === 0) return;
        addPeerSurvivals(suspect, peer, report.survivals);
        decide(suspect, nowMs);
      }),
    restore: (report, nowMs) => {
      addReport({ ...report, isQuarantined: true }, nowMs);
      const suspect = suspects.get(report.part);
      if (suspect !== undefined) decide(suspect, nowMs);
    },
    getQuarantinedCount: () => quarantined.size,
  };
};
