/** A job that this gateway runs: its items' progress and the listing of their results. */
import { getErrorMessage, type Clock, type Logger } from '@anvilpaddle/common';
import { getPlatformErrorText } from '@anvilpaddle/platform';
import { waitMs, waitUntil } from '../../process/program';
import type { JobCache } from './jobCache';
import type { ItemProgress } from './runItem';
import type { StoredJob } from './jobRecords';
import type { JobStore } from './jobStore';
import type { ItemCheckpoint, ItemResult, JobItem, JobRecord } from './types';

const RETRY_MS = 200;

/** Largest output that is stored before its item is done, in bytes. */
const MAX_CHECKPOINT_BYTES = 45_000;
/** Items that one commit lists or stores at most. */
const MAX_COMMIT_ITEMS = 16;

/** An item that has no result yet. */
export interface PendingItem extends ItemProgress {
  readonly index: number;
  readonly item: JobItem;
  /** Monotonic time before which it is not run again. */
  notBeforeMs: number;
  isRunning: boolean;
  /** Last event that the store holds. */
  lastStoredEventId: string | undefined;
}

/** A job in this gateway's care. */
export interface OwnedJob {
  readonly team: string;
  readonly id: string;
  /** Items that are neither listed nor about to be. */
  getPendingItems(): PendingItem[];
  /** Newest record known. */
  getRecord(): JobRecord;
  /** Lists a result; does nothing when the job is no longer in this gateway's care. */
  addResult(pending: PendingItem, result: ItemResult): void;
  /** Counts a failed run and tells how many there were. */
  countFailure(pending: PendingItem): number;
  /** Stores how far the items have come. */
  saveCheckpoints(): void;
  /** Stores how far the items have come and gives the job up for another gateway. */
  handOver(): Promise<void>;
  /** Takes in a newer record from the store. */
  refresh(job: StoredJob): void;
}

/** What an owned job uses. */
export interface OwnedJobDependencies {
  readonly store: JobStore;
  readonly jobCache: JobCache;
  readonly self: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/** What the store holds of a job's items. */
export interface JobContent {
  readonly items: readonly JobItem[];
  readonly checkpoints: readonly ItemCheckpoint[];
}

const newPendingItem = (
  item: JobItem,
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
});

