import fc from 'fast-check';
import { newSilentLogger, type Clock, type Timer } from '@anvilpaddle/common';
import type { JobCache } from '../jobs/jobCache';
import type { StoredJob } from '../jobs/jobRecords';
import { newJobStore } from '../jobs/jobStore';
import type { JobStore } from '../jobs/jobStoreTypes';
import { newOwnedJob, type OwnedJob } from '../jobs/ownedJob';
import type { ItemResult, ItemSummary, JobItem, JobRecord } from '../jobs/types';
import { COMMIT_FAULT, newMemoryStore, type CommitFault } from './kit/memoryStore';

const TEAM = 'team';
const JOB_ID = 'job';
const RECORD_NAME = `jobs/${TEAM}/${JOB_ID}`;

/** Clock whose timers fire on the next turn of the event loop, so that delays take no time. */
const newInstantClock = (): Clock => {
  const schedule = (action: () => void): Timer => {
    const handle = setImmediate(action);
    return { cancel: () => clearImmediate(handle) };
  };
  const every = (_: number, action: () => void): Timer => {
    let timer = schedule(() => undefined);
    const run = (): void => {
      timer = schedule(() => {
        run();
        action();
      });
    };
    run();
    return { cancel: () => timer.cancel() };
  };
  return {
    monotonic: () => 0,
    wall: () => 0,
    after: (_, action) => schedule(action),
    every,
  };
};

const newItems = (count: number): JobItem[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `i${index}`,
    path: '/p/',
    headers: [],
    body: Buffer.from([index]),
    tokens: 100,
  }));

/** What an owner keeps of items. */
const getSummaries = (items: readonly JobItem[]): ItemSummary[] =>
  items.map(({ id }, offset) => ({
    id,
    promptParts: [],
    segment: { object: 'items', bytes: 1 },
    offset,
  }));

const newRecord = (items: readonly JobItem[]): JobRecord => ({
  id: JOB_ID,
  team: TEAM,
  route: 'route',
  host: 'host',
  configVersion: 1,
  submittedMs: 0,
  tokens: items.map(({ tokens }) => tokens),
  owner: 'first',
  listed: [],
  failures: {},
  isEnded: false,
});

const EMPTY_CACHE: JobCache = {
  get: () => undefined,
  getAll: () => [],
  put: () => undefined,
  waitForChange: () => Promise.resolve(),
  isCurrent: () => true,
  getStoreMs: () => 0,
};

/** Lets the event loop turn often enough for pending commits to finish. */
const waitUntilIdle = async (turns = 60): Promise<void> => {
  for (let turn = 0; turn < turns; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

/** Result of an item as produced by one owner; the results of two owners differ. */
const getResult = (owner: string, { id }: ItemSummary): ItemResult => ({
  id,
  state: 'succeeded',
  output: `${id} by ${owner}`,
});

/** Adds a result for each pick of a pending item, and stores checkpoints now and then. */
const addSomeResults = (job: OwnedJob, owner: string, picks: readonly number[]): void =>
  picks.forEach((pick) => {
    const pending = job.getPendingItems();
    const chosen = pending[pick % Math.max(1, pending.length)];
    if (chosen !== undefined) job.addResult(chosen, getResult(owner, chosen.item));
    if (pick % 3 === 0) job.saveCheckpoints();
  });

/** Makes another gateway the owner, as a claim does; repeats until the store has committed it. */
const claim = async (store: JobStore, owner: string): Promise<StoredJob> => {
  for (;;) {
    const found = await store.read({ team: TEAM, id: JOB_ID });
    if (!found.ok || found.value === undefined) throw new Error('the job is not stored');
    if (found.value.record.owner === owner) return found.value;
    await store.update(found.value, { record: { ...found.value.record, owner } });
  }
};

const commitFaults = fc.array(fc.constantFrom<CommitFault>(...Object.values(COMMIT_FAULT)), {
  maxLength: 30,
});
const picks = fc.array(fc.nat(20), { maxLength: 10 });

describe('a job that another gateway claims from its owner', () => {
  it('lists each item once, at a position that never changes, under any commit faults', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 8 }),
        commitFaults,
        picks,
        picks,
        async (count, drawnFaults, firstPicks, latePicks) => {
          const remainingFaults = [...drawnFaults];
          const memory = newMemoryStore(() => remainingFaults.shift() ?? COMMIT_FAULT.none);
          const store = newJobStore(memory.records, memory.objects);
          const items = newItems(count);
          // The first faults hit the submission itself, which is repeated until it is accepted.
          for (;;) {
            const submission = await store.submit(
              newRecord(items),
              { items },
              { maxWaitingTokens: 0 },
            );
            if (submission.kind === 'accepted' || submission.kind === 'known') break;
          }
          const clock = newInstantClock();
          const newOwner = (self: string, stored: StoredJob): OwnedJob =>
            newOwnedJob(stored, { items: getSummaries(items), checkpoints: [] }, () => undefined, {
              store,
              jobCache: EMPTY_CACHE,
              self,
              clock,
              log: newSilentLogger(),
            });
          const submitted = await store.read({ team: TEAM, id: JOB_ID });
          if (!submitted.ok || submitted.value === undefined) throw new Error('job not stored');
          const first = newOwner('first', submitted.value);
          addSomeResults(first, 'first', firstPicks);
          await waitUntilIdle(10);
          const second = newOwner('second', await claim(store, 'second'));
          // The first owner has not yet noticed that another gateway has claimed the job.
          addSomeResults(first, 'first', latePicks);
          second
            .getPendingItems()
            .forEach((pending) => second.addResult(pending, getResult('second', pending.item)));
          await waitUntilIdle();

          const last = await store.read({ team: TEAM, id: JOB_ID });
          if (!last.ok || last.value === undefined) throw new Error('not readable');
          const page = await store.readResults(last.value.record, 0, 1_000_000, { timeoutMs: 0 });
          if (!page.ok) throw new Error('not readable');
          const { listed } = last.value.record;
          expect([...listed].sort((a, b) => a - b)).toEqual(items.map((_, index) => index));
          expect(page.value.results.map(({ id }) => id)).toEqual(
            listed.map((index) => `i${index}`),
          );
          memory.history.forEach((values, name) => {
            if (name.startsWith('results/')) expect(new Set(values).size).toBe(1);
            if (name !== RECORD_NAME) return;
            const lists = values.map((value) => (JSON.parse(value) as JobRecord).listed);
            lists.forEach((list, index) =>
              expect(list.slice(0, lists[index - 1]?.length ?? 0)).toEqual(lists[index - 1] ?? []),
            );
          });
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });
});

