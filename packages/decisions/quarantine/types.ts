/** Types of the quarantine of prompt parts. */

/** How often a sound part has what speaks against a part. */
export interface SoundRates {
  /** Fraction of sound requests that are lost with crashes of upstreams. */
  readonly loss: number;
  /** Probability that a sound part is present at a crash. */
  readonly presence: number;
}

/** What is known of the most suspicious part of a prompt. */
export const PART_STATE = {
  clear: 'clear',
  /** Present at several crashes, not proved harmful. */
  suspect: 'suspect',
  /** Crashes upstreams; requests with it must not reach any. */
  quarantined: 'quarantined',
} as const;
/** One of the states. */
export type PartState = (typeof PART_STATE)[keyof typeof PART_STATE];

/** Assessment of a prompt by its parts. */
export type PromptAssessment =
  | { readonly state: typeof PART_STATE.clear }
  | {
      readonly state: typeof PART_STATE.suspect | typeof PART_STATE.quarantined;
      readonly part: string;
      /** Crashes with causes of their own at which the part was present. */
      readonly crashes: number;
      /** Time since the last of them was known here, in milliseconds. */
      readonly ageMs: number;
    };

/** Numbers of served requests, by which the share of requests with a part is known. */
export interface ServedCount {
  readonly withPart: number;
  readonly all: number;
}

/** What one gateway knows of a part, for its peers and the store. */
export interface PartReport {
  readonly part: string;
  /** Position of the part in its prompts; a later part is shared by fewer of them. */
  readonly position: number;
  readonly isQuarantined: boolean;
  /** Requests with the part that the reporter's upstreams began to answer without crashing. */
  readonly survivals: number;
  /** Requests that the reporter has had served so far: those with the part, and all. */
  readonly served: ServedCount;
  /** Upstream and time since its crash in milliseconds. */
  readonly crashes: readonly (readonly [string, number])[];
}

/** Change of a part's quarantine. */
export interface QuarantineChange {
  readonly report: PartReport;
  /** Rates of a sound part by which it was decided. */
  readonly soundRates: SoundRates;
}
