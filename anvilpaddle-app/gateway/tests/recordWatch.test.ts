import { ManualClock, newOk, newSilentLogger } from '@anvilpaddle/common';
import type { RecordPage, RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch } from '../recordWatch';

const STEP_MS = 10;

const newRecord = (revision: number): StoredRecord => ({
  table: 't',
  partition: '',
  key: `k${revision}`,
  revision,
  value: Buffer.from('{}'),
});

/** Store with one record a revision; a watch is answered as soon as there is a newer one. */
const newStore = () => {
  let revision = 1;
  let watches = 0;
  /** Revision that the first responses after it don't have yet. */
  let lateRevision: number | undefined;
  const wakers = new Set<() => void>();

  const getPage = (afterRevision: number): RecordPage => {
    const records = Array.from({ length: revision - afterRevision }, (_, index) =>
      newRecord(afterRevision + index + 1),
    ).filter((record) => record.revision !== lateRevision);
    lateRevision = undefined;
    return { revision, storeMs: 0, records };
  };

  const waitForChange = (afterRevision: number): Promise<void> =>
    new Promise((resolve) => {
      if (revision > afterRevision) resolve();
      else wakers.add(resolve);
    });

  const store: RecordStore = {
    read: () => Promise.resolve(newOk(getPage(0))),
    partitions: () => Promise.resolve(newOk([])),
    commit: () => Promise.reject(new Error('not used')),
    watch: async (_, afterRevision) => {
      watches += 1;
      await waitForChange(afterRevision);
      return newOk(getPage(afterRevision));
    },
  };
  const change = (): void => {
    revision += 1;
    wakers.forEach((wake) => wake());
    wakers.clear();
  };
  /** Assigns a revision to a change that the next response does not have yet. */
  const commitLate = (): void => {
    revision += 1;
    lateRevision = revision;
  };
  return { store, change, commitLate, getWatches: () => watches };
};

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
};

const startWatch = async () => {
  const clock = new ManualClock();
  const { store, change, commitLate, getWatches } = newStore();
  const seen: string[] = [];
  const watch = newRecordWatch(
    store,
    { table: 't', hasPartitions: false, readIntervalMs: 60_000, isWatched: true },
    ({ records }) => seen.push(...records.map(({ key }) => key)),
    clock,
    newSilentLogger(),
  );
  await settle();
  return { clock, change, commitLate, getWatches, seen, watch };
};

describe('watch of a table', () => {
  it('bounds its calls to the store while changes follow one another closely', async () => {
    const { clock, change, getWatches, seen, watch } = await startWatch();
    for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += STEP_MS) {
      change();
      await settle();
      clock.advance(STEP_MS);
      await settle();
    }
    watch.stop();

    expect(getWatches()).toBeLessThanOrEqual(5);
    // All changes but those of the current interval have arrived, each of them once.
    expect(seen.length).toBeGreaterThanOrEqual(75);
    expect(new Set(seen).size).toBe(seen.length);
  });

  it('passes on a change that was still being committed when a later revision was read', async () => {
    const { clock, change, commitLate, seen, watch } = await startWatch();
    commitLate();
    change();
    await settle();
    clock.advance(500);
    await settle();
    watch.stop();

    expect(seen).toEqual(['k1', 'k3', 'k2']);
  });

  it('passes on a single change at once', async () => {
    const { clock, change, seen, watch } = await startWatch();
    clock.advance(500);
    await settle();
    change();
    await settle();
    watch.stop();

    expect(seen).toEqual(['k1', 'k2']);
  });
});
