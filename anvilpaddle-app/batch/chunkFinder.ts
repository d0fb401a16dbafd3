/** Searches the open jobs for chunks that a sidecar can claim. */
import {
  CHUNK_STATE,
  chunkSchema,
  getChunkKey,
  getChunkPrefix,
  getJobCounts,
  getJobOrder,
  isJobDone,
  JOB_STATE,
  jobSchema,
  newLeaseWatch,
  type Chunk,
  type Job,
} from '@anvilpaddle/decisions';
import type { Clock, Random } from '@anvilpaddle/common';
import type { Row, TableService } from '@anvilpaddle/platform';
import { newChunkClaims, type ClaimOptions, type ClaimReason } from './chunkClaims';
import type { Claim } from './chunkRowWriter';
import { endJob, readJob } from './jobEnd';
import { scanAll } from './scanAll';
import { TABLE } from './tables';

/** Number of chunks that are read first, from a random position. */
const WINDOW_CHUNKS = 64;
/** Maximum number of claims that one search tries in a job. */
const MAX_CLAIMS_PER_JOB = 4;
/** Maximum number of jobs that one search goes through. */
const MAX_JOBS_PER_SEARCH = 8;
/** Fraction of a lease for which a job without a claimable chunk is skipped. */
const SKIP_LEASE_FRACTION = 0.25;
/** Upper limit of the time for which such a job is skipped. */
const MAX_SKIP_MS = 10_000;

/** Which jobs and chunks a sidecar can work on. */
export interface SearchCriteria extends ClaimOptions {
  readonly group: string;
  /** Revision of this sidecar's configuration; jobs created under a newer one are skipped. */
  readonly revision: number;
  /** Items that all sidecars of the group finish per second. */
  readonly itemsPerSecond: number;
  getWeight(team: string): number;
  /** Whether this sidecar can run some items of a chunk with these models. */
  canRun(models: readonly string[]): boolean;
  /** Whether this sidecar already runs the chunk. */
  isHeld(key: string): boolean;
}

/** Number of claims that a finder tried and of those that conflicted; read by measurements. */
export interface ClaimCounts {
  claims: number;
  conflicts: number;
}

/** Finds and claims chunks of open jobs. */
export interface ChunkFinder {
  /**
   * Searches once and claims a chunk; undefined when there is nothing to do now. Ends jobs whose
   * chunks are all done.
   */
  find(search: SearchCriteria): Promise<Claim | undefined>;
  /** Stops skipping the job, because this sidecar has committed or released one of its chunks. */
  refresh(job: string): void;
  readonly counts: ClaimCounts;
}

interface ClaimableChunk {
  readonly row: Row;
  readonly reason: ClaimReason;
}

