/** Caches the records of all jobs in the store, kept up to date by watching their table. */
import { getCompositeKey, type Clock, type Logger } from '@anvilpaddle/common';
import type { RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch } from '../recordWatch';
import { getJobName, JOB_TABLE } from './jobNames';
import { isSubmissionGuard, parseStoredJob, type StoredJob } from './jobRecords';

/** Interval of full reads of the table; changes in between arrive through the watch. */
const FULL_READ_INTERVAL_MS = 5000;

/** Age of the last update up to which the cache counts as current; a watch is answered each second. */
const MAX_CURRENT_AGE_MS = 2500;

/** Jobs as last read from the store or changed by this gateway. */
export interface JobCache {
  get(team: string, id: string): StoredJob | undefined;
  getAll(): StoredJob[];
  /** Adds a record that this gateway committed or read itself, unless a newer one is cached. */
  put(job: StoredJob): void;
  /** Resolves when the job changes, or after the timeout. */
  waitForChange(team: string, id: string, timeoutMs: number): Promise<void>;
  /** Whether the store has answered recently enough for the cached jobs to be current. */
  isCurrent(): boolean;
  /** Estimate of the store's current time in milliseconds; undefined before its first response. */
  getStoreMs(): number | undefined;
}

/** Whether a job has items without a result and has not been ended by its caller. */
export const isUnfinished = ({ record }: StoredJob): boolean =>
  !record.isEnded && record.listed.length < record.tokens.length;

/** Starts watching the jobs; `onChange` is called for each newer record. */
export const newJobCache = (
  store: RecordStore,
  onChange: (job: StoredJob) => void,
  clock: Clock,
  log: Logger,
): JobCache => {
  const jobs = new Map<string, StoredJob>();
  const waiters = new Map<string, Set<() => void>>();
  let storeOffsetMs: number | undefined;
  /** Monotonic time at which the last answered read or watch was requested. */
  let lastUpdateMs = -Infinity;

  const getCacheKey = (team: string, id: string): string => {
    const { partition, key } = getJobName({ team, id });
    return getCompositeKey(partition, key);
  };

  const put = (job: StoredJob): void => {
    const cacheKey = getCacheKey(job.record.team, job.record.id);
    const cached = jobs.get(cacheKey);
    if (cached !== undefined && cached.revision >= job.revision) return;
    jobs.set(cacheKey, job);
    onChange(job);
    waiters.get(cacheKey)?.forEach((wake) => wake());
  };

  const applyRecord = (record: StoredRecord): void => {
    if (record.value === undefined) {
      jobs.delete(getCompositeKey(record.partition, record.key));
      return;
    }
    if (isSubmissionGuard(record)) return;
    const job = parseStoredJob(record);
    if (job !== undefined) put(job);
    else log.warn({ team: record.partition, key: record.key }, 'odd job record left out');
  };

  newRecordWatch(
    store,
    {
      table: JOB_TABLE,
      hasPartitions: true,
      readIntervalMs: FULL_READ_INTERVAL_MS,
      isWatched: true,
    },
    ({ records, storeMs, requestedMs }) => {
      storeOffsetMs = storeMs - clock.monotonic();
      lastUpdateMs = requestedMs;
      records.forEach(applyRecord);
    },
    clock,
    log,
  );

  return {
    get: (team, id) => jobs.get(getCacheKey(team, id)),
    getAll: () => [...jobs.values()],
    put,
    waitForChange: (team, id, timeoutMs) =>
      new Promise((resolve) => {
        const cacheKey = getCacheKey(team, id);
        const jobWaiters = waiters.get(cacheKey) ?? new Set();
        waiters.set(cacheKey, jobWaiters);
        const wake = (): void => {
          jobWaiters.delete(wake);
          if (jobWaiters.size === 0) waiters.delete(cacheKey);
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before it fires
          timer.cancel();
          resolve();
        };
        const timer = clock.after(timeoutMs, wake);
        jobWaiters.add(wake);
      }),
    isCurrent: () => clock.monotonic() - lastUpdateMs < MAX_CURRENT_AGE_MS,
    getStoreMs: () => (storeOffsetMs === undefined ? undefined : clock.monotonic() + storeOffsetMs),
  };
};
