/** Files and batch jobs as entries manage them in the services of the platform. */
import {
  CHUNK_STATE,
  chunkSchema,
  fileSchema,
  getChunkPrefix,
  getJobCounts,
  getPartKey,
  JOB_STATE,
  jobSchema,
  type Chunk,
  type File,
  type Job,
  type JobCounts,
} from '@anvilpaddle/decisions';
import { newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import type { ObjectStore, PlatformError, TableService } from '@anvilpaddle/platform';
import { newJobCreation, type IdempotencyKey } from '../batch/jobCreation';
import { endJob, readJob } from '../batch/jobEnd';
import { scanAll } from '../batch/scanAll';
import { retryCall, commitAndVerify } from '../batch/verifiedCommit';
import { getTeamJobKey, TABLE } from '../batch/tables';

/** Attempts of each call to the platform. */
const MAX_ATTEMPTS = 5;
/** Attempts to cancel a job that other processes change at the same time. */
const MAX_CANCEL_ATTEMPTS = 10;
const MAX_CONCURRENT_REMOVALS = 16;

/** Why a file or job could not be changed. */
export type JobError =
  | { readonly kind: 'platform'; readonly error: PlatformError }
  | { readonly kind: 'conflict'; readonly detail: string };

/** Manages files and batch jobs in the table service and the object store of the platform. */
export interface JobController {
  /** Stores one part of a file. */
  putPart(file: string, index: number, body: Buffer): Promise<Result<void, PlatformError>>;
  /** Removes the parts of an unfinished upload; those that cannot be removed stay unreferenced. */
  dropParts(file: string, count: number): Promise<void>;
  /** Stores the record of a file whose parts are stored. */
  createFile(file: File): Promise<Result<void, JobError>>;
  getFile(id: string): Promise<Result<File | undefined, PlatformError>>;
  /** Deletes a file; refused while an unfinished job reads it. */
  removeFile(file: File): Promise<Result<void, JobError>>;
  /**
   * Writes a job and its chunks, which are durable when this resolves. If a job exists under the
   * idempotency key, returns that job.
   */
  createJob(job: Job, file: File, key?: IdempotencyKey): Promise<Result<Job, JobError>>;
  getJob(id: string): Promise<Result<Job | undefined, PlatformError>>;
  /** Lists jobs of a team, newest first, starting after the job `after`. */
  listJobs(
    team: string,
    after: Job | undefined,
    limit: number,
  ): Promise<Result<readonly Job[], PlatformError>>;
  /** Cancels a job unless it has ended; returns the job in its new state. */
  cancelJob(id: string): Promise<Result<Job | undefined, JobError>>;
  /** Returns how many items of a job there are, and how many have completed or failed. */
  getCounts(job: Job): Promise<Result<JobCounts, PlatformError>>;
  /** Lists the chunks of a job in input order. */
  listChunks(job: string): Promise<Result<readonly Chunk[], PlatformError>>;
  /** Deletes the results of a job that has ended. */
  removeResults(job: Job): Promise<Result<void, JobError>>;
  /** Key of a file's part in the object store. */
  getPartKey(file: string, index: number): string;
  /** Reads an object of the object store. */
  readObject(key: string): Promise<Result<Buffer | undefined, PlatformError>>;
}

const newPlatformFailure = (error: PlatformError) =>
  newFailure({ kind: 'platform', error } as const);
const newConflict = (detail: string) => newFailure({ kind: 'conflict', detail } as const);

/** Creates a controller on the table service and the object store of the platform. */
export const newJobController = (
  tables: TableService,
  objects: ObjectStore,
  clock: Clock,
): JobController => {
  const retry = <T>(call: () => Promise<Result<T, PlatformError>>) =>
    retryCall(call, clock, MAX_ATTEMPTS);

  const listChunks = async (job: string): Promise<Result<readonly Chunk[], PlatformError>> => {
    const rows = await scanAll(tables, TABLE.chunks, getChunkPrefix(job));
    return rows.ok ? newOk(rows.value.map((row) => chunkSchema.parse(row.value))) : rows;
  };

  const getCounts = async (job: Job): Promise<Result<JobCounts, PlatformError>> => {
    if (job.completed !== undefined) {
      return newOk({ total: job.items, completed: job.completed, failed: job.failed ?? 0 });
    }
    const chunks = await listChunks(job.id);
    return chunks.ok ? newOk(getJobCounts(job, chunks.value)) : chunks;
  };

  const removeObjects = async (keys: readonly string[]): Promise<void> => {
    for (let start = 0; start < keys.length; start += MAX_CONCURRENT_REMOVALS) {
      const group = keys.slice(start, start + MAX_CONCURRENT_REMOVALS);
      await Promise.all(group.map((key) => retry(() => objects.remove(key))));
    }
  };

  const getPartKeys = (file: string, count: number): string[] =>
    Array.from({ length: count }, (_, index) => getPartKey(file, index));

  const createFile: JobController['createFile'] = async (file) => {
    const isMine = (row: unknown): boolean => row !== undefined;
    const commit = await retry(() =>
      commitAndVerify(
        tables,
        {
          checks: [{ table: TABLE.files, key: file.id, revision: 0 }],
          writes: [{ table: TABLE.files, key: file.id, value: file }],
        },
        // The id is new, so that any row under it was written by this transaction.
        { table: TABLE.files, key: file.id, isMine },
      ),
    );
    return commit.ok ? newOk(undefined) : newPlatformFailure(commit.error);
  };

  const removeFile: JobController['removeFile'] = async (file) => {
    // The file's row is read first: a job that is created after the scan below changes the revision
    // of this row, so that the commit fails.
    const row = await retry(() => tables.get(TABLE.files, file.id));
    if (!row.ok) return newPlatformFailure(row.error);
    const range = { prefix: `${file.id}/`, limit: 1 };
    const jobsOfFile = await retry(() => tables.scan(TABLE.fileJobs, range));
    if (!jobsOfFile.ok) return newPlatformFailure(jobsOfFile.error);
    if (jobsOfFile.value.length > 0) return newConflict('an unfinished batch reads the file');
    const revision = row.value?.revision ?? 0;
    const commit = await retry(() =>
      commitAndVerify(
        tables,
        {
          checks: [{ table: TABLE.files, key: file.id, revision }],
          writes: [{ table: TABLE.files, key: file.id, value: null }],
        },
        { table: TABLE.files, key: file.id, isMine: (found) => found === undefined },
      ),
    );
    if (!commit.ok) return newPlatformFailure(commit.error);
    if (!commit.value.committed) return newConflict('the file came into use at the same time');
    await removeObjects(getPartKeys(file.id, file.parts.length));
    return newOk(undefined);
  };

  const cancelJob: JobController['cancelJob'] = async (id) => {
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt += 1) {
      const found = await retry(() => readJob(tables, id));
      if (!found.ok) return newPlatformFailure(found.error);
      if (found.value === undefined) return newOk(undefined);
      const { row, job } = found.value;
      if (job.state !== JOB_STATE.inProgress) return newOk(job);
      const end = { state: JOB_STATE.cancelled, finishedAt: clock.wall() };
      const commit = await retry(() => endJob(tables, row, end));
      if (!commit.ok) return newPlatformFailure(commit.error);
      if (commit.value.committed) return newOk({ ...job, ...end });
    }
    return newConflict('the job was changed at the same time');
  };

  const removeResults: JobController['removeResults'] = async (job) => {
    if (job.state === JOB_STATE.inProgress) return newConflict('the batch has not ended');
    const found = await retry(() => readJob(tables, job.id));
    if (!found.ok) return newPlatformFailure(found.error);
    const chunks = await retry(() => listChunks(job.id));
    if (!chunks.ok) return newPlatformFailure(chunks.error);
    const revision = found.value?.row.revision ?? 0;
    const value = { ...found.value?.job, resultsRemoved: true };
    const commit = await retry(() =>
      commitAndVerify(
        tables,
        {
          checks: [{ table: TABLE.jobs, key: job.id, revision }],
          writes: [{ table: TABLE.jobs, key: job.id, value }],
        },
        {
          table: TABLE.jobs,
          key: job.id,
          isMine: (row) => jobSchema.safeParse(row?.value).data?.resultsRemoved === true,
        },
      ),
    );
    if (!commit.ok) return newPlatformFailure(commit.error);
    const keys = chunks.value.flatMap(({ output, errors }) => [output, errors]);
    await removeObjects(keys.filter((key) => key !== undefined));
    return newOk(undefined);
  };

  return {
    putPart: (file, index, body) => retry(() => objects.put(getPartKey(file, index), body)),
    dropParts: (file, count) => removeObjects(getPartKeys(file, count)),
    createFile,
    getFile: async (id) => {
      const row = await retry(() => tables.get(TABLE.files, id));
      return row.ok ? newOk(row.value && fileSchema.parse(row.value.value)) : row;
    },
    removeFile,
    createJob: newJobCreation(tables, clock),
    getJob: async (id) => {
      const found = await retry(() => readJob(tables, id));
      return found.ok ? newOk(found.value?.job) : found;
    },
    listJobs: async (team, after, limit) => {
      const range = { prefix: `${team}/`, after: after && getTeamJobKey(after), limit };
      const rows = await retry(() => tables.scan(TABLE.teamJobs, range));
      if (!rows.ok) return rows;
      const jobs: Job[] = [];
      for (const { value } of rows.value) {
        const found = await retry(() => readJob(tables, (value as { job: string }).job));
        if (!found.ok) return found;
        if (found.value !== undefined) jobs.push(found.value.job);
      }
      return newOk(jobs);
    },
    cancelJob,
    getCounts,
    listChunks,
    removeResults,
    getPartKey,
    readObject: (key) => retry(() => objects.get(key)),
  };
};

/** Returns the chunks whose results are committed. */
export const getDoneChunks = (chunks: readonly Chunk[]): readonly Chunk[] =>
  chunks.filter(({ state }) => state === CHUNK_STATE.done);
