import {
  CHUNK_STATE,
  chunkSchema,
  fileSchema,
  getChunkKey,
  getPartKey,
  JOB_STATE,
  jobSchema,
  type Chunk,
  type File,
  type Job,
} from '@anvilpaddle/decisions';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { ObjectStore, PlatformError, Row, TableService } from '@anvilpaddle/platform';

export const JOBS_TABLE = 'jobs';
export const CHUNKS_TABLE = 'chunks';
export const FILES_TABLE = 'files';
const SCAN_LIMIT = 1000;
const ROWS_PER_COMMIT = 200;

/** Why a job could not be changed. */
export type JobError =
  { readonly kind: 'platform'; readonly error: PlatformError } | { readonly kind: 'conflict' };

/** Counts of one job, from its chunks. */
export interface JobCounts {
  readonly total: number;
  readonly completed: number;
  readonly failed: number;
}

/** Keeps files and jobs in the platform's services; used by entries. */
export interface JobController {
  putPart(file: string, index: number, body: Buffer): Promise<Result<void, PlatformError>>;
  createFile(file: File): Promise<Result<void, JobError>>;
  getFile(id: string): Promise<Result<File | undefined, PlatformError>>;
  removeFile(file: File): Promise<Result<void, PlatformError>>;
  /** Writes the job and its chunks; it is durable when this resolves. */
  createJob(job: Job, file: File): Promise<Result<Job, JobError>>;
  getJob(id: string): Promise<Result<Job | undefined, PlatformError>>;
  listJobs(team: string): Promise<Result<readonly Job[], PlatformError>>;
  cancelJob(id: string): Promise<Result<Job | undefined, JobError>>;
  getCounts(job: Job): Promise<Result<JobCounts, PlatformError>>;
  /** Chunks of a job in order, a page at a time. */
  listChunks(job: string): Promise<Result<readonly Chunk[], PlatformError>>;
  getPartKey(file: string, index: number): string;
  readObject(key: string): Promise<Result<Buffer | undefined, PlatformError>>;
}

const newPlatformFailure = (error: PlatformError) =>
  newFailure({ kind: 'platform', error } as const);

/** Controller on the platform's table service and object store. */
export const newJobController = (tables: TableService, objects: ObjectStore): JobController => {
  const scanAll = async (
    table: string,
    prefix: string,
  ): Promise<Result<readonly Row[], PlatformError>> => {
    const rows: Row[] = [];
    for (;;) {
      const page = await tables.scan(table, { prefix, after: rows.at(-1)?.key, limit: SCAN_LIMIT });
      if (!page.ok) return page;
      rows.push(...page.value);
      if (page.value.length < SCAN_LIMIT) return newOk(rows);
    }
  };

  const readJob = async (id: string): Promise<Result<[Row, Job] | undefined, PlatformError>> => {
    const row = await tables.get(JOBS_TABLE, id);
    if (!row.ok) return row;
    return newOk(row.value && [row.value, jobSchema.parse(row.value.value)]);
  };

  const listChunks = async (job: string): Promise<Result<readonly Chunk[], PlatformError>> => {
    const rows = await scanAll(CHUNKS_TABLE, `${job}/`);
    return rows.ok ? newOk(rows.value.map((row) => chunkSchema.parse(row.value))) : rows;
  };

  const getChunks = (job: Job, file: File): Chunk[] =>
    file.parts.map((items, index) => ({
      job: job.id,
      index,
      state: CHUNK_STATE.ready,
      epoch: 0,
      items,
      input: getPartKey(file.id, index),
      failed: 0,
    }));

  const writeChunks = async (chunks: readonly Chunk[]): Promise<Result<void, JobError>> => {
    for (let start = 0; start < chunks.length; start += ROWS_PER_COMMIT) {
      const commit = await tables.transact({
        checks: [],
        writes: chunks.slice(start, start + ROWS_PER_COMMIT).map((chunk) => ({
          table: CHUNKS_TABLE,
          key: getChunkKey(chunk.job, chunk.index),
          value: chunk,
        })),
      });
      if (!commit.ok) return newPlatformFailure(commit.error);
    }
    return newOk(undefined);
  };

  const putNew = async (
    table: string,
    key: string,
    value: unknown,
  ): Promise<Result<void, JobError>> => {
    const commit = await tables.transact({
      checks: [{ table, key, revision: 0 }],
      writes: [{ table, key, value }],
    });
    if (!commit.ok) return newPlatformFailure(commit.error);
    return commit.value.committed ? newOk(undefined) : newFailure({ kind: 'conflict' });
  };

  return {
    putPart: (file, index, body) => objects.put(getPartKey(file, index), body),
    createFile: (file) => putNew(FILES_TABLE, file.id, file),
    getFile: async (id) => {
      const row = await tables.get(FILES_TABLE, id);
      return row.ok ? newOk(row.value && fileSchema.parse(row.value.value)) : row;
    },
    removeFile: async (file) => {
      const commit = await tables.transact({
        checks: [],
        writes: [{ table: FILES_TABLE, key: file.id, value: null }],
      });
      if (!commit.ok) return commit;
      await Promise.all(file.parts.map((_, index) => objects.remove(getPartKey(file.id, index))));
      return newOk(undefined);
    },
    createJob: async (job, file) => {
      // Sidecars look only at jobs in progress, so the job's row comes last.
      const written = await writeChunks(getChunks(job, file));
      if (!written.ok) return written;
      const created = await putNew(JOBS_TABLE, job.id, job);
      return created.ok ? newOk(job) : created;
    },
    getJob: async (id) => {
      const found = await readJob(id);
      return found.ok ? newOk(found.value?.[1]) : found;
    },
    listJobs: async (team) => {
      const rows = await scanAll(JOBS_TABLE, '');
      if (!rows.ok) return rows;
      return newOk(
        rows.value.map((row) => jobSchema.parse(row.value)).filter((job) => job.team === team),
      );
    },
    cancelJob: async (id) => {
      const found = await readJob(id);
      if (!found.ok) return newPlatformFailure(found.error);
      if (found.value === undefined) return newOk(undefined);
      const [row, job] = found.value;
      if (job.state !== JOB_STATE.inProgress) return newOk(job);
      const cancelled: Job = { ...job, state: JOB_STATE.cancelled };
      const commit = await tables.transact({
        checks: [{ table: JOBS_TABLE, key: id, revision: row.revision }],
        writes: [{ table: JOBS_TABLE, key: id, value: cancelled }],
      });
      if (!commit.ok) return newPlatformFailure(commit.error);
      return commit.value.committed ? newOk(cancelled) : newFailure({ kind: 'conflict' });
    },
    getCounts: async (job) => {
      const chunks = await listChunks(job.id);
      if (!chunks.ok) return chunks;
      const done = chunks.value.filter((chunk) => chunk.state === CHUNK_STATE.done);
      const failed = done.reduce((sum, chunk) => sum + chunk.failed, 0);
      const finished = done.reduce((sum, chunk) => sum + chunk.items, 0);
      return newOk({ total: job.items, completed: finished - failed, failed });
    },
    listChunks,
    getPartKey,
    readObject: (key) => objects.get(key),
  };
};
