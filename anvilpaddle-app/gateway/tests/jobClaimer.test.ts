import { setTimeout as sleep } from 'node:timers/promises';
import { loadHashing, newSilentLogger, SystemClock } from '@anvilpaddle/common';
import { waitFor } from 'anvilpaddle-app/tests/kit/waitFor';
import type { JobCache } from '../jobs/jobCache';
import { newJobClaimer } from '../jobs/jobClaimer';
import type { StoredJob } from '../jobs/jobRecords';
import { newJobStore } from '../jobs/jobStore';
import type { JobItem, JobRecord } from '../jobs/types';
import { newMemoryStore } from './kit/memoryStore';

const TEAM = 'team';
const SELF = 'self';
const ITEM: JobItem = { id: 'i1', path: '/p/', headers: [], body: Buffer.from('b'), tokens: 1 };
const RECORD: JobRecord = {
  id: 'job',
  team: TEAM,
  route: 'route',
  host: 'host',
  configVersion: 1,
  submittedMs: 0,
  tokens: [ITEM.tokens],
  owner: SELF,
  listed: [],
  failures: {},
  isEnded: false,
};

beforeAll(loadHashing);

/** Time in which a claimer that may take a job has done so. */
const CLAIM_MS = 700;

/** A claimer on an empty store, and the job that its gateway accepts. */
const newScene = (owner = SELF) => {
  let listRevision = 0;
  const cached: StoredJob[] = [];
  const clock = new SystemClock();
  const log = newSilentLogger();
  const memory = newMemoryStore();
  const store = newJobStore(memory.records, memory.objects);
  const jobCache: JobCache = {
    get: () => undefined,
    getAll: () => cached,
    put: () => undefined,
    waitForChange: () => Promise.resolve(),
    isCurrent: () => true,
    getStoreMs: () => 0,
  };
  const claimer = newJobClaimer(
    {
      self: SELF,
      store,
      jobs: jobCache,
      getEligibleOwners: () => [SELF],
      isAlive: (other) => other === SELF,
      isViewCurrent: () => true,
      getListRevision: () => listRevision,
      retentionMs: 1000,
      clock,
      log,
    },
    { onOwned: () => undefined, onReleased: () => undefined },
  );
  const accept = async (): Promise<StoredJob> => {
    const submission = await store.submit(
      { ...RECORD, owner },
      { items: [ITEM] },
      { maxWaitingTokens: 0 },
    );
    if (submission.kind !== 'accepted') throw new Error(submission.kind);
    cached.push(submission.job);
    return submission.job;
  };
  const getOwner = async (): Promise<string | undefined> => {
    const job = await store.read(RECORD);
    return job.ok ? job.value?.record.owner : 'the store does not answer';
  };
  const readList = (revision: number): void => {
    listRevision = revision;
  };
  return { claimer, accept, getOwner, readList };
};

describe('a job of a gateway that its peers don’t know', () => {
  it('is claimed only once they have read the list of gateways after it was stored', async () => {
    const { claimer, accept, getOwner, readList } = newScene('started just now');
    const { revision } = await accept();
    readList(revision - 1);
    await sleep(CLAIM_MS);
    const ownerBefore = await getOwner();
    readList(revision);
    await waitFor('a claimed job', async () => (await getOwner()) === SELF, 2000);
    claimer.stopClaiming();

    expect(ownerBefore).toBe('started just now');
  });
});

describe('a job that a gateway accepts while it begins to stop', () => {
  it('is left to the other gateways when it is stored after the hand-over', async () => {
    const { claimer, accept, getOwner } = newScene();
    claimer.stopClaiming();
    await claimer.handOver();
    claimer.onJobChange(await accept());

    await waitFor('a job without an owner', async () => (await getOwner()) === undefined, 2000);
  });

  it('is left to the other gateways when its items are read during the hand-over', async () => {
    const { claimer, accept, getOwner } = newScene();
    const job = await accept();
    claimer.onJobChange(job);
    claimer.stopClaiming();
    await claimer.handOver();

    await waitFor('a job without an owner', async () => (await getOwner()) === undefined, 2000);
  });
});
