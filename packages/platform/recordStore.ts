import type { Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';

/** Name of a record: table, partition (may be empty) and key. */
export interface RecordName {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** One record; an undefined value means that it was removed. */
export interface StoredRecord extends RecordName {
  readonly value: Buffer | undefined;
  /** Grows with each change of any record. */
  readonly revision: number;
}

/** Records as of one moment. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Newest revision in the store at that moment. */
  readonly revision: number;
  /** The store's steady clock at that moment, in milliseconds. */
  readonly storeMs: number;
}

/** Keys from `from` up to and without `to`. */
export interface KeyRange {
  readonly from?: string | undefined;
  readonly to?: string | undefined;
  readonly limit?: number | undefined;
}

/** Condition of a commit: the record has this revision; 0 means that it does not exist. */
export interface RecordCheck extends RecordName {
  readonly revision: number;
}

/** Change of one record. */
export interface RecordWrite extends RecordName {
  readonly value: Buffer;
}

/** Checks and changes of one partition that take effect together or not at all. */
export interface RecordChange {
  readonly checks: readonly RecordCheck[];
  readonly writes: readonly RecordWrite[];
  readonly removals?: readonly RecordName[];
}

/** Outcome of a commit that the store has answered. */
export type RecordCommitOutcome =
  | { readonly committed: true; readonly revision: number; readonly storeMs: number }
  | { readonly committed: false; readonly records: readonly StoredRecord[] };

/** The store no longer holds the history that a watch asked for. */
export interface HistoryGone {
  readonly kind: 'history_gone';
}

/** A linearizable store of records in tables and partitions, whose changes can be watched. */
export interface RecordStore {
  /** All records of a partition within a range. */
  read(
    table: string,
    partition: string,
    range?: KeyRange,
  ): Promise<Result<RecordPage, PlatformError>>;
  /** Names of a table's partitions. */
  partitions(table: string): Promise<Result<readonly string[], PlatformError>>;
  /** An `unknown` error may take effect later, while its checks hold. */
  commit(change: RecordChange): Promise<Result<RecordCommitOutcome, PlatformError>>;
  /** Records of a table that changed after a revision; waits for the first up to a time in ms. */
  watch(
    table: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<RecordPage, PlatformError | HistoryGone>>;
}
