/** Stores batch jobs: one record per job, beside its items and its results. */
import {
  newByteBudget,
  newOk,
  newStoredRooms,
  SystemClock,
  type StoredRooms,
} from '@anvilpaddle/common';
import { getWaitingTokens } from '@anvilpaddle/decisions';
import type { ObjectStore, RecordCheck, RecordStore, RecordWrite } from '@anvilpaddle/platform';
import { newJobItemStore, type JobItemStore } from './jobItemStore';
import {
  getCheckpointName,
  getItemIndexName,
  getJobName,
  getPartition,
  getPositionRange,
  getResultName,
  getSubmissionGuardName,
  CHECKPOINT_TABLE,
  isPositionOf,
  JOB_TABLE,
} from './jobNames';
import {
  parseCheckpoint,
  parseStoredJob,
  serializeItemIndexRecord,
  serializeJson,
} from './jobRecords';
import { newJobResultStore } from './jobResultStore';
import type {
  JobStore,
  SubmissionLimits,
  SubmissionProgress,
  SubmissionResult,
} from './jobStoreTypes';
import { newSegmentCache, type SegmentCache } from './segmentCache';
import { getSegments, newSegmentReader } from './segmentReader';
import type { JobItem, JobRecord } from './types';

const MAX_SUBMIT_ATTEMPTS = 5;
/** Maximum number of records that one commit removes. */
const MAX_REMOVALS_PER_COMMIT = 90;

const CANCELLED: SubmissionResult = {
  kind: 'unavailable',
  error: { kind: 'unavailable', detail: 'submission cancelled before the commit' },
};

/** What bounds the memory of stored bytes, and how items are read. */
export interface JobStoreOptions {
  readonly rooms: StoredRooms;
  readonly cache: SegmentCache;
  readonly getPromptParts: (item: JobItem) => readonly string[];
}

/** Options without a bound, for items without parts of prompts. */
const getDefaultOptions = (): JobStoreOptions => {
  const byteBudget = newByteBudget(Infinity);
  return {
    rooms: newStoredRooms(byteBudget, new SystemClock()),
    cache: newSegmentCache(byteBudget),
    getPromptParts: () => [],
  };
};

/** Items that a submission has stored, for its further attempts. */
type PutItems = Awaited<ReturnType<JobItemStore['put']>>;

