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

const WINDOW_ROWS = 64;
const CLAIMS_PER_JOB = 4;
/** Jobs that one look goes through. */
const JOBS_PER_LOOK = 8;
/** Part of a lease for which a job without a free chunk is passed over. */
const DRY_LEASES = 0.25;
const MAX_DRY_MS = 10_000;

/** What a sidecar looks for. */
export interface SearchCriteria extends ClaimOptions {
  readonly group: string;
  /** Revision of the configuration in force here; jobs of a newer one wait. */
  readonly revision: number;
  readonly itemsPerSecond: number;
  getWeight(team: string): number;
  /** Whether this sidecar can run a part of a chunk that names these models. */
  canRun(models: readonly string[]): boolean;
  /** Whether this process works on the chunk already. */
  isHeld(key: string): boolean;
}

/** Counts of a finder's claims, for measurements. */
export interface ClaimCounts {
  claims: number;
  conflicts: number;
}

/** Finds and claims chunks of open jobs. */
export interface ChunkFinder {
  /** One look; undefined when there is nothing to do now. Ends jobs whose chunks are all done. */
  find(wanted: SearchCriteria): Promise<Claim | undefined>;
  /** A chunk of the job was committed or given back here: the next look is not put off. */
  refresh(job: string): void;
  readonly counts: ClaimCounts;
}

interface Found {
  readonly row: Row;
  readonly vacancy: ClaimReason;
}

/** Finder that starts its look at a random chunk, so that sidecars seldom race for the same one. */
export const newChunkFinder = (tables: TableService, clock: Clock, random: Random): ChunkFinder => {
  const claims = newChunkClaims(tables, clock);
  const watch = newLeaseWatch();
  const counts: ClaimCounts = { claims: 0, conflicts: 0 };
  const dryUntilMs = new Map<string, number>();
  let remaining = new Map<string, number>();

  const getVacancy = (chunk: Chunk, row: Row, wanted: SearchCriteria): ClaimReason | undefined => {
    if (chunk.state === CHUNK_STATE.done || wanted.isHeld(row.key)) return undefined;
    if (chunk.state === CHUNK_STATE.ready) return wanted.canRun(chunk.models) ? 'ready' : undefined;
    if (chunk.owner === wanted.owner) return 'own';
    const isLapsed = watch.observe(row.key, row.revision, chunk.leaseMs, clock.monotonic());
    return isLapsed && wanted.canRun(chunk.models) ? 'lapsed' : undefined;
  };

  const getVacant = (rows: readonly Row[], wanted: SearchCriteria): Found[] =>
    rows.flatMap((row) => {
      const vacancy = getVacancy(chunkSchema.parse(row.value), row, wanted);
      return vacancy === undefined ? [] : [{ row, vacancy }];
    });

  const finish = async (job: Job, chunks: readonly Chunk[]): Promise<void> => {
    const found = await readJob(tables, job.id);
    if (!found.ok || found.value?.job.state !== JOB_STATE.inProgress) return;
    await endJob(tables, found.value.row, {
      state: JOB_STATE.completed,
      counts: getJobCounts(job, chunks),
      finishedAt: clock.wall(),
    });
  };

  /** Vacant chunks: of a window at a random place, and of the whole job when it has none. */
  const look = async (job: Job, wanted: SearchCriteria): Promise<Found[]> => {
    if (job.chunks > WINDOW_ROWS) {
      const after = getChunkKey(job.id, Math.floor(random() * (job.chunks - WINDOW_ROWS)));
      const range = { prefix: getChunkPrefix(job.id), after, limit: WINDOW_ROWS };
      const page = await tables.scan(TABLE.chunks, range);
      if (!page.ok) return [];
      const done = page.value.filter((row) => (row.value as Chunk).state === CHUNK_STATE.done);
      const share = 1 - done.length / Math.max(1, page.value.length);
      remaining.set(job.id, job.items * share);
      const vacant = getVacant(page.value, wanted);
      if (vacant.length > 0) return vacant;
    }
    const rows = await scanAll(tables, TABLE.chunks, getChunkPrefix(job.id));
    if (!rows.ok) return [];
    const chunks = rows.value.map(({ value }) => chunkSchema.parse(value));
    const progress = getJobCounts(job, chunks);
    remaining.set(job.id, job.items - progress.completed - progress.failed);
    if (isJobDone(job, chunks)) {
      await finish(job, chunks);
      return [];
    }
    return getVacant(rows.value, wanted);
  };

  const claimOne = async (
    job: Job,
    vacant: readonly Found[],
    wanted: SearchCriteria,
  ): Promise<Claim | undefined> => {
    const left = [...vacant];
    for (let tries = 0; tries < CLAIMS_PER_JOB && left.length > 0; tries += 1) {
      const [found] = left.splice(Math.floor(random() * left.length), 1);
      if (found === undefined) return undefined;
      counts.claims += 1;
      const outcome = await claims.claim(job.id, found.row, found.vacancy, wanted);
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
    remaining = new Map([...remaining].filter(([id]) => open.has(id)));
    [...dryUntilMs.keys()].filter((id) => !open.has(id)).forEach((id) => dryUntilMs.delete(id));
    return open;
  };

  return {
    counts,
    refresh: (job) => {
      dryUntilMs.delete(job);
    },
    find: async (wanted) => {
      const jobs = await getOpenJobs(wanted.group);
      const known = [...jobs.values()].filter((job) => job.revision <= wanted.revision);
      const open = known.map((job) => ({
        id: job.id,
        team: job.team,
        weight: wanted.getWeight(job.team),
        dueAt: job.dueAt,
        remaining: remaining.get(job.id) ?? job.items,
      }));
      const order = getJobOrder(open, wanted.itemsPerSecond, clock.wall(), random);
      const dryMs = Math.min(MAX_DRY_MS, wanted.leaseMs * DRY_LEASES);
      const isDry = (id: string): boolean => (dryUntilMs.get(id) ?? 0) > clock.monotonic();
      for (const { id } of order.filter((job) => !isDry(job.id)).slice(0, JOBS_PER_LOOK)) {
        const job = jobs.get(id);
        const claim = job && (await claimOne(job, await look(job, wanted), wanted));
        if (claim !== undefined) return claim;
        dryUntilMs.set(id, clock.monotonic() + dryMs);
      }
      return undefined;
    },
  };
};
