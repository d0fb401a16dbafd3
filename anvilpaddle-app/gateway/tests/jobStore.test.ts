import { newOk } from '@anvilpaddle/common';
import { newJobStore } from '../jobs/jobStore';
import type { JobStore } from '../jobs/jobStoreTypes';
import type { JobItem, JobRecord, NewJob } from '../jobs/types';
import { newMemoryStore } from './kit/memoryStore';

const newTestStores = () => {
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
  configVersion: 1,
  submittedMs: 0,
  tokens: [100, 100],
  owner: 'gw',
  listed: [],
  failures: {},
  isEnded: false,
});

const NO_WAIT = { timeoutMs: 0 };

/** Results of a job from the first one on. */
const readResults = async (store: JobStore, id: string) => {
  const page = await store.readResults(newRecord(id), 0, 1000, NO_WAIT);
  return page.ok ? newOk(page.value.results) : page;
};

/** All items of a job, read one after the other. */
const readItems = async (store: JobStore, id: string) => {
  const job = await store.read(newRecord(id));
  if (!job.ok || job.value === undefined) throw new Error('the job is not stored');
  const summaries = await store.readItemSummaries(job.value.record, NO_WAIT);
  if (!summaries.ok) return summaries;
  const items: JobItem[] = [];
  for (const summary of summaries.value) {
    const read = await store.readItem(summary, NO_WAIT);
    if (!read.ok) return read;
    items.push(read.value.item);
  }
  return newOk(items);
};

const NO_LIMIT = { maxWaitingTokens: 0 };

