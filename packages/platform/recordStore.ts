/** Interface to the platform's record store, which gateways keep their state in. */
import type { Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { ReadOptions } from './types';

/** Identity of a record: table, partition (may be empty) and key. */
export interface RecordName {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** One record; an undefined value means that the record was removed. */
export interface StoredRecord extends RecordName {
  readonly value: Buffer | undefined;
  /** Revision of the record's last change; it grows with each change of any record. */
  readonly revision: number;
}

/** Records read at one point in time. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Newest revision in the store at that time. */
  readonly revision: number;
  /** The store's monotonic clock at that time, in milliseconds. */
  readonly storeMs: number;
}

/** Keys from `from` (inclusive) to `to` (exclusive). */
export interface KeyRange {
  readonly from?: string | undefined;
  readonly to?: string | undefined;
  readonly limit?: number | undefined;
}

/** How to read records. */
export interface RecordReadOptions extends ReadOptions {
  /** Whether to read no more than one response of the store has; all records by default. */
  readonly isOnePage?: boolean;
}

/** Precondition of a commit: the record has this revision; 0 means that it does not exist. */
export interface RecordCheck extends RecordName {
  readonly revision: number;
}

/** New value of one record. */
export interface RecordWrite extends RecordName {
  readonly value: Buffer;
}

/** Atomic change of one partition: all writes and removals take effect if all checks hold. */
export interface RecordChange {
  readonly checks: readonly RecordCheck[];
  readonly writes: readonly RecordWrite[];
  readonly removals?: readonly RecordName[];
}

/** Outcome of a commit that the store responded to; a refused one returns conflicting records. */
export type RecordCommitOutcome =
  | { readonly committed: true; readonly revision: number; readonly storeMs: number }
  | { readonly committed: false; readonly records: readonly StoredRecord[] };

/** Error of a watch whose start revision is older than the history that the store still holds. */
export interface HistoryGone {
  readonly kind: 'history_gone';
}

/** A linearizable store of records in tables and partitions, whose changes can be watched. */
export interface RecordStore {
  /** Reads the records of a partition within a range of keys. */
  read(
    table: string,
    partition: string,
    range?: KeyRange,
    options?: RecordReadOptions,
  ): Promise<Result<RecordPage, PlatformError>>;
  /** Lists the names of a table's partitions. */
  partitions(table: string): Promise<Result<readonly string[], PlatformError>>;
  /** Commits a change. After an `unknown` error it may still take effect while its checks hold. */
  commit(change: RecordChange): Promise<Result<RecordCommitOutcome, PlatformError>>;
  /** Reads the records of a table that changed after a revision; waits up to `waitMs` for one. */
  watch(
    table: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<RecordPage, PlatformError | HistoryGone>>;
}
