/** Interface of the stored batch jobs. */
import type { Result, RoomWait } from '@anvilpaddle/common';
import type { PlatformError, RecordCommitOutcome } from '@anvilpaddle/platform';
import type { JobName } from './jobNames';
import type { StoredJob } from './jobRecords';
import type { HeldResults } from './jobResultStore';
import type { HeldItem } from './segmentReader';
import type {
  ItemCheckpoint,
  ItemResult,
  ItemSegment,
  ItemSummary,
  JobItem,
  JobRecord,
  NewJob,
} from './types';

/** Outcome of a submission. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly job: StoredJob }
  /** An earlier submission of the same job was accepted. */
  | { readonly kind: 'known' }
  /** The route's waiting tokens, with those of this job, would exceed the limit. */
  | { readonly kind: 'no_room'; readonly waitingTokens: number }
  /** The store did not answer the commit, which may still take effect. */
  | { readonly kind: 'unknown'; readonly error: PlatformError }
  /** The job was not stored. */
  | { readonly kind: 'unavailable'; readonly error: PlatformError };

/** Limits that a submission must stay within. */
export interface SubmissionLimits {
  /** Limit of waiting tokens over all jobs of the team on the route; 0 means no limit. */
  readonly maxWaitingTokens: number;
}

/** Progress of a submission, through which the caller can cancel it until the commit is sent. */
export interface SubmissionProgress {
  /** Set by the caller of `submit` to cancel. */
  isCancelled: boolean;
  /** Set right before the commit is sent; from then on the submission can't be cancelled. */
  isCommitting: boolean;
}

/** Changes of a job that are committed atomically. */
export interface JobChange {
  /** New record of the job; undefined leaves the stored one unchanged. */
  readonly record?: JobRecord;
  /** Results of the last entries of the record's `listed`, in the same order. */
  readonly results?: readonly ItemResult[];
  readonly checkpoints?: readonly ItemCheckpoint[];
}

/** Access to the stored batch jobs. */
export interface JobStore {
  submit(
    record: JobRecord,
    job: NewJob,
    limits: SubmissionLimits,
    progress?: SubmissionProgress,
  ): Promise<SubmissionResult>;
  read(name: JobName): Promise<Result<StoredJob | undefined, PlatformError>>;
  /** Commits changes if the stored record still has the revision of `job`. */
  update(job: StoredJob, change: JobChange): Promise<Result<RecordCommitOutcome, PlatformError>>;
  readCheckpoints(name: JobName): Promise<Result<readonly ItemCheckpoint[], PlatformError>>;
  /**
   * Results from a position on, up to `maxBytes` and to what one response of the store has; the first one is
   * included whatever its size. Rejects with `NoRoomError`.
   */
  readResults(
    record: JobRecord,
    from: number,
    maxBytes: number,
    wait: RoomWait,
  ): Promise<Result<HeldResults, PlatformError>>;
  /** Summaries of a job's items. Rejects with `NoRoomError`. */
  readItemSummaries(
    record: JobRecord,
    wait: RoomWait,
  ): Promise<Result<readonly ItemSummary[], PlatformError>>;
  /** One item. Rejects with `NoRoomError`. */
  readItem(summary: ItemSummary, wait: RoomWait): Promise<Result<HeldItem, PlatformError>>;
  /** One item, if it is in memory. */
  getItemInMemory(summary: ItemSummary): JobItem | undefined;
  isItemInMemory(summary: ItemSummary): boolean;
  /** Reads an item and its neighbours into memory, in place of others. Rejects with `NoRoomError`. */
  fetchItem(summary: ItemSummary, wait: RoomWait): Promise<Result<void, PlatformError>>;
  /** Reads items into memory as far as there is room for them. */
  prefetchItems(summaries: readonly ItemSummary[], wait: RoomWait): Promise<void>;
  /** Keeps the items of a job no longer in memory. */
  forgetItems(summaries: readonly ItemSummary[]): void;
  /** Removes items that are all listed, unless other jobs may have items beside them. */
  removeSegment(segment: ItemSegment): Promise<Result<void, PlatformError>>;
  /** Removes a job with its items, results and checkpoints. */
  remove(job: StoredJob): Promise<Result<RecordCommitOutcome, PlatformError>>;
}
