/** Keeps a copy of a table of the store: by repeated reads, and by watching in between if asked. */
import { MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import {
  getPlatformErrorText,
  type HistoryGone,
  type PlatformError,
  type RecordPage,
  type RecordStore,
  type StoredRecord,
} from '@anvilpaddle/platform';
import { waitMs } from '../process/program';

const RETRY_MS = 150;
const RETRY_JITTER_MS = 150;
const WATCH_WAIT_MS = MS_PER_SECOND;

/** What a watch follows and how. */
export interface WatchOptions {
  readonly table: string;
  /** Whether all partitions belong to it; else only the empty one. */
  readonly hasPartitions: boolean;
  /** Time between whole reads, in milliseconds. */
  readonly readIntervalMs: number;
  /** Whether changes are watched between the whole reads. */
  readonly isWatched: boolean;
}

/** News from the store. */
export interface RecordUpdate {
  readonly records: readonly StoredRecord[];
  /** Whether these are all records, so that others are gone. */
  readonly isSnapshot: boolean;
  /** Monotonic time at which the call was sent that this answers. */
  readonly requestedMs: number;
  readonly revision: number;
  readonly storeMs: number;
  /** Monotonic time at which the store was last regained; undefined when it was never lost. */
  readonly recoveredMs: number | undefined;
}

/** A running watch. */
export interface RecordWatch {
  stop(): void;
}

/** Starts a watch; `onNews` is called in the order of the revisions. */
export const newRecordWatch = (
  store: RecordStore,
  plan: WatchOptions,
  onNews: (news: RecordUpdate) => void,
  clock: Clock,
  log: Logger,
): RecordWatch => {
  let isStopped = false;
  let isLost = false;
  let isWatchFailing = false;
  let regainedMs: number | undefined;
  let revision = 0;

  const noteLoss = (error: PlatformError): void => {
    if (isLost) return;
    isLost = true;
    log.warn({ table: plan.table, revision, reason: getPlatformErrorText(error) }, 'store lost');
  };

  /** A watch that fails is no loss of the store as long as whole reads are answered. */
  const noteFailedWatch = (error: PlatformError | HistoryGone): void => {
    if (isWatchFailing) return;
    isWatchFailing = true;
    const reason = error.kind === 'history_gone' ? error.kind : getPlatformErrorText(error);
    log.info({ table: plan.table, revision, reason }, 'watch failed');
  };

  const noteReturn = (): void => {
    if (!isLost) return;
    isLost = false;
    regainedMs = clock.monotonic();
    log.info({ table: plan.table, revision }, 'store regained');
  };

  const readWhole = async () => {
    if (!plan.hasPartitions) return store.read(plan.table, '');
    const partitions = await store.partitions(plan.table);
    if (!partitions.ok) return partitions;
    const records: StoredRecord[] = [];
    let first: RecordPage | undefined;
    for (const partition of partitions.value) {
      const page = await store.read(plan.table, partition);
      if (!page.ok) return page;
      first ??= page.value;
      records.push(...page.value.records);
    }
    // Partitions read later may be newer; watching on from the first read misses nothing.
    return store.read(plan.table, '').then((page) => {
      if (!page.ok) return page;
      const { revision: at, storeMs } = first ?? page.value;
      return { ok: true as const, value: { records, revision: at, storeMs } };
    });
  };

  /** Whole read; false when it failed. */
  const refresh = async (): Promise<boolean> => {
    const askedMs = clock.monotonic();
    const page = await readWhole();
    if (!page.ok) {
      noteLoss(page.error);
      return false;
    }
    noteReturn();
    if (page.value.revision < revision) return true;
    revision = page.value.revision;
    onNews({ ...page.value, isSnapshot: true, requestedMs: askedMs, recoveredMs: regainedMs });
    return true;
  };

  /** Waits for changes until the next whole read is due; false when the watch failed. */
  const follow = async (untilMs: number): Promise<boolean> => {
    while (!isStopped && clock.monotonic() < untilMs) {
      const askedMs = clock.monotonic();
      const waitForMs = Math.max(1, Math.min(WATCH_WAIT_MS, Math.ceil(untilMs - askedMs)));
      const page = await store.watch(plan.table, revision, waitForMs);
      if (!page.ok) {
        noteFailedWatch(page.error);
        return false;
      }
      isWatchFailing = false;
      if (page.value.revision >= revision) {
        revision = page.value.revision;
        onNews({ ...page.value, isSnapshot: false, requestedMs: askedMs, recoveredMs: regainedMs });
      }
    }
    return true;
  };

  const pause = (): Promise<void> => waitMs(clock, RETRY_MS + Math.random() * RETRY_JITTER_MS);

  const run = async (): Promise<void> => {
    while (!isStopped) {
      const dueMs = clock.monotonic() + plan.readIntervalMs;
      const isRead = await refresh();
      const isFollowed = isRead && plan.isWatched && (await follow(dueMs));
      const isFailed = !isRead || (plan.isWatched && !isFollowed);
      if (isFailed) await pause();
      else if (!plan.isWatched) await waitMs(clock, Math.max(0, dueMs - clock.monotonic()));
    }
  };

  run().catch((fault: unknown) => log.error({ err: fault, table: plan.table }, 'watch ended'));
  return {
    stop: () => {
      isStopped = true;
    },
  };
};
