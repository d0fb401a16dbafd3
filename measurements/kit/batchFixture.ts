/** Fixture of the batch measurements: a store with delays, jobs, and batch workers with a fixed item time. */
import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  FirstComeScheduler,
  getPartKey,
  JOB_STATE,
  newConfig,
  type File,
  type Job,
} from '@anvilpaddle/decisions';
import { newId, newOk, newSilentLogger, SystemClock, type Random } from '@anvilpaddle/common';
import type { ObjectStore, TableService } from '@anvilpaddle/platform';
import { newInMemoryTables, type InMemoryTables } from '@anvilpaddle/standins';
import { newJobController } from 'anvilpaddle-app/controllers/jobController';
import { TABLE } from 'anvilpaddle-app/batch/tables';
import { newBatchWorker, type BatchWorker } from 'anvilpaddle-app/sidecar/batchWorker';
import type { UpstreamClient } from 'anvilpaddle-app/sidecar/upstreamClient';
import { newUpstreamDispatcher } from 'anvilpaddle-app/sidecar/upstreamDispatcher';

/** Items in each chunk of a job except the last. */
export const ITEMS_PER_CHUNK = 256;
/** Time that one call to the store takes. */
export const STORE_ROUND_TRIP_MS = 2;
/** Time that the upstream takes for one item. */
export const ITEM_DURATION_MS = 40;
/** Items that an upstream runs at the same time. */
export const SLOTS = 16;

/** In-memory table service and object store whose calls take a fixed round trip time. */
export interface DelayedStore {
  readonly tables: InMemoryTables;
  readonly service: TableService;
  readonly objects: ObjectStore;
  /** Bodies in the object store by key. */
  readonly content: Map<string, Buffer>;
  objectCalls: { reads: number; writes: number };
}

/** Creates an empty store whose calls take `roundTripMs` each. */
export const newDelayedStore = (roundTripMs: number): DelayedStore => {
  const tables = newInMemoryTables();
  const content = new Map<string, Buffer>();
  const objectCalls = { reads: 0, writes: 0 };
  const call = async <T>(action: () => T) => {
    await sleep(roundTripMs / 2);
    const value = structuredClone(action());
    await sleep(roundTripMs / 2);
    return newOk(value);
  };
  return {
    tables,
    content,
    objectCalls,
    service: {
      get: (table, key) => call(() => tables.get(table, key)),
      scan: (table, range) => call(() => tables.scan(table, range)),
      transact: (transaction) => call(() => tables.transact(transaction)),
    },
    objects: {
      put: (key, body) => {
        objectCalls.writes += 1;
        content.set(key, body);
        return call(() => undefined);
      },
      get: async (key) => {
        objectCalls.reads += 1;
        await sleep(roundTripMs);
        return newOk(content.get(key));
      },
      remove: (key) => {
        content.delete(key);
        return call(() => undefined);
      },
    },
  };
};

/** System clock that the store, the workers and the claimers share. */
export const clock = new SystemClock();

/** Stores an input file with the given number of items and creates its job. */
export const submitJob = async (store: DelayedStore, items: number): Promise<Job> => {
  const id = newId('file');
  const partSizes = Array.from({ length: Math.ceil(items / ITEMS_PER_CHUNK) }, (_, index) =>
    Math.min(ITEMS_PER_CHUNK, items - index * ITEMS_PER_CHUNK),
  );
  partSizes.forEach((count, part) => {
    const lines = Array.from({ length: count }, (_, index) =>
      JSON.stringify({
        custom_id: `${part}-${index}`,
        method: 'POST',
        url: '/v1/chat/completions',
        body: { model: 'm', messages: [] },
      }),
    );
    store.content.set(getPartKey(id, part), Buffer.from(`${lines.join('\n')}\n`));
  });
  const file: File = {
    id,
    team: 'team',
    name: '',
    purpose: 'batch',
    bytes: 0,
    createdAt: 0,
    parts: partSizes,
    models: [],
  };
  store.tables.transact({ checks: [], writes: [{ table: TABLE.files, key: id, value: file }] });
  const job: Job = {
    id: newId('batch'),
    team: 'team',
    state: JOB_STATE.inProgress,
    file: id,
    endpoint: '/v1/chat/completions',
    route: 'chat',
    group: 'llm',
    revision: 1,
    chunks: partSizes.length,
    items,
    createdAt: clock.wall(),
    dueAt: clock.wall() + 86_400_000,
  };
  const created = await newJobController(store.service, store.objects, clock).createJob(job, file);
  if (!created.ok) throw new Error('the batch job could not be created in the store');
  return job;
};

/** Gateway configuration with one team and one route. */
export const config = newConfig(1, [
  { kind: 'team', id: 'team', value: {}, revision: 1 },
  {
    kind: 'route',
    id: 'chat',
    revision: 1,
    value: {
      kind: 'model',
      path: '/v1/chat/completions',
      access: 'keyed',
      group: 'llm',
      idempotentMethods: [],
    },
  },
]);

/** Client of an upstream that responds to each item after `ITEM_DURATION_MS`. */
export const newFixedDelayClient = (): UpstreamClient => ({
  send: async () => {
    await sleep(ITEM_DURATION_MS);
    return newOk({ status: 200, headers: {}, body: Readable.from([Buffer.from('{"usage":{}}')]) });
  },
  listModels: () => Promise.resolve(['m']),
  close: () => Promise.resolve(),
});

/** Starts a batch worker that takes the fleet to have `workers` sidecars. */
export const startWorker = (store: DelayedStore, workers: number, random: Random): BatchWorker =>
  newBatchWorker({
    owner: newId('inc'),
    group: 'llm',
    slots: SLOTS,
    tables: store.service,
    objects: store.objects,
    dispatcher: newUpstreamDispatcher(new FirstComeScheduler(SLOTS), clock, newSilentLogger()),
    client: newFixedDelayClient(),
    clock,
    random,
    log: newSilentLogger(),
    isStopping: () => false,
    getWeight: () => 1,
    getConfig: () => config,
    getModels: () => ['m'],
    getSidecarCount: () => workers,
  });

const isInProgress = (store: DelayedStore, job: Job): boolean =>
  (store.tables.get(TABLE.jobs, job.id)?.value as Job).state === JOB_STATE.inProgress;

/** Polls the job until it is no longer in progress. */
export const waitForJobEnd = async (store: DelayedStore, job: Job): Promise<void> => {
  while (isInProgress(store, job)) await sleep(5);
};
