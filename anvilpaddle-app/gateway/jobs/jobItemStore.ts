/**
 * Stores the items of jobs in segments: objects of bounded size with successive items, and one record with the
 * index of all.
 */
import {
  BYTES_PER_KIB,
  BYTES_PER_MIB,
  MS_PER_SECOND,
  newOk,
  type Result,
  type RoomWait,
  type StoredRooms,
} from '@anvilpaddle/common';
import type { ObjectStore, PlatformError, RecordStore } from '@anvilpaddle/platform';
import {
  getItemIndexName,
  getItemIndexObjectName,
  getOldItemsObjectName,
  getSegmentObjectName,
  isOldItemsObject,
} from './jobNames';
import {
  getIndexedItems,
  newItemIndex,
  parseItemIndex,
  parseItemIndexRecord,
  serializeItems,
  serializeJson,
  type ObjectPointer,
  type StoredItemIndex,
} from './jobRecords';
import { getSegments, newInvalidError, OBJECT_COPIES, type SegmentReader } from './segmentReader';
import type { ItemSegment, ItemSummary, JobItem, JobRecord } from './types';

/** Size up to which successive items share a segment. */
const MAX_SEGMENT_BYTES = 256 * BYTES_PER_KIB;
/** Size of an item in an index, with an id and some parts of its prompt. */
const USUAL_SUMMARY_BYTES = 200;
/** Removals wait for room, and are tried again. */
const REMOVAL_WAIT: RoomWait = { timeoutMs: 5 * MS_PER_SECOND };
/** Number of objects of a job that are stored at a time. */
const MAX_PARALLEL_PUTS = 4;
/** Size limit of an index that is stored in its record. */
const MAX_INLINE_INDEX_BYTES = 40_000;
/** Size that is assumed for the object in which earlier releases stored all items of a job. */
const UNKNOWN_BYTES = 8 * BYTES_PER_MIB;

/** Items in the store. */
export interface StoredItems {
  readonly summaries: readonly ItemSummary[];
  readonly index: StoredItemIndex;
}

/** Access to the stored items of jobs. */
export interface JobItemStore {
  /** Stores the items; they become those of the job with the record of the index. */
  put(record: JobRecord, items: readonly JobItem[]): Promise<Result<StoredItems, PlatformError>>;
  /** Summaries of a job's items. Rejects with `NoRoomError`. */
  readSummaries(
    record: JobRecord,
    wait: RoomWait,
  ): Promise<Result<readonly ItemSummary[], PlatformError>>;
  /** Removes a segment whose items are all listed, unless other jobs may have items in it. */
  removeSegment(segment: ItemSegment): Promise<Result<void, PlatformError>>;
  /** Removes the objects with a job's items and their index. */
  removeObjects(record: JobRecord): Promise<Result<void, PlatformError>>;
}

/** What the store of items works on. */
export interface JobItemStoreDependencies {
  readonly records: RecordStore;
  readonly objects: ObjectStore;
  readonly rooms: StoredRooms;
  readonly segments: SegmentReader;
  readonly getPromptParts: (item: JobItem) => readonly string[];
}

/** Approximate size of a stored item. */
const getStoredBytes = ({ id, path, headers, body }: JobItem): number =>
  id.length + path.length + headers.join().length + (body.length * 4) / 3;

/** Successive items in groups of bounded size; one that is larger has a group of its own. */
const splitItems = (items: readonly JobItem[]): JobItem[][] => {
  const groups: JobItem[][] = [];
  let bytes = Infinity;
  items.forEach((item) => {
    const itemBytes = getStoredBytes(item);
    if (bytes + itemBytes > MAX_SEGMENT_BYTES) {
      groups.push([]);
      bytes = 0;
    }
    bytes += itemBytes;
    groups.at(-1)?.push(item);
  });
  return groups;
};

