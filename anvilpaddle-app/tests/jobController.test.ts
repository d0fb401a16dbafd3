/** Files and batch jobs in the table service, with faults at each commit. */
import { Readable } from 'node:stream';
import { JOB_STATE, type File, type Job } from '@anvilpaddle/decisions';
import { newFailure, newOk, SystemClock } from '@anvilpaddle/common';
import type { ObjectStore, PlatformError, TableService, Transaction } from '@anvilpaddle/platform';
import { newTables, type Tables } from '@anvilpaddle/standins';
import { TABLE } from '../batch/tables';
import { newJobController, type JobController } from '../controllers/jobController';
import { PART_BYTES_THRESHOLD, MAX_ITEMS_PER_PART, storeParts } from '../entry/actions/partStore';

const PARTS = 450;
const KEY = { key: 'night-1', bodyHash: 'a' };

type Fault = 'refused' | 'request lost' | 'response lost';

const REFUSED: PlatformError = { kind: 'unavailable', detail: 'fault' };
const LOST: PlatformError = { kind: 'unknown', detail: 'fault' };

/** Creates an in-memory table service in which one transaction, counted from 1, fails. */
const newFaultyTables = (
  tables: Tables,
  fault: Fault | undefined,
  faultAtCall: number,
): TableService => {
  let calls = 0;
  return {
    get: (table, key) => Promise.resolve(newOk(tables.get(table, key))),
    scan: (table, range) => Promise.resolve(newOk(tables.scan(table, range))),
    transact: (transaction: Transaction) => {
      calls += 1;
      const faultOfCall = calls === faultAtCall ? fault : undefined;
      if (faultOfCall === 'refused') return Promise.resolve(newFailure(REFUSED));
      if (faultOfCall === 'request lost') return Promise.resolve(newFailure(LOST));
      const commit = tables.transact(transaction);
      return Promise.resolve(faultOfCall === 'response lost' ? newFailure(LOST) : newOk(commit));
    },
  };
};

const newMemoryObjectStore = (objects: Map<string, Buffer>): ObjectStore => ({
  put: (key, body) => {
    objects.set(key, body);
    return Promise.resolve(newOk(undefined));
  },
  get: (key) => Promise.resolve(newOk(objects.get(key))),
  remove: (key) => {
    objects.delete(key);
    return Promise.resolve(newOk(undefined));
  },
});

const FILE: File = {
  id: 'file_1',
  team: 'association',
  name: 'dossiers.jsonl',
  purpose: 'batch',
  bytes: 1,
  createdAt: 0,
  parts: Array(PARTS).fill(256) as number[],
  models: [],
};

const newJob = (id: string): Job => ({
  id,
  team: 'association',
  state: JOB_STATE.inProgress,
  file: FILE.id,
  endpoint: '/v1/chat/completions',
  route: 'chat',
  group: 'llm',
  revision: 1,
  chunks: PARTS,
  items: PARTS * 256,
  createdAt: 1,
  dueAt: 2,
});

const countRows = (tables: Tables, table: string): number =>
  tables.scan(table, { prefix: '', limit: 100_000 }).length;

const start = (fault?: Fault, faultAtCall = 0): { tables: Tables; jobs: JobController } => {
  const tables = newTables();
  tables.transact({ checks: [], writes: [{ table: TABLE.files, key: FILE.id, value: FILE }] });
  const service = newFaultyTables(tables, fault, faultAtCall);
  return {
    tables,
    jobs: newJobController(service, newMemoryObjectStore(new Map()), new SystemClock()),
  };
};

const FAULTS: readonly Fault[] = ['refused', 'request lost', 'response lost'];
// The 450 chunks take three commits; the fourth commit makes the job visible.
const CREATIONS = FAULTS.flatMap((fault) => [1, 2, 3, 4].map((call) => [fault, call] as const));

