/** Batch workers in one process, on stores in memory and simulated upstreams. */
import { Readable } from 'node:stream';
import {
  chunkSchema,
  FirstComeScheduler,
  getChunkPrefix,
  getPartKey,
  JOB_STATE,
  newConfig,
  type Chunk,
  type Config,
  type File,
  type Job,
} from '@anvilpaddle/decisions';
import { newId, newLogger, newOk, SystemClock, type Random } from '@anvilpaddle/common';
import type { Transaction } from '@anvilpaddle/platform';
import { newInMemoryTables } from '@anvilpaddle/standins';
import { TABLE } from '../../batch/tables';
import { newJobController, type JobController } from '../../controllers/jobController';
import { newBatchWorker, type BatchWorker } from '../../sidecar/batchWorker';
import type { UpstreamClient } from '../../sidecar/upstreamClient';
import { newUpstreamDispatcher } from '../../sidecar/upstreamDispatcher';
import {
  newFaultInjector,
  NO_FAULTS,
  type FaultRates,
  type FaultInjector,
  type SharedPlatform,
} from './faultInjector';

/** Model that the workers serve by default. */
export const MODEL = 'small-chat';
const GROUP = 'llm';
const ITEMS_PER_PART = 64;

/**
 * How the upstream handles an item: status 200, 400 (`refuse`) or 500 (`fail`), a lost response
 * (`cut`), or the end of the worker that sent it (`kill`).
 */
export type Behaviour = 'answer' | 'refuse' | 'fail' | 'cut' | 'kill';

/** Batch worker of one sidecar with its fault injector. */
export interface WorkerNode {
  readonly faultInjector: FaultInjector;
  readonly worker: BatchWorker;
}

/** Options of a batch fleet. */
export interface BatchFleetOptions {
  readonly random: Random;
  readonly slots: number;
  readonly itemMs: number;
  /** Duration of an item, in place of `itemMs`. */
  getItemMs?(customId: string): number;
  readonly lease?: string;
  readonly fleetSettings?: Readonly<Record<string, string>>;
  getBehaviour?(customId: string, runs: number): Behaviour;
  readonly itemsPerPart?: number;
}

/** Batch workers that run the real code on stores in memory and simulated engines. */
export interface BatchFleet {
  readonly shared: SharedPlatform;
  readonly jobs: JobController;
  readonly nodes: WorkerNode[];
  /** Number of times that each item was sent to an upstream. */
  readonly runs: ReadonlyMap<string, number>;
  /** Items that are running at upstreams. */
  readonly active: Set<string>;
  /** Violated rules, such as a result that changed after its commit. */
  readonly violations: string[];
  setRates(rates: FaultRates): void;
  addWorker(models?: readonly string[]): WorkerNode;
  /** Stores an input file and creates its job. */
  submit(lines: readonly string[], overrides?: Partial<Job>): Promise<Job>;
  getState(job: Job): string;
  getChunks(job: Job): Chunk[];
  /** All result lines in the order of the input. */
  getResults(job: Job): ResultLine[];
  close(): void;
}

/** Line of a result file. */
export interface ResultLine {
  readonly custom_id: string | null;
  readonly response: { readonly status_code: number } | null;
  readonly error: { readonly code: string } | null;
}

/** Line of a job's input file for a model route. */
export const newInputLine = (customId: string, overrides: object = {}): string =>
  JSON.stringify({
    custom_id: customId,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: MODEL, messages: [customId] },
    ...overrides,
  });

const getConfig = (levels: Readonly<Record<string, string>>): Config => {
  const entry = (kind: 'team' | 'route' | 'settings', id: string, value: unknown) => ({
    kind,
    id,
    value,
    revision: 1,
  });
  const methods = { idempotentMethods: ['GET'] };
  return newConfig(1, [
    entry('team', 'association', {}),
    entry('team', 'small', {}),
    entry('route', 'chat', {
      kind: 'model',
      path: '/v1/chat/completions',
      group: GROUP,
      ...methods,
    }),
    entry('route', 'forms', { kind: 'plain', path: '/forms/', group: GROUP, ...methods }),
    entry('settings', 'fleet', levels),
  ]);
};

/** Records writes that change a committed result or commit one after the job's end. */
const recordViolations = (shared: SharedPlatform, violations: string[]): void => {
  const { transact } = shared.tables;
  Object.assign(shared.tables, {
    transact: (transaction: Transaction) => {
      const before = transaction.writes.map(({ table, key }) => shared.tables.get(table, key));
      const commit = transact(transaction);
      if (!commit.committed) return commit;
      transaction.writes.forEach(({ table, value }, index) => {
        if (table !== TABLE.chunks) return;
        const previous = before[index]?.value as Chunk | undefined;
        const next = value as Chunk | null;
        if (previous?.state === 'done') violations.push(`result of ${before[index]?.key} changed`);
        const job = shared.tables.get(TABLE.jobs, next?.job ?? '')?.value as Job | undefined;
        const hasEnded = job !== undefined && job.state !== JOB_STATE.inProgress;
        if (hasEnded && next?.state === 'done') {
          violations.push(`result after the end of ${job.id}`);
        }
      });
      return commit;
    },
  });
};

