/**
 * Reads segments of items when one of them runs or is asked for, so that no gateway needs to hold the items of a
 * whole job. Reads of the same segment at the same time are one.
 */
import {
  newFailure,
  newOk,
  type Result,
  type Room,
  type RoomWait,
  type StoredRooms,
} from '@anvilpaddle/common';
import type { ObjectStore, PlatformError } from '@anvilpaddle/platform';
import { parseItems } from './jobRecords';
import type { SegmentCache } from './segmentCache';
import type { ItemSegment, ItemSummary, JobItem } from './types';

/** Bytes that reading an object holds for each of its own: the object, its text, the JSON and the bodies. */
export const OBJECT_COPIES = 4;

/** An item with the room that it holds until its reader releases it. */
export interface HeldItem {
  readonly item: JobItem;
  readonly room: Room;
}

/** Reader of segments. All reads reject with `NoRoomError` if there is no room in time. */
export interface SegmentReader {
  /** Uses the items of a segment with the room that they hold, which the user releases if it succeeds. */
  read<T>(
    segment: ItemSegment,
    wait: RoomWait,
    use: (items: readonly JobItem[], room: Room) => Result<T, PlatformError>,
  ): Promise<Result<T, PlatformError>>;
  readItem(summary: ItemSummary, wait: RoomWait): Promise<Result<HeldItem, PlatformError>>;
  /** One item, if it is in memory. */
  getInMemory(summary: ItemSummary): JobItem | undefined;
  isInMemory(summary: ItemSummary): boolean;
  /** Reads an item and its neighbours into memory, in place of others. */
  fetch(summary: ItemSummary, wait: RoomWait): Promise<Result<void, PlatformError>>;
  /** Reads items into memory as far as there is room for them. */
  prefetch(summaries: readonly ItemSummary[], wait: RoomWait): Promise<void>;
  /** Keeps submitted items in memory, as far as there is room, for this gateway to run them. */
  keep(summaries: readonly ItemSummary[], items: readonly JobItem[]): void;
  /** Keeps segments no longer in memory. */
  forget(segments: readonly ItemSegment[]): void;
}

/** The different segments of items, in order. */
export const getSegments = (summaries: readonly ItemSummary[]): ItemSegment[] => [
  ...new Map(summaries.map(({ segment }) => [segment.object, segment])).values(),
];

/** Error of a stored value that is not what it should be. */
export const newInvalidError = (
  detail: string,
): { readonly ok: false; readonly error: PlatformError } =>
  newFailure({ kind: 'invalid_answer', detail });

/** Creates a reader. */
export const newSegmentReader = (
  objects: ObjectStore,
  rooms: StoredRooms,
  cache: SegmentCache,
): SegmentReader => {
  /** Reads that are under way, by object. */
  const loading = new Map<string, Promise<Result<readonly JobItem[], PlatformError>>>();

  /** Reads a segment; the caller holds the room for it. */
  const load = async (segment: ItemSegment): Promise<Result<readonly JobItem[], PlatformError>> => {
    const { object, bytes } = segment;
    const content = await objects.get(object, { expectedBytes: bytes });
    if (!content.ok) return content;
    if (content.value === undefined) return newInvalidError(`object ${object} is missing`);
    const items = parseItems(content.value);
    if (items === undefined) return newInvalidError(`${object} can not be parsed`);
    // What callers read must not displace what runs next.
    if (cache.hasRoomFor(segment)) cache.put(segment, items);
    return newOk(items);
  };

  /** Items of a segment: those in memory, of a read that is under way, or of a new one. */
  const getItems = (
    segment: ItemSegment,
    room: Room,
  ): Promise<Result<readonly JobItem[], PlatformError>> => {
    const cached = cache.get(segment);
    if (cached !== undefined) return Promise.resolve(newOk(cached));
    const underWay = loading.get(segment.object);
    if (underWay !== undefined) {
      room.shrinkTo(segment.bytes);
      return underWay;
    }
    const started = load(segment).finally(() => loading.delete(segment.object));
    loading.set(segment.object, started);
    return started;
  };

  const isAtHand = (segment: ItemSegment): boolean =>
    cache.has(segment) || loading.has(segment.object);

  const read: SegmentReader['read'] = async (segment, wait, use) => {
    const room = await rooms.take(segment.bytes * (isAtHand(segment) ? 1 : OBJECT_COPIES), wait);
    try {
      const items = await getItems(segment, room);
      const used = items.ok ? use(items.value, room) : items;
      if (!used.ok) room.release();
      return used;
    } catch (error) {
      room.release();
      throw error;
    }
  };

  const readItem: SegmentReader['readItem'] = (summary, wait) =>
    read(summary.segment, wait, (items, room) => {
      const item = items[summary.offset];
      if (item?.id !== summary.id) {
        return newInvalidError(`${summary.segment.object} does not have item ${summary.id}`);
      }
      room.shrinkTo(item.body.length);
      return newOk({ item, room });
    });

  const fetch: SegmentReader['fetch'] = ({ segment }, wait) =>
    read(segment, wait, (items, room) => {
      cache.put(segment, items);
      room.release();
      return newOk(undefined);
    });

  const prefetch: SegmentReader['prefetch'] = async (summaries, wait) => {
    for (const segment of getSegments(summaries)) {
      if (!cache.hasRoomFor(segment)) return;
      if (isAtHand(segment)) continue;
      const prefetched = await read(segment, wait, (_, room) => {
        room.release();
        return newOk(undefined);
      });
      if (!prefetched.ok) return;
    }
  };

  return {
    read,
    readItem,
    getInMemory: ({ segment, offset, id }) => {
      const item = cache.get(segment)?.[offset];
      return item?.id === id ? item : undefined;
    },
    isInMemory: ({ segment }) => cache.has(segment),
    fetch,
    prefetch,
    keep: (summaries, items) =>
      getSegments(summaries).forEach((segment) => {
        if (!cache.hasRoomFor(segment)) return;
        cache.put(
          segment,
          items.filter((_, index) => summaries[index]?.segment.object === segment.object),
        );
      }),
    forget: (segments) => segments.forEach(cache.forget),
  };
};
