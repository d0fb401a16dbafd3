/** Follows a table of the store by periodic full reads and optional watches in between. */
import { getCompositeKey, MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import {
  getPlatformErrorMessage,
  type HistoryGone,
  type PlatformError,
  type RecordPage,
  type RecordStore,
  type StoredRecord,
} from '@anvilpaddle/platform';
import { sleep } from '../process/program';

const RETRY_DELAY_MS = 150;
const MAX_RETRY_JITTER_MS = 150;
const DEFAULT_WATCH_TIMEOUT_MS = MS_PER_SECOND;
/**
 * Minimum time between two watch requests. Changes that follow one another closely are answered
 * together; in a large fleet each change would otherwise cost a store call of every gateway.
 */
const MIN_WATCH_INTERVAL_MS = 250;

/** Table that a watch follows, and how it does so. */
export interface WatchOptions {
  readonly table: string;
  /** Whether to follow all partitions of the table; otherwise only the one with the empty name. */
  readonly hasPartitions: boolean;
  /** Time between full reads, in milliseconds. */
  readonly readIntervalMs: number;
  /** Whether changes are watched between the full reads. */
  readonly isWatched: boolean;
  /** Time after which a watch without a change is answered, in milliseconds; a second by default. */
  readonly watchTimeoutMs?: number;
  /** Called for each read or watch that has failed. */
  readonly onFailure?: (call: FailedCall) => void;
}

/** A read or watch that has failed. */
export interface FailedCall {
  /** Monotonic time at which the request to the store was sent. */
  readonly requestedMs: number;
  /** Wall time at which the request to the store was sent. */
  readonly requestedWallMs: number;
}

/** Records that the store returned to one read or watch. */
export interface RecordUpdate {
  readonly records: readonly StoredRecord[];
  /** Whether these are all records of the table, so that any other record has been removed. */
  readonly isSnapshot: boolean;
  /** Monotonic time at which the request to the store was sent. */
  readonly requestedMs: number;
  readonly revision: number;
  readonly storeMs: number;
  /** Monotonic time at which the store last became reachable again; undefined if it always was. */
  readonly recoveredMs: number | undefined;
}

/** A running watch. */
export interface RecordWatch {
  stop(): void;
}

/** Starts a watch; `onUpdate` is called in the order of the revisions. */
export const newRecordWatch = (
  store: RecordStore,
  options: WatchOptions,
  onUpdate: (update: RecordUpdate) => void,
  clock: Clock,
  log: Logger,
): RecordWatch => {
  let isStopped = false;
  let isStoreUnreachable = false;
  let isWatchFailing = false;
  let recoveredMs: number | undefined;
  /** Revision of the last response. */
  let revision = 0;
  /**
   * Revision of the response before, from which watches start: the last one may be newer than a change
   * that the store was still committing, and which a watch from there would never return.
   */
  let settledRevision = 0;
  /** Revisions of the records that were passed on, by partition and key. */
  let passedRevisions = new Map<string, number>();

  const getRecordKey = ({ partition, key }: StoredRecord): string =>
    getCompositeKey(partition, key);

  const advance = (nextRevision: number): void => {
    // There is no response before the first one.
    settledRevision = revision === 0 ? nextRevision : revision;
    revision = nextRevision;
  };

  /** Records of a watch that have not been passed on yet. */
  const takeNew = (records: readonly StoredRecord[]): StoredRecord[] => {
    const added = records.filter(
      (record) => record.revision > (passedRevisions.get(getRecordKey(record)) ?? 0),
    );
    added.forEach((record) => passedRevisions.set(getRecordKey(record), record.revision));
    return added;
  };

  const reportUnreachable = (error: PlatformError): void => {
    if (isStoreUnreachable) return;
    isStoreUnreachable = true;
    log.warn(
      { table: options.table, revision, reason: getPlatformErrorMessage(error) },
      'store lost',
    );
  };

  /** A failed watch does not mean that the store is unreachable while full reads succeed. */
  const reportFailedWatch = (error: PlatformError | HistoryGone): void => {
    if (isWatchFailing) return;
    isWatchFailing = true;
    const reason = error.kind === 'history_gone' ? error.kind : getPlatformErrorMessage(error);
    log.info({ table: options.table, revision, reason }, 'watch failed');
  };

  const reportReachable = (): void => {
    if (!isStoreUnreachable) return;
    isStoreUnreachable = false;
    recoveredMs = clock.monotonic();
    log.info({ table: options.table, revision }, 'store regained');
  };

  const readSnapshot = async () => {
    if (!options.hasPartitions) return store.read(options.table, '');
    const partitions = await store.partitions(options.table);
    if (!partitions.ok) return partitions;
    const records: StoredRecord[] = [];
    let first: RecordPage | undefined;
    for (const partition of partitions.value) {
      const page = await store.read(options.table, partition);
      if (!page.ok) return page;
      first ??= page.value;
      records.push(...page.value.records);
    }
    // Partitions read later may be newer; watching from the first read's revision misses no change.
    // Without any partition, the read of the empty name gives the revision.
    return store.read(options.table, '').then((page) => {
      if (!page.ok) return page;
      const { revision: firstRevision, storeMs } = first ?? page.value;
      return { ok: true as const, value: { records, revision: firstRevision, storeMs } };
    });
  };

  /** Reads the whole table; false when that failed. */
  const refreshSnapshot = async (): Promise<boolean> => {
    const requestedMs = clock.monotonic();
    const requestedWallMs = clock.wall();
    const page = await readSnapshot();
    if (!page.ok) {
      options.onFailure?.({ requestedMs, requestedWallMs });
      reportUnreachable(page.error);
      return false;
    }
    reportReachable();
    if (page.value.revision < revision) return true;
    advance(page.value.revision);
    passedRevisions = new Map(
      page.value.records.map((record) => [getRecordKey(record), record.revision]),
    );
    onUpdate({ ...page.value, isSnapshot: true, requestedMs, recoveredMs });
    return true;
  };

  /** Watches for changes until the next full read is due; false when the watch failed. */
  const watchUntil = async (deadlineMs: number): Promise<boolean> => {
    while (!isStopped && clock.monotonic() < deadlineMs) {
      const requestedMs = clock.monotonic();
      const requestedWallMs = clock.wall();
      const timeoutMs = Math.max(
        1,
        Math.min(
          options.watchTimeoutMs ?? DEFAULT_WATCH_TIMEOUT_MS,
          Math.ceil(deadlineMs - requestedMs),
        ),
      );
      const page = await store.watch(options.table, settledRevision, timeoutMs);
      if (!page.ok) {
        options.onFailure?.({ requestedMs, requestedWallMs });
        reportFailedWatch(page.error);
        return false;
      }
      isWatchFailing = false;
      if (page.value.revision >= revision) {
        advance(page.value.revision);
        const records = takeNew(page.value.records);
        onUpdate({ ...page.value, records, isSnapshot: false, requestedMs, recoveredMs });
      }
      const nextMs = Math.min(requestedMs + MIN_WATCH_INTERVAL_MS, deadlineMs);
      const restMs = nextMs - clock.monotonic();
      if (restMs > 0) await sleep(clock, restMs);
    }
    return true;
  };

  const waitBeforeRetry = (): Promise<void> =>
    sleep(clock, RETRY_DELAY_MS + Math.random() * MAX_RETRY_JITTER_MS);

  const run = async (): Promise<void> => {
    while (!isStopped) {
      const dueMs = clock.monotonic() + options.readIntervalMs;
      const hasRead = await refreshSnapshot();
      const hasWatched = hasRead && options.isWatched && (await watchUntil(dueMs));
      const hasFailed = !hasRead || (options.isWatched && !hasWatched);
      if (hasFailed) await waitBeforeRetry();
      else if (!options.isWatched) await sleep(clock, Math.max(0, dueMs - clock.monotonic()));
    }
  };

  run().catch((error: unknown) => log.error({ err: error, table: options.table }, 'watch ended'));
  return {
    stop: () => {
      isStopped = true;
    },
  };
};
