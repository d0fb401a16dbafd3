import { ManualClock, newFailure, newOk, newSilentLogger } from '@anvilpaddle/common';
import { newItemFetcher } from '../jobs/itemFetcher';
import type { ReadyItem } from '../jobs/itemSelection';
import type { JobStore } from '../jobs/jobStoreTypes';
import type { ItemSummary } from '../jobs/types';

const settle = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Items of which each is in a segment of its own; those with a lower number are due sooner. */
const newReadyItems = (count: number): ReadyItem[] =>
  Array.from({ length: count }, (_, index) => ({
    pending: { item: { id: `i${index}`, segment: { object: `s${index}`, bytes: 1 }, offset: 0 } },
    dueMs: 1000 + index,
    remainingMs: 100,
    hasBegun: false,
  })) as unknown as ReadyItem[];

/** A fetcher on a store that reads what is asked for at once, or fails. */
const newScene = (isLost: (id: string) => boolean = () => false) => {
  const clock = new ManualClock();
  const inMemory = new Set<string>();
  const fetched: string[] = [];
  const store = {
    isItemInMemory: ({ id }: ItemSummary) => inMemory.has(id),
    getItemInMemory: (item: ItemSummary) => (inMemory.has(item.id) ? item : undefined),
    fetchItem: ({ id }: ItemSummary) => {
      fetched.push(id);
      if (isLost(id)) return Promise.resolve(newFailure({ kind: 'unavailable', detail: 'down' }));
      inMemory.add(id);
      return Promise.resolve(newOk(undefined));
    },
  };
  const fetcher = newItemFetcher(store as unknown as JobStore, clock, newSilentLogger());
  return { clock, fetcher, fetched };
};

describe('the items that start next', () => {
  it('are brought into memory, the most urgent first, and no others', async () => {
    const { fetcher, fetched } = newScene();
    const items = newReadyItems(100).reverse();
    for (let tick = 0; tick < 20; tick += 1) {
      fetcher.fetchNext(items, 0);
      await settle();
    }

    expect(fetched).toEqual(Array.from({ length: 8 }, (_, index) => `i${index}`));
  });

  it('are not asked for again at once while the store is away', async () => {
    const { clock, fetcher, fetched } = newScene(() => true);
    for (let tick = 0; tick < 10; tick += 1) {
      fetcher.fetchNext(newReadyItems(100), 0);
      await settle();
      clock.advance(30);
    }

    expect(fetched).toHaveLength(4);
  });

  it('get their turn although more urgent ones can’t be read', async () => {
    const { clock, fetcher, fetched } = newScene((id) => Number(id.slice(1)) < 20);
    for (let tick = 0; tick < 100; tick += 1) {
      fetcher.fetchNext(newReadyItems(30), 0);
      await settle();
      clock.advance(30);
    }

    expect(fetched).toContain('i20');
  });
});
