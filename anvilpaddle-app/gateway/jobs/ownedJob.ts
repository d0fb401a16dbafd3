/** A job that this gateway runs: its items' progress and the listing of their results. */
import { getFaultMessage, type Clock, type Logger } from '@anvilpaddle/common';
import { getPlatformErrorText } from '@anvilpaddle/platform';
import { waitMs } from '../../process/program';
import type { JobBoard } from './jobBoard';
import type { ItemProgress } from './itemRun';
import type { JobStore, StoredJob } from './jobStore';
import type { ItemResult, JobItem, JobRecord } from './types';

const RETRY_MS = 200;

/** An item that has no result yet. */
export interface PendingItem extends ItemProgress {
  readonly index: number;
  readonly item: JobItem;
  /** Monotonic time before which it is not run again. */
  notBeforeMs: number;
  isRunning: boolean;
}

/** A job in this gateway's care. */
export interface OwnedJob {
  readonly team: string;
  readonly id: string;
  /** Items that are neither listed nor about to be. */
  pending(): PendingItem[];
  /** Newest record known. */
  record(): JobRecord;
  /** Lists a result; does nothing when the job is no longer in this gateway's care. */
  settle(pending: PendingItem, result: ItemResult): void;
  /** Counts a failed run and tells how many there were. */
  fail(pending: PendingItem): number;
  /** Takes in a newer record from the store. */
  refresh(job: StoredJob): void;
}

/** What an owned job uses. */
export interface OwnedJobServices {
  readonly store: JobStore;
  readonly board: JobBoard;
  readonly self: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Takes a job into care with its items; `onLost` is called once it belongs to another or is over. */
export const newOwnedJob = (
  first: StoredJob,
  items: readonly JobItem[],
  onLost: () => void,
  { store, board, self, clock, log }: OwnedJobServices,
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
  const waiting = new Map<number, PendingItem>();
  const listed = new Set(first.record.listed);
  items.forEach((item, index) => {
    if (listed.has(index)) return;
    waiting.set(index, {
      index,
      item,
      texts: [],
      lastEventId: undefined,
      notBeforeMs: 0,
      isRunning: false,
    });
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
    if (job.value === undefined) lose('removed');
    else {
      board.put(job.value);
      refresh(job.value);
    }
  };

  const commitOnce = async (): Promise<void> => {
    const batch = [...unlisted.entries()];
    const next: JobRecord = {
      ...stored.record,
      listed: [...stored.record.listed, ...batch.map(([index]) => index)],
      failures: Object.fromEntries(failures),
    };
    areFailuresNew = false;
    const commit = await store.update(
      stored,
      next,
      batch.map(([, result]) => result),
    );
    if (commit.ok && commit.value.committed) {
      const job = { record: next, revision: commit.value.revision };
      log.info({ job: id, listed: next.listed.length, of: next.tokens.length }, 'results listed');
      board.put(job);
      refresh(job);
      return;
    }
    areFailuresNew = true;
    if (!commit.ok) {
      log.warn({ job: id, reason: getPlatformErrorText(commit.error) }, 'results not listed yet');
      await waitMs(clock, RETRY_MS);
    }
    await reread();
  };

  const commitAll = async (): Promise<void> => {
    if (isCommitting) return;
    isCommitting = true;
    while (!isLost && (unlisted.size > 0 || areFailuresNew)) await commitOnce();
    isCommitting = false;
  };

  const startCommit = (): void => {
    commitAll().catch((fault: unknown) => {
      isCommitting = false;
      log.error({ job: id, reason: getFaultMessage(fault) }, 'listing failed');
    });
  };

  return {
    team,
    id,
    pending: () => (isLost ? [] : [...waiting.values()]),
    record: () => stored.record,
    settle: (pending, result) => {
      if (isLost) return;
      waiting.delete(pending.index);
      unlisted.set(pending.index, result);
      startCommit();
    },
    fail: ({ index }) => {
      const count = (failures.get(index) ?? 0) + 1;
      failures.set(index, count);
      areFailuresNew = true;
      startCommit();
      return count;
    },
    refresh,
  };
};
