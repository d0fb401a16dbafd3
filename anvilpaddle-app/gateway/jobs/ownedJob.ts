/** A job owned by this gateway: tracks its unfinished items and commits their results. */
import { getErrorMessage, type Clock, type Logger } from '@anvilpaddle/common';
import { getPlatformErrorMessage } from '@anvilpaddle/platform';
import { sleep, waitUntil } from '../../process/program';
import { parseEventId } from '../eventSequence';
import type { JobCache } from './jobCache';
import type { ItemProgress } from './runItem';
import { serializeJson, type StoredJob } from './jobRecords';
import type { JobStore } from './jobStoreTypes';
import type { ItemCheckpoint, ItemResult, ItemSegment, ItemSummary, JobRecord } from './types';

/** Delay before a commit that failed is retried. */
const COMMIT_RETRY_MS = 200;

/** Size limit of a checkpoint's text; longer partial outputs are not stored. */
const MAX_CHECKPOINT_BYTES = 45_000;
/** Maximum number of results, and of checkpoints, in one commit. */
const MAX_ITEMS_PER_COMMIT = 16;

/** An item without a result. */
export interface PendingItem extends ItemProgress {
  readonly index: number;
  readonly item: ItemSummary;
  /** Monotonic time before which the item must not start again. */
  notBeforeMs: number;
  /** Whether the item runs at an upstream that is not silent. */
  isRunning: boolean;
  /** Upstream at which the item last made way for online requests. */
  yieldedAt: string | undefined;
  /** Whether a slow run of the item was moved. */
  hasMoved: boolean;
  /** Whether the item's previous run was slow, until the pace of this one is known. */
  isAfterSlowRun: boolean;
  /** Id of the last event in the item's stored checkpoint. */
  lastStoredEventId: string | undefined;
}

/** A job owned by this gateway, until its ownership or the job ends. */
export interface OwnedJob {
  readonly team: string;
  readonly id: string;
  /** Items without a stored or uncommitted result; empty once the job is released. */
  getPendingItems(): PendingItem[];
  /** The newest record of the job that this gateway knows. */
  getRecord(): JobRecord;
  /** Adds an item's result and starts committing it; ignored once the job is released. */
  addResult(pending: PendingItem, result: ItemResult): void;
  /** Counts a failed run of an item and returns the item's number of failed runs. */
  countFailure(pending: PendingItem): number;
  /** Starts storing checkpoints of the unfinished items. */
  saveCheckpoints(): void;
  /** Stores checkpoints and clears the owner, so that another gateway can claim the job. */
  handOver(): Promise<void>;
  /** Applies a newer record from the store; releases the job if it is over or has a new owner. */
  refresh(job: StoredJob): void;
}