/** Creates a finder that starts at a random chunk, so that sidecars rarely claim the same one. */
export const newChunkFinder = (tables: TableService, clock: Clock, random: Random): ChunkFinder => {
  const claims = newChunkClaims(tables, clock);
  const leaseWatch = newLeaseWatch();
  const counts: ClaimCounts = { claims: 0, conflicts: 0 };
  const skippedUntilMs = new Map<string, number>();
  /** Estimated number of unfinished items, by job. */
  let remainingItems = new Map<string, number>();

  const getClaimReason = (
    chunk: Chunk,
    row: Row,
    search: SearchCriteria,
  ): ClaimReason | undefined => {
    if (chunk.state === CHUNK_STATE.done || search.isHeld(row.key)) return undefined;
    if (chunk.state === CHUNK_STATE.ready) return search.canRun(chunk.models) ? 'ready' : undefined;
    if (chunk.owner === search.owner) return 'own';
    const isLapsed = leaseWatch.observe(row.key, row.revision, chunk.leaseMs, clock.monotonic());
    return isLapsed && search.canRun(chunk.models) ? 'lapsed' : undefined;
  };

  const getClaimable = (rows: readonly Row[], search: SearchCriteria): ClaimableChunk[] =>
    rows.flatMap((row) => {
      const reason = getClaimReason(chunkSchema.parse(row.value), row, search);
      return reason === undefined ? [] : [{ row, reason }];
    });

  const completeJob = async (job: Job, chunks: readonly Chunk[]): Promise<void> => {
    const found = await readJob(tables, job.id);
    if (!found.ok || found.value?.job.state !== JOB_STATE.inProgress) return;
    await endJob(tables, found.value.row, {
      state: JOB_STATE.completed,
      counts: getJobCounts(job, chunks),
      finishedAt: clock.wall(),
    });
  };

  /** Claimable chunks of a window at a random position, or of the whole job if there are none. */
  const findClaimable = async (job: Job, search: SearchCriteria): Promise<ClaimableChunk[]> => {
    if (job.chunks > WINDOW_CHUNKS) {
      const after = getChunkKey(job.id, Math.floor(random() * (job.chunks - WINDOW_CHUNKS)));
      const range = { prefix: getChunkPrefix(job.id), after, limit: WINDOW_CHUNKS };
      const page = await tables.scan(TABLE.chunks, range);
      if (!page.ok) return [];
      const done = page.value.filter((row) => (row.value as Chunk).state === CHUNK_STATE.done);
      const undoneFraction = 1 - done.length / Math.max(1, page.value.length);
      remainingItems.set(job.id, job.items * undoneFraction);
      const claimable = getClaimable(page.value, search);
      if (claimable.length > 0) return claimable;
    }
    const rows = await scanAll(tables, TABLE.chunks, getChunkPrefix(job.id));
    if (!rows.ok) return [];
    const chunks = rows.value.map(({ value }) => chunkSchema.parse(value));
    const progress = getJobCounts(job, chunks);
    remainingItems.set(job.id, job.items - progress.completed - progress.failed);
    if (isJobDone(job, chunks)) {
      await completeJob(job, chunks);
      return [];
    }
    return getClaimable(rows.value, search);
  };

  const claimOne = async (
    job: Job,
    claimable: readonly ClaimableChunk[],
    search: SearchCriteria,
  ): Promise<Claim | undefined> => {
    const candidates = [...claimable];
    for (let attempts = 0; attempts < MAX_CLAIMS_PER_JOB && candidates.length > 0; attempts += 1) {
      const [found] = candidates.splice(Math.floor(random() * candidates.length), 1);
      if (found === undefined) return undefined;
      counts.claims += 1;
      const outcome = await claims.claim(job.id, found.row, found.reason, search);
      if (outcome.kind === 'claimed') return outcome.claim;
      if (outcome.kind === 'job_ended' || outcome.kind === 'unavailable') return undefined;
      if (outcome.kind === 'conflict') counts.conflicts += 1;
    }
    return undefined;
  };

  const getOpenJobs = async (group: string): Promise<Map<string, Job>> => {
    const rows = await scanAll(tables, TABLE.openJobs, `${group}/`);
    if (!rows.ok) return new Map();
    const jobs = rows.value.map(({ value }) => jobSchema.parse(value));
    const open = new Map(jobs.map((job) => [job.id, job]));
    remainingItems = new Map([...remainingItems].filter(([id]) => open.has(id)));
    [...skippedUntilMs.keys()]
      .filter((id) => !open.has(id))
      .forEach((id) => skippedUntilMs.delete(id));
    return open;
  };

  return {
    counts,
    refresh: (job) => {
      skippedUntilMs.delete(job);
    },
    find: async (search) => {
      const jobs = await getOpenJobs(search.group);
      const eligible = [...jobs.values()].filter((job) => job.revision <= search.revision);
      const open = eligible.map((job) => ({
        id: job.id,
        team: job.team,
        weight: search.getWeight(job.team),
        dueAt: job.dueAt,
        remaining: remainingItems.get(job.id) ?? job.items,
      }));
      const order = getJobOrder(open, search.itemsPerSecond, clock.wall(), random);
      const skipMs = Math.min(MAX_SKIP_MS, search.leaseMs * SKIP_LEASE_FRACTION);
      const isSkipped = (id: string): boolean => (skippedUntilMs.get(id) ?? 0) > clock.monotonic();
      for (const { id } of order
        .filter((job) => !isSkipped(job.id))
        .slice(0, MAX_JOBS_PER_SEARCH)) {
        const job = jobs.get(id);
        const claim = job && (await claimOne(job, await findClaimable(job, search), search));
        if (claim !== undefined) return claim;
        skippedUntilMs.set(id, clock.monotonic() + skipMs);
      }
      return undefined;
    },
  };
};
