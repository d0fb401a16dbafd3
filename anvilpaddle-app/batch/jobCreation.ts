import { CHUNK_STATE, getPartKey, type Chunk, type File, type Job } from '@anvilpaddle/decisions';
import { getSecretHash, newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import type {
  TransactionOutcome,
  PlatformError,
  TableService,
  Transaction,
} from '@anvilpaddle/platform';
import { readJob } from './jobEnd';
import { retryCall, settleCommit, type Probe } from './settledCommit';
import { getFileJobKey, getKeyOfChunk, getOpenJobKey, getTeamJobKey, TABLE } from './tables';

const ROWS_PER_COMMIT = 200;
const MAX_TRIES = 5;

/** A caller's idempotency key with a hash of the body that came with it. */
export interface JobKey {
  readonly key: string;
  readonly bodyHash: string;
}

/** Why a job was not created. */
export type CreationError =
  | { readonly kind: 'platform'; readonly error: PlatformError }
  | { readonly kind: 'conflict'; readonly detail: string };

type CreateJob = (job: Job, file: File, key?: JobKey) => Promise<Result<Job, CreationError>>;

interface KeyRow {
  readonly job: string;
  readonly bodyHash: string;
}

const getKeyOfJobKey = (team: string, key: string): string => `${team}/${getSecretHash(key)}`;

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
    items,
    from: 0,
    input: getPartKey(file.id, index),
    models: [...(file.models[index] ?? [])],
    started: [],
    failed: 0,
  }));

/** Creates jobs: the chunks first, then in one transaction all that makes the job visible. */
export const newJobCreation = (tables: TableService, clock: Clock): CreateJob => {
  const settle = (
    transaction: Transaction,
    probe: Probe,
  ): Promise<Result<TransactionOutcome, PlatformError>> =>
    retryCall(() => settleCommit(tables, transaction, probe), clock, MAX_TRIES);

  const findByKey = async (
    team: string,
    key: JobKey,
  ): Promise<Result<Job | undefined, CreationError>> => {
    const id = getKeyOfJobKey(team, key.key);
    const row = await retryCall(() => tables.get(TABLE.jobKeys, id), clock, MAX_TRIES);
    if (!row.ok) return newPlatformFailure(row.error);
    if (row.value === undefined) return newOk(undefined);
    const known = row.value.value as KeyRow;
    if (known.bodyHash !== key.bodyHash) {
      const detail = 'the idempotency key was used with another body';
      return newFailure({ kind: 'conflict', detail });
    }
    const found = await retryCall(() => readJob(tables, known.job), clock, MAX_TRIES);
    return found.ok ? newOk(found.value?.job) : newPlatformFailure(found.error);
  };

  const writeChunks = async (chunks: readonly Chunk[]): Promise<Result<void, PlatformError>> => {
    for (let start = 0; start < chunks.length; start += ROWS_PER_COMMIT) {
      const rows = chunks.slice(start, start + ROWS_PER_COMMIT).map((chunk) => ({
        table: TABLE.chunks,
        key: getKeyOfChunk(chunk),
        value: chunk,
      }));
      const commit = await settle(
        {
          // A late copy must not set back a chunk that a sidecar has claimed since.
          checks: rows.map(({ table, key }) => ({ table, key, revision: 0 })),
          writes: rows,
        },
        { table: TABLE.chunks, key: rows[0]?.key ?? '', isMine: (row) => row !== undefined },
      );
      if (!commit.ok) return commit;
    }
    return newOk(undefined);
  };

  /** Best effort; chunks without a job are never looked at. */
  const dropChunks = async (chunks: readonly Chunk[]): Promise<void> => {
    for (let start = 0; start < chunks.length; start += ROWS_PER_COMMIT) {
      const keys = chunks.slice(start, start + ROWS_PER_COMMIT).map(getKeyOfChunk);
      const writes = keys.map((key) => ({ table: TABLE.chunks, key, value: null }));
      await tables.transact({ checks: [], writes });
    }
  };

  const publish = async (
    job: Job,
    file: File,
    key: JobKey | undefined,
  ): Promise<Result<boolean, CreationError>> => {
    const fileRow = await retryCall(() => tables.get(TABLE.files, file.id), clock, MAX_TRIES);
    if (!fileRow.ok) return newPlatformFailure(fileRow.error);
    if (fileRow.value === undefined) {
      return newFailure({ kind: 'conflict', detail: 'the file was deleted at the same time' });
    }
    const keyId = key && getKeyOfJobKey(job.team, key.key);
    const keyRow: KeyRow | undefined = key && { job: job.id, bodyHash: key.bodyHash };
    const commit = await settle(
      {
        checks: [
          { table: TABLE.jobs, key: job.id, revision: 0 },
          { table: TABLE.files, key: file.id, revision: fileRow.value.revision },
          ...(keyId === undefined ? [] : [{ table: TABLE.jobKeys, key: keyId, revision: 0 }]),
        ],
        writes: [
          { table: TABLE.jobs, key: job.id, value: job },
          { table: TABLE.openJobs, key: getOpenJobKey(job), value: job },
          { table: TABLE.teamJobs, key: getTeamJobKey(job), value: { job: job.id } },
          { table: TABLE.fileJobs, key: getFileJobKey(job), value: { job: job.id } },
          // The same value under a new revision: a deletion of the file then fails its check.
          { table: TABLE.files, key: file.id, value: fileRow.value.value },
          ...(keyId === undefined ? [] : [{ table: TABLE.jobKeys, key: keyId, value: keyRow }]),
        ],
      },
      { table: TABLE.jobs, key: job.id, isMine: (row) => row !== undefined },
    );
    if (!commit.ok) return newPlatformFailure(commit.error);
    return newOk(commit.value.committed);
  };

  return async (job, file, key) => {
    const known = key && (await findByKey(job.team, key));
    if (known !== undefined && (!known.ok || known.value !== undefined)) {
      return known as Result<Job, CreationError>;
    }
    const chunks = getChunks(job, file);
    const written = await writeChunks(chunks);
    if (!written.ok) return newPlatformFailure(written.error);
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const published = await publish(job, file, key);
      // After an unknown outcome the chunks stay: the job may exist.
      if (!published.ok) return published;
      if (published.value) return newOk(job);
      const other = key && (await findByKey(job.team, key));
      if (other !== undefined && (!other.ok || other.value !== undefined)) {
        await dropChunks(chunks);
        return other as Result<Job, CreationError>;
      }
      // Another job on the same file came first; its revision is read again.
    }
    return newFailure({ kind: 'conflict', detail: 'the file is in use by many at once' });
  };
};