/** Dependencies of an owned job. */
export interface OwnedJobDependencies {
  readonly store: JobStore;
  readonly jobCache: JobCache;
  /** Incarnation of this gateway. */
  readonly self: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A result with its item's index. */
type FinishedItem = readonly [number, ItemResult];

const getBytes = (finished: readonly FinishedItem[]): number =>
  finished.reduce((sum, [, result]) => sum + serializeJson(result).length, 0);

/** A job's items and their stored checkpoints. */
export interface JobContent {
  readonly items: readonly ItemSummary[];
  readonly checkpoints: readonly ItemCheckpoint[];
}

/** Whether a checkpoint has just the events up to its last one; earlier versions kept foreign ones too. */
const isSound = ({ events, lastEventId }: ItemCheckpoint): boolean =>
  parseEventId(lastEventId) === events;

const newPendingItem = (
  item: ItemSummary,
  index: number,
  checkpoint: ItemCheckpoint | undefined,
): PendingItem => ({
  index,
  item,
  texts: checkpoint === undefined ? [] : [checkpoint.text],
  events: checkpoint?.events ?? 0,
  runMs: checkpoint?.runMs ?? 0,
  lastEventId: checkpoint?.lastEventId,
  lastStoredEventId: checkpoint?.lastEventId,
  notBeforeMs: 0,
  isRunning: false,
  yieldedAt: undefined,
  hasMoved: false,
  isAfterSlowRun: false,
});

/**
 * Starts tracking a job that this gateway owns. `onReleased` is called once, when the job is
 * complete, ended or removed, or no longer owned by this gateway.
 */
export const newOwnedJob = (
  initialJob: StoredJob,
  { items, checkpoints }: JobContent,
  onReleased: () => void,
  { store, jobCache, self, clock, log }: OwnedJobDependencies,
): OwnedJob => {
  const { team, id } = initialJob.record;
  let storedJob = initialJob;
  let isReleased = false;
  let isCommitting = false;
  /** Results by item index that are not yet in the stored record. */
  const uncommittedResults = new Map<number, ItemResult>();
  const failures = new Map<number, number>(
    Object.entries(initialJob.record.failures).map(([index, count]) => [Number(index), count]),
  );
  let hasNewFailures = false;
  let areCheckpointsDue = false;
  let isHandingOver = false;
  /** Whether the last commit failed and the store has not answered since; avoids repeated warnings. */
  let isStoreUnavailable = false;
  const pendingItems = new Map<number, PendingItem>();
  const listed = new Set(initialJob.record.listed);
  items.forEach((item, index) => {
    if (listed.has(index)) return;
    const checkpoint = checkpoints.find(
      (candidate) => candidate.index === index && isSound(candidate),
    );
    pendingItems.set(index, newPendingItem(item, index, checkpoint));
  });

  /** Numbers of unlisted items of the segments that have any. */
  const unlistedCounts = new Map<string, number>();
  pendingItems.forEach(({ item: { segment } }) =>
    unlistedCounts.set(segment.object, (unlistedCounts.get(segment.object) ?? 0) + 1),
  );

  /** Removes a segment from the store, whose room others need; what fails is removed with the job. */
  const removeSegment = async (segment: ItemSegment): Promise<void> => {
    const removed = await store.removeSegment(segment);
    if (removed.ok) return;
    const reason = getPlatformErrorMessage(removed.error);
    log.info({ job: id, object: segment.object, reason }, 'items not removed yet');
  };

  /** Learns that an item is listed, so that nobody asks for its body any more. */
  const markListed = (index: number): void => {
    if (listed.has(index)) return;
    listed.add(index);
    uncommittedResults.delete(index);
    pendingItems.delete(index);
    const segment = items[index]?.segment;
    if (segment === undefined) return;
    const left = (unlistedCounts.get(segment.object) ?? 0) - 1;
    unlistedCounts.set(segment.object, left);
    if (left === 0) void removeSegment(segment);
  };

  const release = (reason: string): void => {
    if (isReleased) return;
    isReleased = true;
    log.info({ job: id, team, reason }, 'job left');
    onReleased();
  };

  const refresh = (job: StoredJob): void => {
    if (job.revision < storedJob.revision) return;
    storedJob = job;
    if (job.record.owner !== self) release(`owned by ${job.record.owner ?? 'no gateway'}`);
    else if (job.record.isEnded) release('ended');
    job.record.listed.forEach(markListed);
    if (job.record.listed.length === job.record.tokens.length) release('complete');
  };

  /** Reads the record again after a commit that conflicted, or failed with an unknown outcome. */
  const reload = async (): Promise<void> => {
    const job = await store.read({ team, id });
    if (!job.ok) return;
    isStoreUnavailable = false;
    if (job.value === undefined) release('removed');
    else {
      jobCache.put(job.value);
      refresh(job.value);
    }
  };

  /** Checkpoints of the items that have made progress since their last stored one. */
  const getCheckpoints = (): ItemCheckpoint[] =>
    [...pendingItems.values()].flatMap(
      ({ index, texts, events, runMs, lastEventId, lastStoredEventId }) => {
        if (lastEventId === undefined || lastEventId === lastStoredEventId) return [];
        const text = texts.join('\n');
        return Buffer.byteLength(text) > MAX_CHECKPOINT_BYTES
          ? []
          : [{ index, text, events, runMs: Math.round(runMs), lastEventId }];
      },
    );

  /** Record with the given items listed; undefined when nothing in the record would change. */
  const getNextRecord = (finished: readonly FinishedItem[]): JobRecord | undefined => {
    if (finished.length === 0 && !hasNewFailures && !isHandingOver) return undefined;
    const { resultBytes } = storedJob.record;
    return {
      ...storedJob.record,
      resultBytes: resultBytes === undefined ? undefined : resultBytes + getBytes(finished),
      owner: isHandingOver ? undefined : storedJob.record.owner,
      listed: [...storedJob.record.listed, ...finished.map(([index]) => index)],
      failures: Object.fromEntries(failures),
    };
  };

  const markStored = (stored: readonly ItemCheckpoint[]): void =>
    stored.forEach(({ index, lastEventId }) => {
      const pending = pendingItems.get(index);
      if (pending !== undefined) pending.lastStoredEventId = lastEventId;
    });

  const commitBatch = async (): Promise<void> => {
    const batch = [...uncommittedResults.entries()].slice(0, MAX_ITEMS_PER_COMMIT);
    const dueCheckpoints = areCheckpointsDue ? getCheckpoints().slice(0, MAX_ITEMS_PER_COMMIT) : [];
    const record = getNextRecord(batch);
    hasNewFailures = false;
    areCheckpointsDue = false;
    if (record === undefined && dueCheckpoints.length === 0) return;
    const commit = await store.update(storedJob, {
      ...(record === undefined ? {} : { record }),
      results: batch.map(([, result]) => result),
      checkpoints: dueCheckpoints,
    });
    if (commit.ok && commit.value.committed) {
      markStored(dueCheckpoints);
      if (record === undefined) return;
      const job = { record, revision: commit.value.revision };
      log.info({ job: id, listed: record.listed.length, of: record.tokens.length }, 'job stored');
      jobCache.put(job);
      refresh(job);
      return;
    }
    hasNewFailures = failures.size > 0;
    if (!commit.ok) {
      if (!isStoreUnavailable) {
        log.warn({ job: id, reason: getPlatformErrorMessage(commit.error) }, 'job not stored yet');
      }
      isStoreUnavailable = true;
      await sleep(clock, COMMIT_RETRY_MS);
    }
    await reload();
  };

  const commitUntilDone = async (): Promise<void> => {
    if (isCommitting) return;
    isCommitting = true;
    while (
      !isReleased &&
      (uncommittedResults.size > 0 || hasNewFailures || areCheckpointsDue || isHandingOver)
    ) {
      await commitBatch();
    }
    isCommitting = false;
  };

  const startCommit = (): void => {
    commitUntilDone().catch((error: unknown) => {
      isCommitting = false;
      log.error({ job: id, reason: getErrorMessage(error) }, 'job commit failed');
    });
  };

  return {
    team,
    id,
    getPendingItems: () => (isReleased ? [] : [...pendingItems.values()]),
    getRecord: () => storedJob.record,
    addResult: (pending, result) => {
      if (isReleased) return;
      pendingItems.delete(pending.index);
      uncommittedResults.set(pending.index, result);
      startCommit();
    },
    countFailure: ({ index }) => {
      const count = (failures.get(index) ?? 0) + 1;
      failures.set(index, count);
      hasNewFailures = true;
      startCommit();
      return count;
    },
    saveCheckpoints: () => {
      if (isReleased) return;
      areCheckpointsDue = true;
      startCommit();
    },
    handOver: async () => {
      if (isReleased) return;
      isHandingOver = true;
      areCheckpointsDue = true;
      startCommit();
      await waitUntil(clock, () => isReleased);
    },
    refresh,
  };
};
