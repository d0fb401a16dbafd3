/**
 * Types of the quarantine. A part of the input is a part of a prompt, by its id, or a whole request, by
 * its digest.
 */

import type { LossCounts, LossRate } from './soundLossRate';

/** How often a sound part has what speaks against a part. */
export interface SoundRates {
  /** How often sound requests are lost with crashes of upstreams. */
  readonly loss: LossRate;
  /** Share of the upstreams' run time that requests with the part take. */
  readonly share: number;
  /** The same if one more request with the part had been served: parts come in bursts. */
  readonly burstShare: number;
}

/** What is known of the most suspicious part of a request's input. */
export const PART_STATE = {
  clear: 'clear',
  /** Present at several crashes, not proved harmful. */
  suspect: 'suspect',
  /** Crashes upstreams; requests with it must not reach any. */
  quarantined: 'quarantined',
} as const;
/** One of the states. */
export type PartState = (typeof PART_STATE)[keyof typeof PART_STATE];

/** What is known of a part that was present at crashes. */
interface PartAssessment<State extends PartState> {
  readonly state: State;
  readonly part: string;
  /** Crashes with causes of their own, or that no answer makes up for, at which it was present. */
  readonly crashes: number;
  /** Time since the last of them was known here, in milliseconds. */
  readonly ageMs: number;
}

/** Assessment of input that must reach no upstream. */
export interface QuarantineAssessment extends PartAssessment<typeof PART_STATE.quarantined> {
  /** Whether a trial may tell that the part is sound. */
  readonly isTriable: boolean;
}

/** Assessment of a request's input by its parts. */
export type InputAssessment =
  | { readonly state: typeof PART_STATE.clear }
  | PartAssessment<typeof PART_STATE.suspect>
  | QuarantineAssessment;

/** Run time of served requests in milliseconds, by which the share of a part is known. */
export interface ServedTime {
  readonly withPart: number;
  readonly all: number;
}

/**
 * Upstream, time since its crash, time for which the request had run, both in milliseconds, and the number
 * of requests and items that the upstream had. A gateway of an earlier version sends the first two.
 */
export type CrashReport = readonly [
  upstream: string,
  ageMs: number,
  runMs?: number,
  concurrency?: number,
];

/** What one gateway knows of a part, for its peers and the store. */
export interface PartReport {
  readonly part: string;
  /** Position of the part in its prompts; a later part is shared by fewer. 0 for a whole request. */
  readonly position: number;
  readonly isQuarantined: boolean;
  /**
   * Requests with the part that the reporter's upstreams answered as a whole; of a whole request, the
   * crashes that its answers make up for.
   */
  readonly survivals: number;
  /** Run time of the requests that the reporter has had served: those with the part, and all. */
  readonly served: ServedTime;
  /** Losses of the reporter that the part of prompts would not explain; none from an earlier version. */
  readonly otherLosses?: LossCounts;
  readonly crashes: readonly CrashReport[];
}

/** Change of a part's quarantine. */
export interface QuarantineChange {
  readonly report: PartReport;
  /** Rates of a sound part of prompts by which it was decided; whole requests need none. */
  readonly soundRates?: SoundRates;
}