/** Takes a job into care with its items; `onLost` is called once it belongs to another or is over. */
export const newOwnedJob = (
  first: StoredJob,
  { items, checkpoints }: JobContent,
  onLost: () => void,
  { store, jobCache: board, self, clock, log }: OwnedJobDependencies,
): OwnedJob => {
  const { team, id } = first.record;
  let stored = first;
  let isLost = false;
  let isCommitting = false;
  const unlisted = new Map<number, ItemResult>();
  const failures = new Map<number, number>(
    Object.entries(first.record.failures).map(([index, count]) => [Number(index), count]),
  );
  let areFailuresNew = false;
  let areCheckpointsDue = false;
  let isHandingOver = false;
  /** Whether the store has not answered a commit since its last answer. */
  let isStoreAway = false;
  const waiting = new Map<number, PendingItem>();
  const listed = new Set(first.record.listed);
  items.forEach((item, index) => {
    if (listed.has(index)) return;
    const checkpoint = checkpoints.find((candidate) => candidate.index === index);
    waiting.set(index, newPendingItem(item, index, checkpoint));
  });

  const lose = (reason: string): void => {
    if (isLost) return;
    isLost = true;
    log.info({ job: id, team, reason }, 'job left');
    onLost();
  };

  const refresh = (job: StoredJob): void => {
    if (job.revision < stored.revision) return;
    stored = job;
    if (job.record.owner !== self) lose(`owned by ${job.record.owner ?? 'no gateway'}`);
    else if (job.record.isEnded) lose('ended');
    job.record.listed.forEach((index) => {
      unlisted.delete(index);
      waiting.delete(index);
    });
    if (job.record.listed.length === job.record.tokens.length) lose('complete');
  };

  /** Settles an unclear or refused commit by what the store holds now. */
  const reread = async (): Promise<void> => {
    const job = await store.read(team, id);
    if (!job.ok) return;
    isStoreAway = false;
    if (job.value === undefined) lose('removed');
    else {
      board.put(job.value);
      refresh(job.value);
    }
  };

  const getCheckpoints = (): ItemCheckpoint[] =>
    [...waiting.values()].flatMap(
      ({ index, texts, events, runMs, lastEventId, lastStoredEventId: storedEventId }) => {
        if (lastEventId === undefined || lastEventId === storedEventId) return [];
        const text = texts.join('\n');
        return Buffer.byteLength(text) > MAX_CHECKPOINT_BYTES
          ? []
          : [{ index, text, events, runMs: Math.round(runMs), lastEventId }];
      },
    );

  const getNextRecord = (settled: readonly number[]): JobRecord | undefined => {
    if (settled.length === 0 && !areFailuresNew && !isHandingOver) return undefined;
    return {
      ...stored.record,
      owner: isHandingOver ? undefined : stored.record.owner,
      listed: [...stored.record.listed, ...settled],
      failures: Object.fromEntries(failures),
    };
  };

  const noteStored = (saved: readonly ItemCheckpoint[]): void =>
    saved.forEach(({ index, lastEventId }) => {
      const pending = waiting.get(index);
      if (pending !== undefined) pending.lastStoredEventId = lastEventId;
    });

  const commitOnce = async (): Promise<void> => {
    const batch = [...unlisted.entries()].slice(0, MAX_COMMIT_ITEMS);
    const saved = areCheckpointsDue ? getCheckpoints().slice(0, MAX_COMMIT_ITEMS) : [];
    const record = getNextRecord(batch.map(([index]) => index));
    areFailuresNew = false;
    areCheckpointsDue = false;
    if (record === undefined && saved.length === 0) return;
    const commit = await store.update(stored, {
      ...(record === undefined ? {} : { record }),
      results: batch.map(([, result]) => result),
      checkpoints: saved,
    });
    if (commit.ok && commit.value.committed) {
      noteStored(saved);
      if (record === undefined) return;
      const job = { record, revision: commit.value.revision };
      log.info({ job: id, listed: record.listed.length, of: record.tokens.length }, 'job stored');
      board.put(job);
      refresh(job);
      return;
    }
    areFailuresNew = failures.size > 0;
    if (!commit.ok) {
      if (!isStoreAway) {
        log.warn({ job: id, reason: getPlatformErrorText(commit.error) }, 'job not stored yet');
      }
      isStoreAway = true;
      await waitMs(clock, RETRY_MS);
    }
    await reread();
  };

  const commitAll = async (): Promise<void> => {
    if (isCommitting) return;
    isCommitting = true;
    while (!isLost && (unlisted.size > 0 || areFailuresNew || areCheckpointsDue || isHandingOver)) {
      await commitOnce();
    }
    isCommitting = false;
  };

  const startCommit = (): void => {
    commitAll().catch((fault: unknown) => {
      isCommitting = false;
      log.error({ job: id, reason: getErrorMessage(fault) }, 'listing failed');
    });
  };

  return {
    team,
    id,
    getPendingItems: () => (isLost ? [] : [...waiting.values()]),
    getRecord: () => stored.record,
    addResult: (pending, result) => {
      if (isLost) return;
      waiting.delete(pending.index);
      unlisted.set(pending.index, result);
      startCommit();
    },
    countFailure: ({ index }) => {
      const count = (failures.get(index) ?? 0) + 1;
      failures.set(index, count);
      areFailuresNew = true;
      startCommit();
      return count;
    },
    saveCheckpoints: () => {
      if (isLost) return;
      areCheckpointsDue = true;
      startCommit();
    },
    handOver: async () => {
      if (isLost) return;
      isHandingOver = true;
      areCheckpointsDue = true;
      startCommit();
      await waitUntil(clock, () => isLost);
    },
    refresh,
  };
};