/** Creates a fleet without workers. */
export const newBatchFleet = (options: BatchFleetOptions): BatchFleet => {
  const shared: SharedPlatform = {
    tables: newInMemoryTables(),
    objects: new Map(),
    isDown: { tables: false, objects: false },
  };
  const clock = new SystemClock();
  const log = newLogger('test', 'fatal');
  const config = getConfig({ 'batch.lease': options.lease ?? '400ms', ...options.fleetSettings });
  const runs = new Map<string, number>();
  const active = new Set<string>();
  const violations: string[] = [];
  const nodes: WorkerNode[] = [];
  let rates = NO_FAULTS;
  recordViolations(shared, violations);

  const newClient = (faultInjector: FaultInjector): UpstreamClient => ({
    send: async ({ body, path, signal }) => {
      const json = JSON.parse(body.toString()) as { messages: string[] };
      const id = json.messages[0] ?? path;
      const run = (runs.get(id) ?? 0) + 1;
      runs.set(id, run);
      active.add(id);
      try {
        await new Promise<void>((resolve, reject) => {
          clock.after(options.getItemMs?.(id) ?? options.itemMs, resolve);
          signal.addEventListener('abort', () => reject(new Error('aborted')), { once: true });
        });
      } catch {
        return { ok: false, error: { kind: 'no_answer', detail: 'aborted' } };
      } finally {
        active.delete(id);
      }
      const behaviour = options.getBehaviour?.(id, run) ?? 'answer';
      if (behaviour === 'kill') faultInjector.kill();
      await faultInjector.untilRunning();
      if (behaviour === 'cut') return { ok: false, error: { kind: 'no_answer', detail: 'cut' } };
      const status = { answer: 200, refuse: 400, fail: 500, kill: 500 }[behaviour];
      const content = JSON.stringify({ id, usage: { completion_tokens: 1 } });
      return newOk({ status, headers: {}, body: Readable.from([Buffer.from(content)]) });
    },
    listModels: () => Promise.resolve([MODEL]),
    close: () => Promise.resolve(),
  });

  const controllerFaults = newFaultInjector(shared, clock, options.random, () => rates);
  const jobs = newJobController(controllerFaults.tables, controllerFaults.objects, clock);

  const getChunks = (job: Job): Chunk[] =>
    shared.tables
      .scan(TABLE.chunks, { prefix: getChunkPrefix(job.id), limit: 100_000 })
      .map(({ value }) => chunkSchema.parse(value));

  const getResults = (job: Job): ResultLine[] =>
    getChunks(job).flatMap(({ output, errors }) =>
      [output, errors].flatMap((key) =>
        String(shared.objects.get(key ?? '') ?? '')
          .split('\n')
          .filter(Boolean)
          .map((line) => JSON.parse(line) as ResultLine),
      ),
    );

  return {
    shared,
    jobs,
    nodes,
    runs,
    active,
    violations,
    setRates: (next) => {
      rates = next;
    },
    addWorker: (models = [MODEL]) => {
      const faultInjector = newFaultInjector(shared, clock, options.random, () => rates);
      const worker = newBatchWorker({
        owner: newId('inc'),
        group: GROUP,
        slots: options.slots,
        tables: faultInjector.tables,
        objects: faultInjector.objects,
        dispatcher: newUpstreamDispatcher(new FirstComeScheduler(options.slots), clock, log),
        client: newClient(faultInjector),
        clock: faultInjector.clock,
        random: options.random,
        log,
        isStopping: () => false,
        getWeight: () => 1,
        getConfig: () => config,
        getModels: () => models,
        getSidecarCount: () => nodes.length,
      });
      const node = { faultInjector, worker };
      nodes.push(node);
      return node;
    },
    submit: async (lines, overrides = {}) => {
      const size = options.itemsPerPart ?? ITEMS_PER_PART;
      const id = newId('file');
      const parts: number[] = [];
      for (let start = 0; start < lines.length; start += size) {
        const partLines = lines.slice(start, start + size);
        shared.objects.set(getPartKey(id, parts.length), Buffer.from(`${partLines.join('\n')}\n`));
        parts.push(partLines.length);
      }
      const file: File = {
        id,
        team: 'association',
        name: 'dossiers.jsonl',
        purpose: 'batch',
        bytes: 0,
        createdAt: clock.wall(),
        parts,
        models: [],
      };
      shared.tables.transact({
        checks: [],
        writes: [{ table: TABLE.files, key: id, value: file }],
      });
      const job: Job = {
        id: newId('batch'),
        team: 'association',
        state: JOB_STATE.inProgress,
        file: id,
        endpoint: '/v1/chat/completions',
        route: 'chat',
        group: GROUP,
        revision: 1,
        chunks: parts.length,
        items: lines.length,
        createdAt: clock.wall(),
        dueAt: clock.wall() + 3_600_000,
        ...overrides,
      };
      for (;;) {
        const created = await jobs.createJob(job, file);
        if (created.ok) return created.value;
      }
    },
    getState: (job) => (shared.tables.get(TABLE.jobs, job.id)?.value as Job).state,
    getChunks,
    getResults,
    close: () => nodes.forEach(({ faultInjector }) => faultInjector.kill()),
  };
};
