import { setTimeout as sleep } from 'node:timers/promises';
import type { Job } from '@anvilpaddle/decisions';
import { newId, newSeededRandom, type Random } from '@anvilpaddle/common';
import type { Row } from '@anvilpaddle/platform';
import { newChunkClaims } from 'anvilpaddle-app/batch/chunkClaims';
import { newChunkFinder, type Wanted } from 'anvilpaddle-app/batch/chunkFinder';
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

interface Race {
  readonly tookMs: number;
  readonly writes: number;
  readonly reads: number;
}

type Claimer = (store: DelayedStore, job: Job, random: Random) => () => Promise<boolean>;

const newWanted = (owner: string): Wanted => ({
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

/** The way that was built: a random window, validated on commit. */
const newOptimistic: Claimer = (store, _job, random) => {
  const finder = newChunkFinder(store.service, clock, random);
  return async () => (await finder.find(newWanted(newId('inc')))) !== undefined;
};

/** Everyone takes the first ready chunk, validated on commit. */
const newFirstReady: Claimer = (store, job) => {
  const claims = newChunkClaims(store.service, clock);
  return async () => {
    for (;;) {
      const rows = await scanAll(store.service, TABLE.chunks, `${job.id}/`);
      const row = rows.ok
        ? rows.value.find(({ value }) => (value as { state: string }).state === 'ready')
        : undefined;
      if (row === undefined) return false;
      const outcome = await claims.claim(job.id, row, 'ready', newWanted(newId('inc')));
      if (outcome.kind === 'claimed') return true;
    }
  };
};

/** Everyone takes the job's lock row before looking, and gives it back afterwards. */
const newRowLock: Claimer = (store, job, random) => {
  const claims = newChunkClaims(store.service, clock);
  const lock = { table: 'locks', key: job.id };
  const swap = async (row: Row | undefined, held: boolean): Promise<boolean> => {
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
      if (isFree && (await swap(row.value, true))) return;
      await sleep(STORE_ROUND_TRIP_MS * (1 + random()));
    }
  };
  const release = async (): Promise<void> => {
    const row = await store.service.get(lock.table, lock.key);
    if (row.ok) await swap(row.value, false);
  };
  return async () => {
    await acquire();
    try {
      const rows = await scanAll(store.service, TABLE.chunks, `${job.id}/`);
      const row = rows.ok
        ? rows.value.find(({ value }) => (value as { state: string }).state === 'ready')
        : undefined;
      if (row === undefined) return false;
      const outcome = await claims.claim(job.id, row, 'ready', newWanted(newId('inc')));
      return outcome.kind === 'claimed';
    } finally {
      await release();
    }
  };
};

const CLAIMERS: Readonly<Record<string, Claimer>> = {
  'random window, optimistic': newOptimistic,
  'first ready, optimistic': newFirstReady,
  'row lock': newRowLock,
};

/** Claims all chunks of one job as fast as the contenders can. */
const race = async (newClaimer: Claimer, contenders: number, seed: number): Promise<Race> => {
  const store = newDelayedStore(STORE_ROUND_TRIP_MS);
  const job = await submitJob(store, CHUNKS * ITEMS_PER_CHUNK);
  const random = newSeededRandom(seed);
  const before = { ...store.tables.calls };
  const startedMs = performance.now();
  let claimed = 0;
  const contend = async (): Promise<void> => {
    const claim = newClaimer(store, job, random);
    while (claimed < job.chunks && (await claim())) claimed += 1;
  };
  await Promise.all(Array.from({ length: contenders }, contend));
  const { reads, writes } = store.tables.calls;
  return {
    tookMs: performance.now() - startedMs,
    writes: (writes - before.writes) / job.chunks,
    reads: (reads - before.reads) / job.chunks,
  };
};

/** Writes for each claimed chunk and time against the version built, by number of contenders. */
export const measureClaimContention = async (): Promise<void> => {
  const rows: Record<string, string | number>[] = [];
  for (const contenders of CONTENDERS) {
    const took = new Map<string, number>();
    for (const [name, newClaimer] of Object.entries(CLAIMERS)) {
      const runs: Race[] = [];
      for (const seed of SEEDS) runs.push(await race(newClaimer, contenders, seed));
      const mean = (pick: (run: Race) => number): number =>
        runs.reduce((sum, run) => sum + pick(run), 0) / runs.length;
      took.set(
        name,
        mean((run) => run.tookMs),
      );
      const base = took.get('random window, optimistic') ?? 1;
      rows.push({
        contenders,
        way: name,
        'writes/chunk': mean((run) => run.writes).toFixed(2),
        'conflicts/chunk': name === 'row lock' ? '-' : (mean((run) => run.writes) - 1).toFixed(2),
        'reads/chunk': mean((run) => run.reads).toFixed(2),
        'time against first': ((took.get(name) ?? 0) / base).toFixed(2),
      });
    }
  }
  printTable(
    `batch: ${CHUNKS} chunks of one job claimed by racing sidecars, ${SEEDS.length} seeds`,
    rows,
  );
};
