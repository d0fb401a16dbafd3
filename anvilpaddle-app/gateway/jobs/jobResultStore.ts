/** Stores the results of jobs: one record each, and an object for one that is too large for its record. */
import {
  BYTES_PER_MIB,
  newFailure,
  newOk,
  type Result,
  type Room,
  type RoomWait,
  type StoredRooms,
} from '@anvilpaddle/common';
import type {
  ObjectStore,
  PlatformError,
  RecordReadOptions,
  RecordStore,
  RecordWrite,
} from '@anvilpaddle/platform';
import {
  getLargeResultObjectName,
  getPositionRange,
  getResultName,
  isPositionOf,
  type JobName,
} from './jobNames';
import {
  parseItemResult,
  parseStoredResult,
  serializeJson,
  type ResultPointer,
  type StoredResult,
} from './jobRecords';
import type { ItemResult, JobRecord } from './types';

/** Size limit of results that are stored in their record; larger ones go into an object. */
const MAX_INLINE_RESULT_BYTES = 40_000;
/** Size of a response of the store with records. */
const MAX_PAGE_BYTES = 1_000_000;
/** Bytes that reading records holds for each of theirs: the response, its text, JSON, values, results, the answer. */
const RECORD_COPIES = 6;
/** Bytes that reading an object holds for each of its own: the object, its text, the result, the answer. */
const OBJECT_COPIES = 4;
/** Size that is assumed for an object that an earlier release stored. */
const UNKNOWN_BYTES = 4 * BYTES_PER_MIB;

/** Results with the room that they hold until their reader releases it. */
export interface HeldResults {
  readonly results: readonly ItemResult[];
  readonly room: Room;
}

/** Access to the stored results of jobs. */
export interface JobResultStore {
  /** Prepares the write of a result's record; stores a large result in an object first. */
  prepareWrite(
    record: JobRecord,
    result: ItemResult,
    position: number,
  ): Promise<Result<RecordWrite, PlatformError>>;
  /**
   * Results from a position on, up to `maxBytes` and to what one response of the store has; the first one is
   * included whatever its size. Rejects with `NoRoomError`.
   */
  read(
    record: JobRecord,
    from: number,
    maxBytes: number,
    wait: RoomWait,
  ): Promise<Result<HeldResults, PlatformError>>;
  /** Removes the objects of all results that are too large for their records. */
  removeObjects(job: JobName): Promise<Result<void, PlatformError>>;
}

const isPointer = (stored: StoredResult): stored is ResultPointer => 'object' in stored;

/** A stored result with its size as JSON. */
interface PageEntry {
  readonly stored: StoredResult;
  readonly bytes: number;
}

const newPageEntry = (stored: StoredResult, value: Buffer): PageEntry => ({
  stored,
  bytes: isPointer(stored) ? (stored.bytes ?? UNKNOWN_BYTES) : value.length,
});

const sumBytes = (entries: readonly PageEntry[]): number =>
  entries.reduce((sum, { bytes }) => sum + bytes, 0);

/** The first results of a page that together have at most `maxBytes`; always the first one. */
const takeFirst = (page: readonly PageEntry[], maxBytes: number): readonly PageEntry[] => {
  let sum = 0;
  const end = page.findIndex(({ bytes }, index) => {
    sum += bytes;
    return index > 0 && sum > maxBytes;
  });
  return end === -1 ? page : page.slice(0, end);
};

/** Creates the store of results. */
export const newJobResultStore = (
  records: RecordStore,
  objects: ObjectStore,
  rooms: StoredRooms,
): JobResultStore => {
  const prepareWrite: JobResultStore['prepareWrite'] = async (record, result, position) => {
    const name = getResultName(record, position);
    const content = serializeJson(result);
    if (content.length <= MAX_INLINE_RESULT_BYTES) return newOk({ ...name, value: content });
    const object = getLargeResultObjectName(record, content);
    const stored = await objects.put(object, content);
    if (!stored.ok) return stored;
    return newOk({ ...name, value: serializeJson({ object, bytes: content.length }) });
  };

  /** Values of the records of a job's results from a position on. */
  const readRecords = async (
    job: JobName,
    from: number,
    options: RecordReadOptions = {},
  ): Promise<Result<Buffer[], PlatformError>> => {
    const { table, partition } = getResultName(job, from);
    const page = await records.read(table, partition, getPositionRange(job.id, from), options);
    if (!page.ok) return page;
    return newOk(
      page.value.records.flatMap(({ key, value }) =>
        value !== undefined && isPositionOf(job.id, key) ? [value] : [],
      ),
    );
  };

  /** One response of the store with results from a position on. */
  const readPage = async (
    job: JobRecord,
    from: number,
  ): Promise<Result<PageEntry[], PlatformError>> => {
    const options = { isOnePage: true, expectedBytes: MAX_PAGE_BYTES };
    const page = await readRecords(job, from, options);
    if (!page.ok) return page;
    const entries: PageEntry[] = [];
    for (const value of page.value) {
      const stored = parseStoredResult(value);
      if (stored === undefined) {
        return newFailure({ kind: 'invalid_answer', detail: 'a result can not be parsed' });
      }
      entries.push(newPageEntry(stored, value));
    }
    return newOk(entries);
  };

  const readObject = async ({
    object,
    bytes,
  }: ResultPointer): Promise<Result<ItemResult, PlatformError>> => {
    const content = await objects.get(object, { expectedBytes: bytes ?? UNKNOWN_BYTES });
    if (!content.ok) return content;
    const result = content.value && parseItemResult(content.value);
    return result === undefined
      ? newFailure({ kind: 'invalid_answer', detail: `${object} is missing or can not be parsed` })
      : newOk(result);
  };

  /** The results of a page, with those that are objects read one after the other. */
  const readObjects = async (
    entries: readonly PageEntry[],
    wait: RoomWait,
  ): Promise<Result<HeldResults, PlatformError>> => {
    const room = await rooms.takeForResults(OBJECT_COPIES * sumBytes(entries), wait);
    const results: ItemResult[] = [];
    for (const { stored } of entries) {
      const result = isPointer(stored) ? await readObject(stored) : newOk(stored);
      if (!result.ok) {
        room.release();
        return result;
      }
      results.push(result.value);
    }
    return newOk({ results, room });
  };

  const read: JobResultStore['read'] = async (record, from, maxBytes, wait) => {
    const pageBytes = Math.min(record.resultBytes ?? MAX_PAGE_BYTES, MAX_PAGE_BYTES);
    const room = await rooms.take(RECORD_COPIES * pageBytes, wait);
    try {
      const page = await readPage(record, from);
      if (!page.ok) {
        room.release();
        return page;
      }
      const entries = takeFirst(page.value, maxBytes);
      const inline = entries.flatMap(({ stored }) => (isPointer(stored) ? [] : [stored]));
      if (inline.length === entries.length) return newOk({ results: inline, room });
      room.shrinkTo(sumBytes(entries.filter(({ stored }) => !isPointer(stored))));
      const results = await readObjects(entries, wait);
      room.release();
      return results;
    } catch (error) {
      room.release();
      throw error;
    }
  };

  const removeObjects: JobResultStore['removeObjects'] = async (job) => {
    const page = await readRecords(job, 0);
    if (!page.ok) return page;
    for (const value of page.value) {
      const result = parseStoredResult(value);
      if (result !== undefined && isPointer(result)) {
        const removed = await objects.remove(result.object);
        if (!removed.ok) return removed;
      }
    }
    return newOk(undefined);
  };

  return { prepareWrite, read, removeObjects };
};
