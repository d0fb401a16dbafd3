/** A part of the input that was present at a crash, with what speaks for and against it. */
import { MAX_CRASHES_PER_PART } from './constants';
import { countSeparateCrashes, getEvidence, RARE_PART_RATES } from './crashEvidence';
import type { PartReport, ServedCount } from './types';

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
  /** Times of the crashes by upstream. */
  readonly crashTimes: Map<string, number>;
  /** Survivals from before the first crash that count. */
  readonly earlierSurvivals: number;
  /** Requests of this gateway with the part that upstreams began to answer without crashing. */
  survivals: number;
  readonly peerSurvivals: Map<string, PeerSurvivals>;
  /** Served requests of the peers. */
  readonly peerServed: Map<string, ServedCount>;
  /** Crashes from before this time no longer count: the part was cleared of them. */
  sinceMs: number;
  /** Losses of this gateway's own requests, which the part would explain. */
  ownLosses: number;
  isQuarantined: boolean;
  /** Whether a peer has found the part harmful. */
  isClaimed: boolean;
  /** Time of the last crash or change of the quarantine. */
  changedMs: number;
  /** Time of the last crash or, in quarantine, of the last request. */
  usedMs: number;
}

/** Creates a suspect without crashes. */
export const newSuspect = (
  part: string,
  position: number,
  earlierSurvivals: number,
  nowMs: number,
): Suspect => ({
  part,
  position,
  crashTimes: new Map(),
  earlierSurvivals,
  survivals: 0,
  peerSurvivals: new Map(),
  peerServed: new Map(),
  sinceMs: -Infinity,
  ownLosses: 0,
  isQuarantined: false,
  isClaimed: false,
  changedMs: nowMs,
  usedMs: nowMs,
});

/** Adds a crash; returns false if it was known, is cleared, or if enough are known. */
export const addCrash = (
  record: Suspect,
  upstream: string,
  atMs: number,
  nowMs: number,
): boolean => {
  const { crashTimes } = record;
  if (atMs < record.sinceMs) return false;
  if (crashTimes.has(upstream) || crashTimes.size >= MAX_CRASHES_PER_PART) return false;
  crashTimes.set(upstream, atMs);
  record.changedMs = nowMs;
  record.usedMs = nowMs;
  return true;
};

/** Adds a peer's count of survivals; returns false if that many were known. */
export const addPeerSurvivals = (record: Suspect, peer: string, survivals: number): boolean => {
  const { reported, cleared } = record.peerSurvivals.get(peer) ?? { reported: 0, cleared: 0 };
  if (survivals === reported) return false;
  // A lower count is a new one, after the peer has cleared the part or restarted.
  const isNewCount = survivals < reported;
  record.peerSurvivals.set(peer, { reported: survivals, cleared: isNewCount ? 0 : cleared });
  return true;
};

/** Clears a part of its crashes; evidence against it starts anew. */
export const clearSuspect = (record: Suspect, nowMs: number): void => {
  record.crashTimes.clear();
  record.survivals = 0;
  record.ownLosses = 0;
  record.isClaimed = false;
  record.sinceMs = nowMs;
  record.peerSurvivals.forEach(({ reported }, peer) =>
    record.peerSurvivals.set(peer, { reported, cleared: reported }),
  );
};

/** Survivals at all gateways. */
export const countSurvivals = ({ earlierSurvivals, survivals, peerSurvivals }: Suspect): number =>
  [...peerSurvivals.values()].reduce(
    (total, { reported, cleared }) => total + reported - cleared,
    earlierSurvivals + survivals,
  );

/** Evidence against a part if all its crashes count and nothing else explains them. */
export const getFullEvidence = (suspect: Suspect): number =>
  getEvidence(countSeparateCrashes(suspect.crashTimes), countSurvivals(suspect), RARE_PART_RATES);

/** Served requests of all gateways, from this gateway's own and its peers'. */
export const getServedCount = ({ peerServed }: Suspect, own: ServedCount): ServedCount =>
  [...peerServed.values()].reduce(
    (total, { withPart, all }) => ({ withPart: total.withPart + withPart, all: total.all + all }),
    own,
  );

/** Report of a suspect to peers and the store. */
export const getReport = (suspect: Suspect, served: ServedCount, nowMs: number): PartReport => ({
  part: suspect.part,
  position: suspect.position,
  isQuarantined: suspect.isQuarantined,
  survivals: suspect.survivals,
  served,
  crashes: [...suspect.crashTimes].map(([upstream, atMs]) => [upstream, Math.round(nowMs - atMs)]),
});
