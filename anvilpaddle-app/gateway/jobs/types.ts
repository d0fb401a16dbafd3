/** Types of batch jobs: what callers submit, what the store holds, and what callers read back. */

/** One request of a batch job, as its caller submitted it. */
export interface JobItem {
  readonly id: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number;
}

/** Object with some successive items of a job. */
export interface ItemSegment {
  readonly object: string;
  /** Size of the object. */
  readonly bytes: number;
}

/** What an owner keeps of an item that doesn't run. */
export interface ItemSummary {
  readonly id: string;
  /** Ids of the prompt's parts that it may share with others. */
  readonly promptParts: readonly string[];
  readonly segment: ItemSegment;
  /** Position in the segment. */
  readonly offset: number;
}

/** A job as its caller submitted it. */
export interface NewJob {
  readonly items: readonly JobItem[];
}

/** Stored state of a job; every change of it is a conditional commit on the record's revision. */
export interface JobRecord {
  readonly id: string;
  readonly team: string;
  readonly route: string;
  readonly host: string;
  /** Version of the configuration that accepted the job; earlier releases did not store it. */
  readonly configVersion: number | undefined;
  /** Submission time by the store's clock, in milliseconds. */
  readonly submittedMs: number;
  /** Tokens of each item, by the item's index in the submission. */
  readonly tokens: readonly number[];
  /** Incarnation of the gateway that runs the items; undefined when no gateway does. */
  readonly owner: string | undefined;
  /** Indexes of the items that have a result, in the order in which callers read the results. */
  readonly listed: readonly number[];
  /** Number of failed runs by item index. */
  readonly failures: Readonly<Record<string, number>>;
  /** Size of all results; undefined if an earlier release has stored some of them. */
  readonly resultBytes?: number | undefined;
  /** Whether the caller has ended the job. */
  readonly isEnded: boolean;
}

/** Final result of an item. */
export interface ItemResult {
  readonly id: string;
  readonly state: 'succeeded' | 'errored';
  readonly output: string;
}

/** One page of a job's results. */
export interface ResultPage {
  /** Number of items in the job. */
  readonly total: number;
  /** Position from which the next page starts. */
  readonly next: number;
  readonly results: readonly ItemResult[];
}

/** Partial output of an unfinished item, from which a later run resumes. */
export interface ItemCheckpoint {
  readonly index: number;
  readonly text: string;
  /** Number of events in the text. */
  readonly events: number;
  /** Time that the runs so far took to produce them, in milliseconds. */
  readonly runMs: number;
  /** Id of the last event in the text. */
  readonly lastEventId: string;
}