/** Job store on top of a record store and an object store. */
export const newJobStore = (
  records: RecordStore,
  objects: ObjectStore,
  options = getDefaultOptions(),
): JobStore => {
  const { rooms, cache, getPromptParts } = options;
  const segments = newSegmentReader(objects, rooms, cache);
  const items = newJobItemStore({ records, objects, rooms, segments, getPromptParts });
  const results = newJobResultStore(records, objects, rooms);

  const read: JobStore['read'] = async (job) => {
    const { table, partition, key } = getJobName(job);
    const page = await records.read(table, partition, { from: key, to: `${key}\u0000` });
    if (!page.ok) return page;
    const found = page.value.records.find((record) => record.key === key);
    return newOk(found && parseStoredJob(found));
  };

  /** Makes one attempt; `again` means that a concurrent submission to the route won the commit. */
  const trySubmit = async (
    record: JobRecord,
    { maxWaitingTokens }: SubmissionLimits,
    progress: SubmissionProgress,
    putItems: () => Promise<PutItems>,
  ): Promise<SubmissionResult | 'again'> => {
    const { team, id, route } = record;
    const name = getJobName(record);
    const page = await records.read(JOB_TABLE, getPartition(team));
    if (!page.ok) return { kind: 'unavailable', error: page.error };
    if (page.value.records.some(({ key }) => key === name.key)) return { kind: 'known' };
    const jobs = page.value.records
      .map(parseStoredJob)
      .flatMap((stored) => (stored?.record.route === route ? [stored.record] : []));
    const waitingTokens = getWaitingTokens(jobs) + getWaitingTokens([record]);
    if (maxWaitingTokens > 0 && waitingTokens > maxWaitingTokens) {
      return { kind: 'no_room', waitingTokens };
    }
    const stored = await putItems();
    if (!stored.ok) return { kind: 'unavailable', error: stored.error };
    if (progress.isCancelled) return CANCELLED;
    progress.isCommitting = true;
    const guard = getSubmissionGuardName(team, route);
    const guardRevision = page.value.records.find(({ key }) => key === guard.key)?.revision ?? 0;
    const stampedRecord = { ...record, submittedMs: page.value.storeMs };
    const commit = await records.commit({
      checks: [
        { ...guard, revision: guardRevision },
        { ...name, revision: 0 },
      ],
      writes: [
        { ...guard, value: serializeJson({ newest: id }) },
        { ...name, value: serializeJson(stampedRecord) },
        {
          ...getItemIndexName(record),
          value: serializeItemIndexRecord(stampedRecord, stored.value.index),
        },
      ],
    });
    if (!commit.ok) {
      return commit.error.kind === 'unknown'
        ? { kind: 'unknown', error: commit.error }
        : { kind: 'unavailable', error: commit.error };
    }
    if (!commit.value.committed) return 'again';
    return { kind: 'accepted', job: { record: stampedRecord, revision: commit.value.revision } };
  };

  const submit: JobStore['submit'] = async (
    record,
    job,
    limits,
    progress = { isCancelled: false, isCommitting: false },
  ) => {
    let stored: Promise<PutItems> | undefined;
    const putItems = (): Promise<PutItems> => {
      stored ??= items.put(record, job.items);
      return stored;
    };
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt += 1) {
      const submission = await trySubmit(record, limits, progress, putItems);
      if (submission === 'again') continue;
      const put = await stored;
      if (submission.kind === 'accepted' && put?.ok === true) {
        segments.keep(put.value.summaries, job.items);
      }
      return submission;
    }
    return {
      kind: 'unavailable',
      error: { kind: 'unavailable', detail: 'too many conflicting submissions' },
    };
  };

  const update: JobStore['update'] = async ({ record, revision }, change) => {
    const { record: next, results: added = [], checkpoints = [] } = change;
    const writes: RecordWrite[] = checkpoints.map((checkpoint) => ({
      ...getCheckpointName(record, checkpoint.index),
      value: serializeJson(checkpoint),
    }));
    if (next !== undefined) writes.push({ ...getJobName(record), value: serializeJson(next) });
    const firstPosition = (next ?? record).listed.length - added.length;
    for (const [offset, result] of added.entries()) {
      const write = await results.prepareWrite(next ?? record, result, firstPosition + offset);
      if (!write.ok) return write;
      writes.push(write.value);
    }
    const check: RecordCheck = { ...getJobName(record), revision };
    return records.commit({ checks: [check], writes });
  };

  const readCheckpoints: JobStore['readCheckpoints'] = async ({ team, id }) => {
    const range = getPositionRange(id, 0);
    const page = await records.read(CHECKPOINT_TABLE, getPartition(team), range);
    if (!page.ok) return page;
    return newOk(
      page.value.records.flatMap(({ key, value }) =>
        value === undefined || !isPositionOf(id, key) ? [] : (parseCheckpoint(value) ?? []),
      ),
    );
  };

  const remove: JobStore['remove'] = async ({ record, revision }) => {
    const name = getJobName(record);
    // The objects go before the record that tells of them, and before the same job can be submitted again.
    const removedResults = await results.removeObjects(record);
    if (!removedResults.ok) return removedResults;
    const removedItems = await items.removeObjects(record);
    if (!removedItems.ok) return removedItems;
    const dependentRecords = record.tokens.flatMap((_, index) => [
      getCheckpointName(record, index),
      getResultName(record, index),
    ]);
    for (let start = 0; start < dependentRecords.length; start += MAX_REMOVALS_PER_COMMIT) {
      const removals = dependentRecords.slice(start, start + MAX_REMOVALS_PER_COMMIT);
      const cleared = await records.commit({ checks: [], writes: [], removals });
      if (!cleared.ok) return cleared;
    }
    return records.commit({
      checks: [{ ...name, revision }],
      writes: [],
      removals: [name, getItemIndexName(record)],
    });
  };

  return {
    submit,
    read,
    update,
    readResults: results.read,
    readCheckpoints,
    readItemSummaries: items.readSummaries,
    readItem: segments.readItem,
    getItemInMemory: segments.getInMemory,
    isItemInMemory: segments.isInMemory,
    fetchItem: segments.fetch,
    prefetchItems: segments.prefetch,
    forgetItems: (summaries) => segments.forget(getSegments(summaries)),
    removeSegment: items.removeSegment,
    remove,
  };
};
