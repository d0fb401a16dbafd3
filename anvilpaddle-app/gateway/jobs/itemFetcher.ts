/** Brings the items that start next into memory: an owner keeps only what of its jobs has room there. */
import { getErrorMessage, MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import { compareUrgency } from '@anvilpaddle/decisions';
import { getPlatformErrorMessage } from '@anvilpaddle/platform';
import type { ReadyItem } from './itemSelection';
import type { JobStore } from './jobStoreTypes';
import type { ItemSummary } from './types';

/** Number of objects with items that are read at a time. */
const MAX_FETCHES = 4;
/** Pause of all reads after one that failed. */
const FAILURE_PAUSE_MS = 300;
/** Pause of an object that could not be read, in which others get their turn. */
const OBJECT_PAUSE_MS = 2 * MS_PER_SECOND;
/** Longest wait for room. */
const ROOM_TIMEOUT_MS = 2 * MS_PER_SECOND;

/** Number of the most urgent items that are brought into memory and stay there. */
const MAX_AHEAD = 8;

/** Fetcher of items. */
export interface ItemFetcher {
  isInMemory(ready: ReadyItem): boolean;
  /** Starts to read those of the most urgent items that are not in memory. */
  fetchNext(items: readonly ReadyItem[], storeMs: number): void;
}

/** The most urgent items, in order. */
const getMostUrgent = (items: readonly ReadyItem[], storeMs: number): ReadyItem[] => {
  const first: ReadyItem[] = [];
  items.forEach((item) => {
    const last = first[MAX_AHEAD - 1];
    if (last !== undefined && compareUrgency(item, last, storeMs) >= 0) return;
    const place = first.findIndex((other) => compareUrgency(item, other, storeMs) < 0);
    first.splice(place === -1 ? first.length : place, 0, item);
    first.splice(MAX_AHEAD);
  });
  return first;
};

/** Creates a fetcher. */
export const newItemFetcher = (
  store: Pick<JobStore, 'isItemInMemory' | 'getItemInMemory' | 'fetchItem'>,
  clock: Clock,
  log: Logger,
): ItemFetcher => {
  /** Objects that are being read. */
  const fetching = new Set<string>();
  /** Times before which objects that could not be read are left alone. */
  const pausedUntilMs = new Map<string, number>();
  let notBeforeMs = 0;

  const isPaused = ({ pending }: ReadyItem, nowMs: number): boolean => {
    const { object } = pending.item.segment;
    const untilMs = pausedUntilMs.get(object);
    if (untilMs !== undefined && untilMs <= nowMs) pausedUntilMs.delete(object);
    return untilMs !== undefined && untilMs > nowMs;
  };

  const fetch = async (summary: ItemSummary): Promise<void> => {
    const { object } = summary.segment;
    fetching.add(object);
    try {
      const fetched = await store.fetchItem(summary, { timeoutMs: ROOM_TIMEOUT_MS });
      if (fetched.ok) return;
      log.info({ object, reason: getPlatformErrorMessage(fetched.error) }, 'items not read');
    } catch (error) {
      log.info({ object, reason: getErrorMessage(error) }, 'items not read');
    } finally {
      fetching.delete(object);
    }
    const nowMs = clock.monotonic();
    notBeforeMs = nowMs + FAILURE_PAUSE_MS;
    pausedUntilMs.set(object, nowMs + OBJECT_PAUSE_MS);
  };

  return {
    isInMemory: ({ pending }) => store.isItemInMemory(pending.item),
    fetchNext: (items, storeMs) => {
      const nowMs = clock.monotonic();
      if (nowMs < notBeforeMs) return;
      const readable =
        pausedUntilMs.size === 0 ? items : items.filter((item) => !isPaused(item, nowMs));
      getMostUrgent(readable, storeMs).forEach(({ pending: { item } }) => {
        // The look-up counts as a use, so that the item stays in memory.
        if (store.getItemInMemory(item) !== undefined) return;
        if (fetching.size < MAX_FETCHES && !fetching.has(item.segment.object)) void fetch(item);
      });
    },
  };
};
