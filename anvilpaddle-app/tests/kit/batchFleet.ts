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
import { newUpstreamTask } from '../../sidecar/upstreamTask';
import { newGate, NO_FAULTS, type FaultRates, type Gate, type SharedPlatform } from './gate';

export const MODEL = 'small-chat';
const GROUP = 'llm';
const ITEMS_PER_PART = 64;

/** What the upstream makes of an item. */
export type Behaviour = 'answer' | 'refuse' | 'fail' | 'cut' | 'kill';

/** One sidecar's batch worker. */
export interface WorkerNode {
  readonly gate: Gate;
  readonly worker: BatchWorker;
}

/** Shape of the in-process fleet. */
export interface BatchShape {
  readonly random: Random;
  readonly slots: number;
  readonly itemMs: number;
  readonly lease?: string;
  readonly levels?: Readonly<Record<string, string>>;
  behave?(customId: string, runs: number): Behaviour;
  readonly itemsPerPart?: number;
}

/** Batch workers with the real code over memory in place of platform and engines. */
export interface BatchFleet {
  readonly shared: SharedPlatform;
  readonly jobs: JobController;
  readonly nodes: WorkerNode[];
  /** Runs that each item has had at upstreams. */
  readonly runs: ReadonlyMap<string, number>;
  /** Items at upstreams now. */
  readonly active: Set<string>;
  /** Rules that were broken, such as a result that changed. */
  readonly violations: string[];
  setRates(rates: FaultRates): void;
  addWorker(models?: readonly string[]): WorkerNode;
  /** Stores a file of lines and creates its job. */
  submit(lines: readonly string[], more?: Partial<Job>): Promise<Job>;
  getState(job: Job): string;
  getChunks(job: Job): Chunk[];
  /** All result lines in the order of the input. */
  getResults(job: Job): ItemLine[];
  close(): void;
}

/** Line of a result file. */
export interface ItemLine {
  readonly custom_id: string | null;
  readonly response: { readonly status_code: number } | null;
  readonly error: { readonly code: string } | null;
}

/** Line of a job's input file for a model route. */
export const getItemLine = (customId: string, more: object = {}): string =>
  JSON.stringify({
    custom_id: customId,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: MODEL, messages: [customId] },
    ...more,
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

/** Notes writes that break a rule: a result that changes, or one after the job's end. */
const watchWrites = (shared: SharedPlatform, violations: string[]): void => {
  const { transact } = shared.tables;
  Object.assign(shared.tables, {
    transact: (transaction: Transaction) => {
      const before = transaction.writes.map(({ table, key }) => shared.tables.get(table, key));
      const commit = transact(transaction);
      if (!commit.committed) return commit;
      transaction.writes.forEach(({ table, value }, index) => {
        if (table !== TABLE.chunks) return;
        const old = before[index]?.value as Chunk | undefined;
        const next = value as Chunk | null;
        if (old?.state === 'done') violations.push(`result of ${before[index]?.key} changed`);
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

/** Starts without workers. */
export const newBatchFleet = (shape: BatchShape): BatchFleet => {
  const shared: SharedPlatform = {
    tables: newInMemoryTables(),
    objects: new Map(),
    isDown: { tables: false, objects: false },
  };
  const clock = new SystemClock();
  const log = newLogger('test', 'fatal');
  const config = getConfig({ 'batch.lease': shape.lease ?? '400ms', ...shape.levels });
  const runs = new Map<string, number>();
  const active = new Set<string>();
  const violations: string[] = [];
  const nodes: WorkerNode[] = [];
  let rates = NO_FAULTS;
  watchWrites(shared, violations);

  const newClient = (gate: Gate): UpstreamClient => ({
    call: async ({ body, path, signal }) => {
      const json = JSON.parse(body.toString()) as { messages: string[] };
      const id = json.messages[0] ?? path;
      const run = (runs.get(id) ?? 0) + 1;
      runs.set(id, run);
      active.add(id);
      try {
        await new Promise<void>((resolve, reject) => {
          clock.after(shape.itemMs, resolve);
          signal.addEventListener('abort', () => reject(new Error('aborted')), { once: true });
        });
      } catch {
        return { ok: false, error: { kind: 'no_answer', detail: 'aborted' } };
      } finally {
        active.delete(id);
      }
      const behaviour = shape.behave?.(id, run) ?? 'answer';
      if (behaviour === 'kill') gate.kill();
      await gate.pass();
      if (behaviour === 'cut') return { ok: false, error: { kind: 'no_answer', detail: 'cut' } };
      const status = { answer: 200, refuse: 400, fail: 500, kill: 500 }[behaviour];
      const content = JSON.stringify({ id, usage: { completion_tokens: 1 } });
      return newOk({ status, headers: {}, body: Readable.from([Buffer.from(content)]) });
    },
    listModels: () => Promise.resolve([MODEL]),
    close: () => Promise.resolve(),
  });

  const controllerGate = newGate(shared, clock, shape.random, () => rates);
  const jobs = newJobController(controllerGate.tables, controllerGate.objects, clock);

  const getChunks = (job: Job): Chunk[] =>
    shared.tables
      .scan(TABLE.chunks, { prefix: getChunkPrefix(job.id), limit: 100_000 })
      .map(({ value }) => chunkSchema.parse(value));

  const getResults = (job: Job): ItemLine[] =>
    getChunks(job).flatMap(({ output, errors }) =>
      [output, errors].flatMap((key) =>
        String(shared.objects.get(key ?? '') ?? '')
          .split('\n')
          .filter(Boolean)
          .map((line) => JSON.parse(line) as ItemLine),
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
      const gate = newGate(shared, clock, shape.random, () => rates);
      const worker = newBatchWorker({
        owner: newId('inc'),
        group: GROUP,
        slots: shape.slots,
        tables: gate.tables,
        objects: gate.objects,
        task: newUpstreamTask(new FirstComeScheduler(shape.slots), clock, log),
        client: newClient(gate),
        clock: gate.clock,
        random: shape.random,
        log,
        isStopping: () => false,
        getWeight: () => 1,
        getConfig: () => config,
        getModels: () => models,
        getSidecarCount: () => nodes.length,
      });
      const node = { gate, worker };
      nodes.push(node);
      return node;
    },
    submit: async (lines, more = {}) => {
      const size = shape.itemsPerPart ?? ITEMS_PER_PART;
      const id = newId('file');
      const parts: number[] = [];
      for (let start = 0; start < lines.length; start += size) {
        const some = lines.slice(start, start + size);
        shared.objects.set(getPartKey(id, parts.length), Buffer.from(`${some.join('\n')}\n`));
        parts.push(some.length);
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
        ...more,
      };
      for (;;) {
        const created = await jobs.createJob(job, file);
        if (created.ok) return created.value;
      }
    },
    getState: (job) => (shared.tables.get(TABLE.jobs, job.id)?.value as Job).state,
    getChunks,
    getResults,
    close: () => nodes.forEach(({ gate }) => gate.kill()),
  };
};
