/** A part of the input that was present at a crash, with what speaks for and against it. */
import { DEFAULT_CONCURRENCY, DEFAULT_RUN_MS, MAX_CRASHES_PER_PART } from './constants';
import {
  getEvidence,
  getTellingCrashes,
  RARE_PART_RATES,
  type Crash,
  type CrashContext,
} from './crashEvidence';
import type { LossCounts } from './soundLossRate';
import type { CrashReport, PartReport, ServedTime } from './types';

/** Survivals that a peer has reported. */
interface PeerSurvivals {
  readonly reported: number;
  /** Those of them that don't count any more. */
  readonly cleared: number;
}

/** What is known of a part; times are monotonic milliseconds. */
export interface Suspect {
  readonly part: string;
  /** Position of the part in its prompts. */
  readonly position: number;
  /** Crashes at which the part was aboard, by upstream. */
  readonly crashes: Map<string, Crash>;
  /** Survivals from before the first crash that count. */
  readonly earlierSurvivals: number;
  /** Requests of this gateway with the part that upstreams answered as a whole. */
  survivals: number;
  readonly peerSurvivals: Map<string, PeerSurvivals>;
  /** Survivals of all peers that count. */
  peerSurvivalTotal: number;
  /** Run time of the peers' served requests, and its sum. */
  readonly peerServed: Map<string, ServedTime>;
  peerServedTotal: ServedTime;
  /** Losses of the peers that the part would not explain, and their sum. */
  readonly peerLosses: Map<string, LossCounts>;
  peerLossTotal: LossCounts;
  /** Crashes from before this time no longer count: the part was cleared of them. */
  sinceMs: number;
  isQuarantined: boolean;
  /** Whether a peer has found the part harmful. */
  isClaimed: boolean;
  /** Time of the last crash or change of the quarantine. */
  changedMs: number;
  /** Time of the last crash or, in quarantine, of the last request. */
  usedMs: number;
}

const NOT_SERVED: ServedTime = { withPart: 0, all: 0 };
const NO_LOSSES: LossCounts = { losses: 0, requests: 0, runMs: 0 };

/** Creates a suspect without crashes. */
export const newSuspect = (
  part: string,
  position: number,
  earlierSurvivals: number,
  nowMs: number,
): Suspect => ({
  part,
  position,
  crashes: new Map(),
  earlierSurvivals,
  survivals: 0,
  peerSurvivals: new Map(),
  peerSurvivalTotal: 0,
  peerServed: new Map(),
  peerServedTotal: NOT_SERVED,
  peerLosses: new Map(),
  peerLossTotal: NO_LOSSES,
  sinceMs: -Infinity,
  isQuarantined: false,
  isClaimed: false,
  changedMs: nowMs,
  usedMs: nowMs,
});

/** Adds a crash; returns false if it was known, is cleared, or if enough are known. */
export const addCrash = (
  record: Suspect,
  upstream: string,
  crash: Crash,
  nowMs: number,
): boolean => {
  const { crashes } = record;
  if (crash.atMs < record.sinceMs) return false;
  if (crashes.has(upstream) || crashes.size >= MAX_CRASHES_PER_PART) return false;
  crashes.set(upstream, crash);
  record.changedMs = nowMs;
  record.usedMs = nowMs;
  return true;
};

/** Adds a peer's count of survivals; returns false if that many were known. */
export const addPeerSurvivals = (record: Suspect, peer: string, survivals: number): boolean => {
  const { reported, cleared } = record.peerSurvivals.get(peer) ?? { reported: 0, cleared: 0 };
  if (survivals === reported) return false;
  // A lower count is a new one, after the peer has cleared the part or restarted.
  const nextCleared = survivals < reported ? 0 : cleared;
  record.peerSurvivals.set(peer, { reported: survivals, cleared: nextCleared });
  record.peerSurvivalTotal += survivals - nextCleared - (reported - cleared);
  return true;
};

/** Sets the run time of a peer's served requests. */
export const setPeerServed = (record: Suspect, peer: string, served: ServedTime): void => {
  const { peerServedTotal: total } = record;
  const previous = record.peerServed.get(peer) ?? NOT_SERVED;
  record.peerServed.set(peer, served);
  record.peerServedTotal = {
    withPart: total.withPart + served.withPart - previous.withPart,
    all: total.all + served.all - previous.all,
  };
};

/** Sets the losses of a peer that the part would not explain. */
export const setPeerLosses = (record: Suspect, peer: string, counts: LossCounts): void => {
  const { peerLossTotal: total } = record;
  const previous = record.peerLosses.get(peer) ?? NO_LOSSES;
  record.peerLosses.set(peer, counts);
  record.peerLossTotal = {
    losses: total.losses + counts.losses - previous.losses,
    requests: total.requests + counts.requests - previous.requests,
    runMs: total.runMs + counts.runMs - previous.runMs,
  };
};

/** Clears a part of its crashes; evidence against it starts anew. */
export const clearSuspect = (record: Suspect, nowMs: number): void => {
  record.crashes.clear();
  record.survivals = 0;
  record.isClaimed = false;
  record.sinceMs = nowMs;
  record.peerSurvivals.forEach(({ reported }, peer) =>
    record.peerSurvivals.set(peer, { reported, cleared: reported }),
  );
  record.peerSurvivalTotal = 0;
};

/** Survivals at all gateways. */
export const countSurvivals = ({
  earlierSurvivals,
  survivals,
  peerSurvivalTotal,
}: Suspect): number => earlierSurvivals + survivals + peerSurvivalTotal;

/** Whether a request with the part has been answered since its first crash. */
export const isAnswered = ({ survivals, peerSurvivalTotal }: Suspect): boolean =>
  survivals + peerSurvivalTotal > 0;

/** Evidence against a part if all its crashes count and nothing else explains them. */
export const getFullEvidence = (suspect: Suspect, context: CrashContext): number =>
  getEvidence(
    getTellingCrashes(suspect.crashes, context),
    countSurvivals(suspect),
    RARE_PART_RATES,
  );

/** Run time of all gateways' served requests, from this gateway's own and its peers'. */
export const getServedTime = ({ peerServedTotal }: Suspect, own: ServedTime): ServedTime => ({
  withPart: peerServedTotal.withPart + own.withPart,
  all: peerServedTotal.all + own.all,
});

/** Orders suspects by crashes, most first; of equal ones, the one that changed last comes first. */
export const compareByCrashes = (a: Suspect, b: Suspect): number =>
  b.crashes.size - a.crashes.size || b.changedMs - a.changedMs;

/** Time of the last crash at which a part was aboard. */
export const getLastCrashMs = ({ crashes }: Suspect): number =>
  Math.max(...[...crashes.values()].map(({ atMs }) => atMs));

/** Crash from a report; one of an earlier version has neither run time nor concurrency. */
export const getReportedCrash = (
  [, ageMs, runMs = DEFAULT_RUN_MS, concurrency = DEFAULT_CONCURRENCY]: CrashReport,
  nowMs: number,
): Crash => ({ atMs: nowMs - Math.max(0, ageMs), runMs, concurrency });

/** Report of a suspect to peers and the store. */
export const getReport = (suspect: Suspect, served: ServedTime, nowMs: number): PartReport => ({
  part: suspect.part,
  position: suspect.position,
  isQuarantined: suspect.isQuarantined,
  survivals: suspect.survivals,
  served: { withPart: Math.round(served.withPart), all: Math.round(served.all) },
  crashes: [...suspect.crashes].map(([upstream, { atMs, runMs, concurrency }]) => [
    upstream,
    Math.round(nowMs - atMs),
    Math.round(runMs),
    concurrency,
  ]),
});
