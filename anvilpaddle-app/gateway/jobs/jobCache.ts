/** Copy of all jobs in the store, kept by watching their table. */
import { getErrorMessage, type Clock, type Logger } from '@anvilpaddle/common';
import type { RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch } from '../recordWatch';
import { JOB_TABLE, parseStoredJob, type StoredJob } from './jobRecords';

/** Time between whole reads; what changes in between is watched. */
const READ_EVERY_MS = 5000;

/** Age of the news up to which they count as current; a watch is answered each second. */
const CURRENT_MS = 2500;

/** Jobs as this gateway last saw them. */
export interface JobCache {
  get(team: string, id: string): StoredJob | undefined;
  getAll(): StoredJob[];
  /** Takes in a change that this gateway made or read itself. */
  put(job: StoredJob): void;
  /** Resolves once a job has changed, or after a time in milliseconds. */
  waitForChange(team: string, id: string, timeoutMs: number): Promise<void>;
  /** Whether the store told of the jobs of late. */
  isCurrent(): boolean;
  /** The store's clock now, in milliseconds; undefined before its first answer. */
  getStoreMs(): number | undefined;
}

/** Whether a job has items that wait for a result. */
export const isUnfinished = ({ record }: StoredJob): boolean =>
  !record.isEnded && record.listed.length < record.tokens.length;

/** Starts following the jobs; `onChange` is called for each newer record. */
export const newJobCache = (
  store: RecordStore,
  onChange: (job: StoredJob) => void,
  clock: Clock,
  log: Logger,
): JobCache => {
  const jobs = new Map<string, StoredJob>();
  const waiters = new Map<string, Set<() => void>>();
  let storeOffsetMs: number | undefined;
  let lastNewsMs = -Infinity;

  const getName = (team: string, id: string): string => `${team}\n${id}`;

  const put = (job: StoredJob): void => {
    const name = getName(job.record.team, job.record.id);
    const known = jobs.get(name);
    if (known !== undefined && known.revision >= job.revision) return;
    jobs.set(name, job);
    onChange(job);
    waiters.get(name)?.forEach((wake) => wake());
  };

  const take = (record: StoredRecord): void => {
    if (record.value === undefined) {
      jobs.delete(getName(record.partition, record.key));
      return;
    }
    try {
      const job = parseStoredJob(record);
      if (job !== undefined) put(job);
    } catch (fault) {
      log.error({ key: record.key, reason: getErrorMessage(fault) }, 'unreadable job');
    }
  };

  newRecordWatch(
    store,
    { table: JOB_TABLE, hasPartitions: true, readIntervalMs: READ_EVERY_MS, isWatched: true },
    ({ records, storeMs, requestedMs: askedMs }) => {
      storeOffsetMs = storeMs - clock.monotonic();
      lastNewsMs = askedMs;
      records.forEach(take);
    },
    clock,
    log,
  );

  return {
    get: (team, id) => jobs.get(getName(team, id)),
    getAll: () => [...jobs.values()],
    put,
    waitForChange: (team, id, timeoutMs) =>
      new Promise((resolve) => {
        const name = getName(team, id);
        const wakers = waiters.get(name) ?? new Set();
        waiters.set(name, wakers);
        const wake = (): void => {
          wakers.delete(wake);
          if (wakers.size === 0) waiters.delete(name);
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before it fires
          timer.cancel();
          resolve();
        };
        const timer = clock.after(timeoutMs, wake);
        wakers.add(wake);
      }),
    isCurrent: () => clock.monotonic() - lastNewsMs < CURRENT_MS,
    getStoreMs: () => (storeOffsetMs === undefined ? undefined : clock.monotonic() + storeOffsetMs),
  };
};