describe('the creation of a job', () => {
  it.each(CREATIONS)(
    'is complete and happens once with a fault: %s, commit %i',
    async (fault, call) => {
      const { tables, jobs } = start(fault, call);
      const created = await jobs.createJob(newJob('batch_1'), FILE, KEY);
      const again = await jobs.createJob(newJob('batch_2'), FILE, KEY);
      const other = await jobs.createJob(newJob('batch_3'), FILE, { ...KEY, bodyHash: 'b' });

      expect(created).toMatchObject({ ok: true, value: { id: 'batch_1' } });
      expect(again).toMatchObject({ ok: true, value: { id: 'batch_1' } });
      expect(other).toMatchObject({ ok: false, error: { kind: 'conflict' } });
      expect(countRows(tables, TABLE.jobs)).toBe(1);
      expect(countRows(tables, TABLE.openJobs)).toBe(1);
      expect(countRows(tables, TABLE.chunks)).toBe(PARTS);
    },
  );

  it('gives another team its own job under the same key', async () => {
    const { jobs } = start();
    await jobs.createJob(newJob('batch_1'), FILE, KEY);
    const other = await jobs.createJob({ ...newJob('batch_2'), team: 'other' }, FILE, KEY);

    expect(other).toMatchObject({ ok: true, value: { id: 'batch_2' } });
  });

  it('does not reset a chunk that was claimed in the meantime when a commit is repeated late', async () => {
    const { tables, jobs } = start();
    const transactions: Transaction[] = [];
    const { transact } = tables;
    Object.assign(tables, {
      transact: (transaction: Transaction) => {
        transactions.push(transaction);
        return transact(transaction);
      },
    });
    await jobs.createJob(newJob('batch_1'), FILE);

    expect(transactions.map((transaction) => transact(transaction).committed)).toEqual(
      transactions.map(() => false),
    );
  });
});

describe('the cancellation of a job', () => {
  it.each(FAULTS)(
    'takes effect and returns the job with a fault of its commit: %s',
    async (fault) => {
      const { tables, jobs } = start(fault, 5);
      await jobs.createJob(newJob('batch_1'), FILE);
      const cancelled = await jobs.cancelJob('batch_1');

      expect(cancelled).toMatchObject({ ok: true, value: { state: JOB_STATE.cancelled } });
      expect(countRows(tables, TABLE.openJobs)).toBe(0);
      expect(countRows(tables, TABLE.fileJobs)).toBe(0);
    },
  );
});

describe('the deletion of a file', () => {
  const wait = async (turns: number): Promise<void> => {
    for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
  };

  it('is refused while a job reads it, whichever came first', async () => {
    const outcomes = new Set<string>();
    for (let turns = -20; turns <= 40; turns += 1) {
      const { tables, jobs } = start();
      const file = { ...FILE, parts: [1] };
      const [created, removed] = await Promise.all([
        wait(-turns).then(() => jobs.createJob(newJob('batch_1'), file)),
        wait(turns).then(() => jobs.removeFile(file)),
      ]);
      outcomes.add(`${created.ok} ${removed.ok}`);

      expect(created.ok && removed.ok).toBe(false);
      expect(countRows(tables, TABLE.files)).toBe(removed.ok ? 0 : 1);
    }
    expect(outcomes.size).toBeGreaterThan(1);
  });
});

describe('the parts of an upload', () => {
  it('are read no faster than they are stored', async () => {
    const ITEMS = 20_000;
    let produced = 0;
    let stored = 0;
    let maxReadAhead = 0;
    const content = Readable.from(
      (function* lines() {
        for (let index = 0; index < ITEMS; index += 1) {
          produced += 1;
          yield Buffer.from(`{"custom_id":"${index}"}\n`);
        }
      })(),
      { objectMode: false, highWaterMark: 1 },
    );
    const result = await storeParts(content, Infinity, {
      putPart: async () => {
        maxReadAhead = Math.max(maxReadAhead, produced - stored);
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
        stored += MAX_ITEMS_PER_PART;
        return newOk(undefined);
      },
      dropParts: () => Promise.resolve(),
    });

    expect(result.ok && result.value.counts.reduce((sum, count) => sum + count, 0)).toBe(ITEMS);
    // One part, and the lines that the stream has read ahead.
    expect(maxReadAhead).toBeLessThanOrEqual(2 * MAX_ITEMS_PER_PART);
  });

  it('are limited in bytes when the lines are long', async () => {
    const sizes: number[] = [];
    const line = `${'x'.repeat(1_000_000)}\n`;
    await storeParts(Readable.from(Array(20).fill(Buffer.from(line))), Infinity, {
      putPart: (_index, body) => {
        sizes.push(body.length);
        return Promise.resolve(newOk(undefined));
      },
      dropParts: () => Promise.resolve(),
    });

    expect(Math.max(...sizes)).toBeLessThanOrEqual(PART_BYTES_THRESHOLD + line.length);
  });
});
