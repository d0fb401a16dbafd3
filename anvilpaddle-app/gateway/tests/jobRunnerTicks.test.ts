import { ManualClock, newOk, newSilentLogger } from '@anvilpaddle/common';
import type { StoredJob } from '../jobs/jobRecords';
import { newJobRunner, type JobRunnerDependencies } from '../jobs/jobRunner';
import type { ItemSummary } from '../jobs/types';

const SELF = 'gw-self';
const TICK_INTERVAL_MS = 30;
const ITEM: ItemSummary = {
  id: 'i1',
  promptParts: [],
  segment: { object: 'items', bytes: 1 },
  offset: 0,
};

const newJob = (isEnded: boolean): StoredJob => ({
  revision: isEnded ? 2 : 1,
  record: {
    id: 'job',
    team: 'team',
    route: 'jobs',
    host: 'site.example',
    configVersion: 1,
    submittedMs: 0,
    tokens: [1],
    owner: SELF,
    listed: [],
    failures: {},
    isEnded,
  },
});

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Runner without a configuration, so that it starts no item; each tick reports the items once. */
const startRunner = () => {
  const clock = new ManualClock();
  let ticks = 0;
  const dependencies = {
    self: SELF,
    store: {
      readItemSummaries: () => Promise.resolve(newOk([ITEM])),
      prefetchItems: () => Promise.resolve(),
      forgetItems: () => undefined,
      readCheckpoints: () => Promise.resolve(newOk([])),
    },
    jobs: { get: () => undefined, getAll: () => [], getStoreMs: () => 0 },
    isViewCurrent: () => false,
    getListRevision: () => Infinity,
    configWatch: { current: () => undefined, areKeysFresh: () => false },
    items: {
      setOwn: () => {
        ticks += 1;
      },
    },
    clock,
    random: () => 0,
    log: newSilentLogger(),
  };
  const runner = newJobRunner(dependencies as unknown as JobRunnerDependencies);
  const countTicks = (durationMs: number): number => {
    const before = ticks;
    clock.advance(durationMs);
    return ticks - before;
  };
  return { runner, countTicks };
};

describe('job runner', () => {
  it('ticks only while its gateway owns a job', async () => {
    const { runner, countTicks } = startRunner();
    expect(countTicks(10 * TICK_INTERVAL_MS)).toBe(0);

    runner.onJobChange(newJob(false));
    await settle();
    expect(countTicks(10 * TICK_INTERVAL_MS)).toBe(10);

    runner.onJobChange(newJob(true));
    // One more tick reports that no item is left.
    expect(countTicks(10 * TICK_INTERVAL_MS)).toBe(1);

    runner.onJobChange(newJob(false));
    await settle();
    expect(countTicks(10 * TICK_INTERVAL_MS)).toBe(10);
  });
});
