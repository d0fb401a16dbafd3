/** Measurement of how fast many sidecars claim the chunks of one job, by claiming method. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Job } from '@anvilpaddle/decisions';
import { newId, newSeededRandom, type Random } from '@anvilpaddle/common';
import type { Row } from '@anvilpaddle/platform';
import { newChunkClaims } from 'anvilpaddle-app/batch/chunkClaims';
import { newChunkFinder, type SearchCriteria } from 'anvilpaddle-app/batch/chunkFinder';
import { scanAll } from 'anvilpaddle-app/batch/scanAll';
import { TABLE } from 'anvilpaddle-app/batch/tables';
import {
  clock,
  ITEMS_PER_CHUNK,
  newDelayedStore,
  STORE_ROUND_TRIP_MS,
  submitJob,
  type DelayedStore,
} from './kit/batchFixture';
import { printTable } from './kit/table';

const SEEDS = [1, 2, 3, 4, 5];
const CONTENDERS = [4, 16, 64];
const CHUNKS = 96;
const LEASE_MS = 60_000;

/** Cost of claiming all chunks of a job; writes and reads are per chunk. */
interface ClaimingCost {
  readonly elapsedMs: number;
  readonly writes: number;
  readonly reads: number;
}

/** Creates a function that claims one chunk and resolves with false when none is left. */
type ClaimerFactory = (store: DelayedStore, job: Job, random: Random) => () => Promise<boolean>;

const newSearchCriteria = (owner: string): SearchCriteria => ({
  owner,
  leaseMs: LEASE_MS,
  maxAttempts: 3,
  group: 'llm',
  revision: 1,
  itemsPerSecond: 0,
  getWeight: () => 1,
  canRun: () => true,
  isHeld: () => false,
});

/** Method of the product: picks from a random window of chunks and validates on commit. */
const newOptimistic: ClaimerFactory = (store, _job, random) => {
  const finder = newChunkFinder(store.service, clock, random);
  return async () => (await finder.find(newSearchCriteria(newId('inc')))) !== undefined;
};

/** Baseline: every contender tries the first ready chunk and validates on commit. */
const newFirstReady: ClaimerFactory = (store, job) => {
  const claims = newChunkClaims(store.service, clock);
  return async () => {
    for (;;) {
      const rows = await scanAll(store.service, TABLE.chunks, `${job.id}/`);
      const row = rows.ok
        ? rows.value.find(({ value }) => (value as { state: string }).state === 'ready')
        : undefined;
      if (row === undefined) return false;
      const outcome = await claims.claim(job.id, row, 'ready', newSearchCriteria(newId('inc')));
      if (outcome.kind === 'claimed') return true;
    }
  };
};

/** Baseline: every contender holds the job's lock row while it searches and claims. */
const newRowLock: ClaimerFactory = (store, job, random) => {
  const claims = newChunkClaims(store.service, clock);
  const lock = { table: 'locks', key: job.id };
  const trySetHeld = async (row: Row | undefined, held: boolean): Promise<boolean> => {
    const commit = await store.service.transact({
      checks: [{ ...lock, revision: row?.revision ?? 0 }],
      writes: [{ ...lock, value: { held } }],
    });
    return commit.ok && commit.value.committed;
  };
  const acquire = async (): Promise<void> => {
    for (;;) {
      const row = await store.service.get(lock.table, lock.key);
      const isFree =
        row.ok && (row.value === undefined || !(row.value.value as { held: boolean }).held);
      if (isFree && (await trySetHeld(row.value, true))) return;
      await sleep(STORE_ROUND_TRIP_MS * (1 + random()));
    }
  };
  const release = async (): Promise<void> => {
    const row = await store.service.get(lock.table, lock.key);
    if (row.ok) await trySetHeld(row.value, false);
  };
  return async () => {
    await acquire();
    try {
      const rows = await scanAll(store.service, TABLE.chunks, `${job.id}/`);
      const row = rows.ok
        ? rows.value.find(({ value }) => (value as { state: string }).state === 'ready')
        : undefined;
      if (row === undefined) return false;
      const outcome = await claims.claim(job.id, row, 'ready', newSearchCriteria(newId('inc')));
      return outcome.kind === 'claimed';
    } finally {
      await release();
    }
  };
};

const CLAIMER_FACTORIES: Readonly<Record<string, ClaimerFactory>> = {
  'random window, optimistic': newOptimistic,
  'first ready, optimistic': newFirstReady,
  'row lock': newRowLock,
};

/** Lets the contenders claim all chunks of one job without pause. */
const claimAllChunks = async (
  newClaimer: ClaimerFactory,
  contenders: number,
  seed: number,
): Promise<ClaimingCost> => {
  const store = newDelayedStore(STORE_ROUND_TRIP_MS);
  const job = await submitJob(store, CHUNKS * ITEMS_PER_CHUNK);
  const random = newSeededRandom(seed);
  const before = { ...store.tables.calls };
  const startedMs = performance.now();
  let claimed = 0;
  const claimUntilDone = async (): Promise<void> => {
    const claim = newClaimer(store, job, random);
    while (claimed < job.chunks && (await claim())) claimed += 1;
  };
  await Promise.all(Array.from({ length: contenders }, claimUntilDone));
  const { reads, writes } = store.tables.calls;
  return {
    elapsedMs: performance.now() - startedMs,
    writes: (writes - before.writes) / job.chunks,
    reads: (reads - before.reads) / job.chunks,
  };
};

/** Prints writes per claimed chunk, and the time as a multiple of the product's, by number of contenders. */
export const measureClaimContention = async (): Promise<void> => {
  const rows: Record<string, string | number>[] = [];
  for (const contenders of CONTENDERS) {
    const elapsedMsByClaimer = new Map<string, number>();
    for (const [name, newClaimer] of Object.entries(CLAIMER_FACTORIES)) {
      const runs: ClaimingCost[] = [];
      for (const seed of SEEDS) runs.push(await claimAllChunks(newClaimer, contenders, seed));
      const mean = (pick: (run: ClaimingCost) => number): number =>
        runs.reduce((sum, run) => sum + pick(run), 0) / runs.length;
      elapsedMsByClaimer.set(
        name,
        mean((run) => run.elapsedMs),
      );
      const productElapsedMs = elapsedMsByClaimer.get('random window, optimistic') ?? 1;
      rows.push({
        contenders,
        way: name,
        'writes/chunk': mean((run) => run.writes).toFixed(2),
        'conflicts/chunk': name === 'row lock' ? '-' : (mean((run) => run.writes) - 1).toFixed(2),
        'reads/chunk': mean((run) => run.reads).toFixed(2),
        'time against first': ((elapsedMsByClaimer.get(name) ?? 0) / productElapsedMs).toFixed(2),
      });
    }
  }
  printTable(
    `batch: ${CHUNKS} chunks of one job claimed by racing sidecars, ${SEEDS.length} seeds`,
    rows,
  );
};
