import { newOk } from '@anvilpaddle/common';
import { newJobStore } from '../jobs/jobStore';
import type { JobRecord, NewJob } from '../jobs/types';
import { newMemoryStore } from './kit/memoryStore';

const newMemory = () => {
  const memory = newMemoryStore();
  return { ...memory, store: newJobStore(memory.records, memory.objects) };
};

const JOB: NewJob = {
  items: [1, 2].map((index) => ({
    id: `i${index}`,
    path: '/p/',
    headers: ['Model', 'm'],
    body: Buffer.from([index, 255]),
    tokens: 100,
  })),
};

const newRecord = (id: string): JobRecord => ({
  id,
  team: 'team',
  route: 'route',
  host: 'host',
  submittedMs: 0,
  tokens: [100, 100],
  owner: 'gw',
  listed: [],
  failures: {},
  isEnded: false,
});

const UNBOUNDED = { maxWaitingTokens: 0 };

describe('jobs in the store', () => {
  it('accepts a job once and knows its repetition', async () => {
    const { store } = newMemory();

    expect((await store.submit(newRecord('a'), JOB, UNBOUNDED)).kind).toBe('accepted');
    expect((await store.submit(newRecord('a'), JOB, UNBOUNDED)).kind).toBe('known');
    expect(await store.readItems('team', 'a')).toEqual(newOk(JOB.items));
  });

  it('lets two submissions at once not pass the bound together', async () => {
    const { store } = newMemory();
    const bounds = { maxWaitingTokens: 300 };
    const submissions = await Promise.all([
      store.submit(newRecord('a'), JOB, bounds),
      store.submit(newRecord('b'), JOB, bounds),
    ]);

    expect(submissions.map(({ kind }) => kind).sort()).toEqual(['accepted', 'no_room']);
  });

  it('commits nothing of a submission that was given up', async () => {
    const { store, rows } = newMemory();
    const submission = await store.submit(newRecord('a'), JOB, UNBOUNDED, {
      isCancelled: true,
      isCommitting: false,
    });

    expect(submission.kind).toBe('unavailable');
    expect(rows.size).toBe(0);
  });

  it('lists results at their positions only for the owner of the newest record', async () => {
    const { store } = newMemory();
    const submission = await store.submit(newRecord('a'), JOB, UNBOUNDED);
    if (submission.kind !== 'accepted') throw new Error('not accepted');
    const { job } = submission;
    const results = [{ id: 'i2', state: 'succeeded' as const, output: 'text' }];
    const record = { ...job.record, listed: [1] };
    const first = await store.update(job, { record, results });
    const late = await store.update(job, {
      record: { ...job.record, listed: [0] },
      results: [{ id: 'i1', state: 'succeeded', output: 'other' }],
    });

    expect(first).toMatchObject({ ok: true, value: { committed: true } });
    expect(late).toMatchObject({ ok: true, value: { committed: false } });
    expect(await store.readResults('team', 'a', 0, 1000)).toEqual(newOk(results));
  });

  it('keeps a result that is too large for a record, and removes all of a job', async () => {
    const { store, rows, contents } = newMemory();
    const submission = await store.submit(newRecord('a'), JOB, UNBOUNDED);
    if (submission.kind !== 'accepted') throw new Error('not accepted');
    const { job } = submission;
    const output = 'x'.repeat(100_000);
    const results = [{ id: 'i1', state: 'succeeded' as const, output }];
    await store.update(job, { record: { ...job.record, listed: [0] }, results });
    const listed = await store.readResults('team', 'a', 0, 1000);
    const stored = await store.read('team', 'a');
    if (!stored.ok || stored.value === undefined) throw new Error('not stored');
    await store.remove(stored.value);

    expect(listed).toEqual(newOk(results));
    expect([...rows.keys()]).toEqual(['jobs/team/!route']);
    expect([...contents.keys()]).toEqual([]);
  });
});
