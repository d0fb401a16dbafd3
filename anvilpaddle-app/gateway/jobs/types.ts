/** Batch jobs as the gateway keeps them. */

/** One item as its caller submitted it. */
export interface JobItem {
  readonly id: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Tokens of the prompt and the longest output together. */
  readonly tokens: number;
}

/** A job as its caller submitted it. */
export interface NewJob {
  readonly items: readonly JobItem[];
}

/** Record of a job; all that changes is decided by conditional commits of it. */
export interface JobRecord {
  readonly id: string;
  readonly team: string;
  readonly route: string;
  readonly host: string;
  /** Store's clock at which the job was submitted, in milliseconds. */
  readonly submittedMs: number;
  /** Tokens of each item, in the order of the submission. */
  readonly tokens: readonly number[];
  /** Gateway incarnation that runs the items; undefined when none does. */
  readonly owner: string | undefined;
  /** Indexes of the items that are listed, in the order of the listing. */
  readonly listed: readonly number[];
  /** Failed runs by the item's index. */
  readonly failures: Readonly<Record<string, number>>;
  /** Whether the caller has ended the job. */
  readonly isEnded: boolean;
}

/** Final result of an item. */
export interface ItemResult {
  readonly id: string;
  readonly state: 'succeeded' | 'errored';
  readonly output: string;
}

/** Part of a job's results. */
export interface ResultPage {
  readonly total: number;
  readonly next: number;
  readonly results: readonly ItemResult[];
}

/** Output of an item that is not done, so that another run can go on with it. */
export interface ItemCheckpoint {
  readonly index: number;
  readonly text: string;
  /** Events in the text, and the time for which the item has run for them in milliseconds. */
  readonly events: number;
  readonly runMs: number;
  /** Id of the last event that is in the text. */
  readonly lastEventId: string;
}