describe('jobs in the store', () => {
  it('accepts a job once and recognizes a repeated submission', async () => {
    const { store } = newTestStores();

    expect((await store.submit(newRecord('a'), JOB, NO_LIMIT)).kind).toBe('accepted');
    expect((await store.submit(newRecord('a'), JOB, NO_LIMIT)).kind).toBe('known');
    expect(await readItems(store, 'a')).toEqual(newOk(JOB.items));
  });

  it('keeps concurrent submissions within the limit of waiting tokens', async () => {
    const { store } = newTestStores();
    const limits = { maxWaitingTokens: 300 };
    const submissions = await Promise.all([
      store.submit(newRecord('a'), JOB, limits),
      store.submit(newRecord('b'), JOB, limits),
    ]);

    expect(submissions.map(({ kind }) => kind).sort()).toEqual(['accepted', 'no_room']);
  });

  it('commits nothing of a cancelled submission', async () => {
    const { store, rows } = newTestStores();
    const submission = await store.submit(newRecord('a'), JOB, NO_LIMIT, {
      isCancelled: true,
      isCommitting: false,
    });

    expect(submission.kind).toBe('unavailable');
    expect(rows.size).toBe(0);
  });

  it('lists results by position and rejects an update based on a stale record', async () => {
    const { store } = newTestStores();
    const submission = await store.submit(newRecord('a'), JOB, NO_LIMIT);
    if (submission.kind !== 'accepted') throw new Error('the submission was not accepted');
    const { job } = submission;
    const results = [{ id: 'i2', state: 'succeeded' as const, output: 'text' }];
    const record = { ...job.record, listed: [1] };
    const first = await store.update(job, { record, results });
    const stale = await store.update(job, {
      record: { ...job.record, listed: [0] },
      results: [{ id: 'i1', state: 'succeeded', output: 'other' }],
    });

    expect(first).toMatchObject({ ok: true, value: { committed: true } });
    expect(stale).toMatchObject({ ok: true, value: { committed: false } });
    expect(await readResults(store, 'a')).toEqual(newOk(results));
  });

  it('stores a result that is too large for a record, and removes everything of a job', async () => {
    const { store, rows, objectContents } = newTestStores();
    const submission = await store.submit(newRecord('a'), JOB, NO_LIMIT);
    if (submission.kind !== 'accepted') throw new Error('the submission was not accepted');
    const { job } = submission;
    const output = 'x'.repeat(100_000);
    const results = [{ id: 'i1', state: 'succeeded' as const, output }];
    await store.update(job, { record: { ...job.record, listed: [0] }, results });
    const listed = await readResults(store, 'a');
    const stored = await store.read(newRecord('a'));
    if (!stored.ok || stored.value === undefined) throw new Error('the job is not stored');
    await store.remove(stored.value);

    expect(listed).toEqual(newOk(results));
    expect([...rows.keys()]).toEqual(['jobs/team/!route']);
    expect([...objectContents.keys()]).toEqual([]);
  });

  // Guards against review case 10: whoever needed one item read and held the items of the whole job.
  it('stores the items of a large job in objects of bounded size, of which one item needs one', async () => {
    const { store, objects, objectContents } = newTestStores();
    const items = Array.from({ length: 200 }, (_, index) => ({
      ...JOB.items[0]!,
      id: `i${index}`,
      body: Buffer.alloc(15_000, index),
    }));
    const record = { ...newRecord('a'), tokens: items.map(({ tokens }) => tokens) };
    const submission = await store.submit(record, { items }, NO_LIMIT);
    if (submission.kind !== 'accepted') throw new Error('the submission was not accepted');
    const sizes = [...objectContents.values()].map(({ length }) => length);
    const reader = newJobStore(newTestStores().records, objects);
    const summaries = await store.readItemSummaries(submission.job.record, NO_WAIT);
    const last = summaries.ok ? summaries.value.at(-1) : undefined;
    if (last === undefined) throw new Error('no items');
    const read = await reader.readItem(last, NO_WAIT);

    expect(sizes.length).toBeGreaterThan(10);
    expect(Math.max(...sizes)).toBeLessThan(300_000);
    expect(read.ok && read.value.item).toEqual(items[199]);
  });

  it('has the items of a job that an earlier release has stored, and not those of another job', async () => {
    const { store, records, objectContents } = newTestStores();
    const record = newRecord('a');
    const value = Buffer.from(JSON.stringify(record));
    const name = { table: 'jobs', partition: 'team', key: 'a' };
    await records.commit({ checks: [], writes: [{ ...name, value }] });
    const stored = JOB.items.map((item) => ({ ...item, body: item.body.toString('base64') }));
    objectContents.set('job-team-a', Buffer.from(JSON.stringify(stored)));
    const own = await readItems(store, 'a');
    const foreign = await store.readItemSummaries({ ...record, tokens: [100] }, NO_WAIT);

    expect(own).toEqual(newOk(JOB.items));
    expect(foreign.ok).toBe(false);
  });

  // Guards against review case 7: what a submission stored before its commit replaced an accepted job's items.
  it('keeps the items of the submission that was accepted, whatever others of the same id bring', async () => {
    const { store, objects, records } = newTestStores();
    const others = { items: JOB.items.map((item) => ({ ...item, id: `other-${item.id}` })) };
    const submissions = await Promise.all([
      store.submit(newRecord('a'), JOB, NO_LIMIT),
      store.submit(newRecord('a'), others, NO_LIMIT),
    ]);
    const accepted = submissions[0].kind === 'accepted' ? JOB : others;

    expect(submissions.map(({ kind }) => kind).sort()).toEqual(['accepted', 'known']);
    expect(await readItems(newJobStore(records, objects), 'a')).toEqual(newOk(accepted.items));
  });

  it('does not take the index of an earlier job of the same id', async () => {
    const { store, records } = newTestStores();
    const submission = await store.submit(newRecord('a'), JOB, NO_LIMIT);
    if (submission.kind !== 'accepted') throw new Error('the submission was not accepted');
    const { record } = submission.job;
    const stored = await readItems(newJobStore(records, newMemoryStore().objects), 'a');
    const later = { ...record, submittedMs: record.submittedMs + 1 };

    expect(stored.ok).toBe(false);
    expect((await store.readItemSummaries(record, NO_WAIT)).ok).toBe(true);
    expect((await store.readItemSummaries(later, NO_WAIT)).ok).toBe(false);
  });
});
