/** Creates batch jobs in the table service. */
import { CHUNK_STATE, getPartKey, type Chunk, type File, type Job } from '@anvilpaddle/decisions';
import { getSecretHash, newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import type {
  TransactionOutcome,
  PlatformError,
  TableService,
  Transaction,
} from '@anvilpaddle/platform';
import { readJob } from './jobEnd';
import { retryCall, commitAndVerify, type CommitProbe } from './verifiedCommit';
import { getFileJobKey, getChunkRowKey, getOpenJobKey, getTeamJobKey, TABLE } from './tables';

const ROWS_PER_COMMIT = 200;
const MAX_ATTEMPTS = 5;

/** A caller's idempotency key with the hash of the request's body. */
export interface IdempotencyKey {
  readonly key: string;
  readonly bodyHash: string;
}

/** Why a job was not created. */
export type CreationError =
  | { readonly kind: 'platform'; readonly error: PlatformError }
  | { readonly kind: 'conflict'; readonly detail: string };

type CreateJob = (
  job: Job,
  file: File,
  key?: IdempotencyKey,
) => Promise<Result<Job, CreationError>>;

interface IdempotencyRow {
  readonly job: string;
  readonly bodyHash: string;
}

const getIdempotencyRowKey = (team: string, key: string): string => `${team}/${getSecretHash(key)}`;

const newPlatformFailure = (error: PlatformError) =>
  newFailure({ kind: 'platform', error } as const);

const getChunks = (job: Job, file: File): Chunk[] =>
  file.parts.map((items, index) => ({
    job: job.id,
    index,
    piece: '',
    state: CHUNK_STATE.ready,
    epoch: 0,
    writes: 0,
    leaseMs: 0,
    lost: 0,
    isRunning: false,
    items,
    from: 0,
    input: getPartKey(file.id, index),
    models: [...(file.models[index] ?? [])],
    started: [],
    failed: 0,
  }));

/**
 * Returns a function that creates a job: first its chunks, then in one transaction all rows that
 * make the job visible. An idempotency key that was used before yields the job of its first use.
 */
export const newJobCreation = (tables: TableService, clock: Clock): CreateJob => {
  const commitWithRetries = (
    transaction: Transaction,
    probe: CommitProbe,
  ): Promise<Result<TransactionOutcome, PlatformError>> =>
    retryCall(() => commitAndVerify(tables, transaction, probe), clock, MAX_ATTEMPTS);

  const findJobByKey = async (
    team: string,
    key: IdempotencyKey,
  ): Promise<Result<Job | undefined, CreationError>> => {
    const id = getIdempotencyRowKey(team, key.key);
    const row = await retryCall(() => tables.get(TABLE.jobKeys, id), clock, MAX_ATTEMPTS);
    if (!row.ok) return newPlatformFailure(row.error);
    if (row.value === undefined) return newOk(undefined);
    const existing = row.value.value as IdempotencyRow;
    if (existing.bodyHash !== key.bodyHash) {
      const detail = 'the idempotency key was used with another body';
      return newFailure({ kind: 'conflict', detail });
    }
    const found = await retryCall(() => readJob(tables, existing.job), clock, MAX_ATTEMPTS);
    return found.ok ? newOk(found.value?.job) : newPlatformFailure(found.error);
  };

  const writeChunks = async (chunks: readonly Chunk[]): Promise<Result<void, PlatformError>> => {
    for (let start = 0; start < chunks.length; start += ROWS_PER_COMMIT) {
      const rows = chunks.slice(start, start + ROWS_PER_COMMIT).map((chunk) => ({
        table: TABLE.chunks,
        key: getChunkRowKey(chunk),
        value: chunk,
      }));
      const commit = await commitWithRetries(
        {
          // A delayed duplicate of this write must not reset a chunk that has been claimed since.
          checks: rows.map(({ table, key }) => ({ table, key, revision: 0 })),
          writes: rows,
        },
        { table: TABLE.chunks, key: rows[0]?.key ?? '', isMine: (row) => row !== undefined },
      );
      if (!commit.ok) return commit;
    }
    return newOk(undefined);
  };

  /** Removes chunks, ignoring errors: chunks without a job are never read. */
  const dropChunks = async (chunks: readonly Chunk[]): Promise<void> => {
    for (let start = 0; start < chunks.length; start += ROWS_PER_COMMIT) {
      const keys = chunks.slice(start, start + ROWS_PER_COMMIT).map(getChunkRowKey);
      const writes = keys.map((key) => ({ table: TABLE.chunks, key, value: null }));
      await tables.transact({ checks: [], writes });
    }
  };

  const publish = async (
    job: Job,
    file: File,
    key: IdempotencyKey | undefined,
  ): Promise<Result<boolean, CreationError>> => {
    const fileRow = await retryCall(() => tables.get(TABLE.files, file.id), clock, MAX_ATTEMPTS);
    if (!fileRow.ok) return newPlatformFailure(fileRow.error);
    if (fileRow.value === undefined) {
      return newFailure({ kind: 'conflict', detail: 'the file was deleted at the same time' });
    }
    const rowKey = key && getIdempotencyRowKey(job.team, key.key);
    const idempotencyRow: IdempotencyRow | undefined = key && {
      job: job.id,
      bodyHash: key.bodyHash,
    };
    const commit = await commitWithRetries(
      {
        checks: [
          { table: TABLE.jobs, key: job.id, revision: 0 },
          { table: TABLE.files, key: file.id, revision: fileRow.value.revision },
          ...(rowKey === undefined ? [] : [{ table: TABLE.jobKeys, key: rowKey, revision: 0 }]),
        ],
        writes: [
          { table: TABLE.jobs, key: job.id, value: job },
          { table: TABLE.openJobs, key: getOpenJobKey(job), value: job },
          { table: TABLE.teamJobs, key: getTeamJobKey(job), value: { job: job.id } },
          { table: TABLE.fileJobs, key: getFileJobKey(job), value: { job: job.id } },
          // Rewrites the value under a new revision, so that a concurrent deletion fails its check.
          { table: TABLE.files, key: file.id, value: fileRow.value.value },
          ...(rowKey === undefined
            ? []
            : [{ table: TABLE.jobKeys, key: rowKey, value: idempotencyRow }]),
        ],
      },
      { table: TABLE.jobs, key: job.id, isMine: (row) => row !== undefined },
    );
    if (!commit.ok) return newPlatformFailure(commit.error);
    return newOk(commit.value.committed);
  };

  return async (job, file, key) => {
    const existing = key && (await findJobByKey(job.team, key));
    if (existing !== undefined && (!existing.ok || existing.value !== undefined)) {
      return existing as Result<Job, CreationError>;
    }
    const chunks = getChunks(job, file);
    const written = await writeChunks(chunks);
    if (!written.ok) return newPlatformFailure(written.error);
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const published = await publish(job, file, key);
      // After an unknown outcome the chunks are kept, because the job may exist.
      if (!published.ok) return published;
      if (published.value) return newOk(job);
      const other = key && (await findJobByKey(job.team, key));
      if (other !== undefined && (!other.ok || other.value !== undefined)) {
        await dropChunks(chunks);
        return other as Result<Job, CreationError>;
      }
      // Another job on the same file was created first: the file's revision is read again.
    }
    return newFailure({ kind: 'conflict', detail: 'the file is in use by many at once' });
  };
};