// Guards against review case 9: items that nobody can ask for any more filled the store, so that results found no room.
describe('items that are listed', () => {
  it('leave the store as soon as all of their segment are, and others stay', async () => {
    const memory = newMemoryStore();
    const store = newJobStore(memory.records, memory.objects);
    const items = newItems(3).map((item) => ({ ...item, body: Buffer.alloc(150_000) }));
    const submission = await store.submit(newRecord(items), { items }, { maxWaitingTokens: 0 });
    if (submission.kind !== 'accepted') throw new Error(submission.kind);
    const { record } = submission.job;
    const summaries = await store.readItemSummaries(record, { timeoutMs: 0 });
    if (!summaries.ok) throw new Error('no items');
    const job = newOwnedJob(
      submission.job,
      { items: summaries.value, checkpoints: [] },
      () => undefined,
      {
        store,
        jobCache: EMPTY_CACHE,
        self: 'first',
        clock: newInstantClock(),
        log: newSilentLogger(),
      },
    );
    const objects = [...memory.objectContents.keys()];
    const listFirst = async (): Promise<string[]> => {
      const [pending] = job.getPendingItems();
      if (pending !== undefined) job.addResult(pending, getResult('first', pending.item));
      await waitUntilIdle();
      return [...memory.objectContents.keys()];
    };

    expect(objects).toHaveLength(3);
    expect(await listFirst()).toEqual(objects.slice(1));
    expect(await listFirst()).toEqual(objects.slice(2));
    expect(await listFirst()).toEqual([]);
  });
});

// Guards against review/13 over an upgrade: earlier versions stored foreign text with an item's output.
describe('an item with a stored checkpoint', () => {
  it.each([
    ['goes on after it if it has just the events up to the last one', 2, ['a\nb'], '2'],
    ['begins anew if it has more', 3, [], undefined],
    ['begins anew if it has fewer', 1, [], undefined],
  ])('%s', async (_, events, texts, lastEventId) => {
    const memory = newMemoryStore();
    const store = newJobStore(memory.records, memory.objects);
    const items = newItems(1);
    const submission = await store.submit(newRecord(items), { items }, { maxWaitingTokens: 0 });
    if (submission.kind !== 'accepted') throw new Error(submission.kind);
    const checkpoint = { index: 0, text: 'a\nb', events, runMs: 100, lastEventId: '2' };
    const job = newOwnedJob(
      submission.job,
      { items: getSummaries(items), checkpoints: [checkpoint] },
      () => undefined,
      {
        store,
        jobCache: EMPTY_CACHE,
        self: 'first',
        clock: newInstantClock(),
        log: newSilentLogger(),
      },
    );

    expect(job.getPendingItems()).toMatchObject([{ texts, lastEventId }]);
  });
});