/** Creates the store of items. */
export const newJobItemStore = ({
  records,
  objects,
  rooms,
  segments,
  getPromptParts,
}: JobItemStoreDependencies): JobItemStore => {
  const putSegment = async (
    record: JobRecord,
    index: number,
    items: readonly JobItem[],
  ): Promise<Result<readonly ItemSummary[], PlatformError>> => {
    const content = serializeItems(items);
    const object = getSegmentObjectName(record, index, content);
    const stored = await objects.put(object, content);
    if (!stored.ok) return stored;
    const segment = { object, bytes: content.length };
    return newOk(
      items.map((item, offset) => ({
        id: item.id,
        promptParts: getPromptParts(item),
        segment,
        offset,
      })),
    );
  };

  /** Index of items; stores one that is too large for its record in an object. */
  const putIndex = async (
    record: JobRecord,
    summaries: readonly ItemSummary[],
  ): Promise<Result<StoredItemIndex, PlatformError>> => {
    const index = newItemIndex(summaries);
    const content = serializeJson(index);
    if (content.length <= MAX_INLINE_INDEX_BYTES) return newOk(index);
    const object = getItemIndexObjectName(record, content);
    const stored = await objects.put(object, content);
    return stored.ok ? newOk({ object, bytes: content.length }) : stored;
  };

  const put: JobItemStore['put'] = async (record, items) => {
    const groups = splitItems(items);
    const summaries: ItemSummary[] = [];
    for (let start = 0; start < groups.length; start += MAX_PARALLEL_PUTS) {
      const batch = groups.slice(start, start + MAX_PARALLEL_PUTS);
      const stored = await Promise.all(
        batch.map((group, offset) => putSegment(record, start + offset, group)),
      );
      for (const segment of stored) {
        if (!segment.ok) return segment;
        summaries.push(...segment.value);
      }
    }
    const index = await putIndex(record, summaries);
    return index.ok ? newOk({ summaries, index: index.value }) : index;
  };

  /** Summaries of a job whose items an earlier release stored in one object. */
  const readUnindexed = (
    record: JobRecord,
    wait: RoomWait,
  ): Promise<Result<readonly ItemSummary[], PlatformError>> => {
    const segment = { object: getOldItemsObjectName(record), bytes: UNKNOWN_BYTES };
    return segments.read(segment, wait, (items, room) => {
      room.release();
      const isOfJob =
        items.length === record.tokens.length &&
        items.every((item, index) => item.tokens === record.tokens[index]);
      if (!isOfJob) return newInvalidError(`${segment.object} has the items of another job`);
      return newOk(
        items.map((item, offset) => ({
          id: item.id,
          promptParts: getPromptParts(item),
          segment,
          offset,
        })),
      );
    });
  };

  /** Reads with room for all copies, which it gives back. */
  const readInRoom = async <T>(
    bytes: number,
    wait: RoomWait,
    read: () => Promise<T>,
  ): Promise<T> => {
    const room = await rooms.take(OBJECT_COPIES * bytes, wait);
    return read().finally(room.release);
  };

  /** The index in a job's record of it; undefined if an earlier release has stored the job. */
  const readIndex = (
    record: JobRecord,
    wait: RoomWait,
  ): Promise<Result<StoredItemIndex | undefined, PlatformError>> => {
    const { table, partition, key } = getItemIndexName(record);
    const usualBytes = record.tokens.length * USUAL_SUMMARY_BYTES;
    return readInRoom(Math.min(usualBytes, MAX_INLINE_INDEX_BYTES), wait, async () => {
      const page = await records.read(table, partition, { from: key, to: `${key}\u0000` });
      if (!page.ok) return page;
      const value = page.value.records.find((found) => found.key === key)?.value;
      return newOk(value && parseItemIndexRecord(record, value));
    });
  };

  const readIndexObject = (
    { object, bytes }: ObjectPointer,
    wait: RoomWait,
  ): Promise<Result<readonly ItemSummary[], PlatformError>> =>
    readInRoom(bytes, wait, async () => {
      const content = await objects.get(object, { expectedBytes: bytes });
      if (!content.ok) return content;
      const index = content.value && parseItemIndex(content.value);
      return index === undefined
        ? newInvalidError(`${object} is missing or can not be parsed`)
        : newOk(getIndexedItems(index));
    });

  const readSummaries: JobItemStore['readSummaries'] = async (record, wait) => {
    const index = await readIndex(record, wait);
    if (!index.ok) return index;
    if (index.value === undefined) return readUnindexed(record, wait);
    const items =
      'object' in index.value
        ? await readIndexObject(index.value, wait)
        : newOk(getIndexedItems(index.value));
    return items.ok && items.value.length !== record.tokens.length
      ? newInvalidError(`the index of job ${record.id} has ${items.value.length} items`)
      : items;
  };

  /** Names of all objects with items of a job, and of one with their index. */
  const getObjectNames = async (record: JobRecord): Promise<Result<string[], PlatformError>> => {
    const index = await readIndex(record, REMOVAL_WAIT);
    if (!index.ok) return index;
    if (index.value === undefined) return newOk([getOldItemsObjectName(record)]);
    if (!('object' in index.value)) {
      return newOk(index.value.segments.map(({ object }) => object));
    }
    const items = await readIndexObject(index.value, REMOVAL_WAIT);
    if (!items.ok) return items;
    return newOk([...getSegments(items.value).map(({ object }) => object), index.value.object]);
  };

  const removeObjects: JobItemStore['removeObjects'] = async (record) => {
    const names = await getObjectNames(record);
    if (!names.ok) return names;
    for (const name of names.value) {
      const removed = await objects.remove(name);
      if (!removed.ok) return removed;
    }
    return newOk(undefined);
  };

  return {
    put,
    readSummaries,
    removeSegment: async (segment) => {
      segments.forget([segment]);
      return isOldItemsObject(segment.object) ? newOk(undefined) : objects.remove(segment.object);
    },
    removeObjects,
  };
};
