/** Stores batch jobs: one record per job, one record per result, one object with a job's items. */
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { getWaitingTokens } from '@anvilpaddle/decisions';
import type {
  ObjectStore,
  PlatformError,
  RecordCheck,
  RecordStore,
  RecordWrite,
} from '@anvilpaddle/platform';
import {
  CHECKPOINT_TABLE,
  getCheckpointName,
  getSubmissionGuardName,
  serializeItems,
  getItemsObjectName,
  getJobName,
  serializeJson,
  getLargeResultObjectName,
  getResultName,
  getPositionRange,
  JOB_TABLE,
  parseCheckpoint,
  parseItemResult,
  parseItems,
  parseStoredResult,
  parseStoredJob,
  RESULT_TABLE,
} from './jobRecords';
import type {
  SubmissionResult,
  SubmissionLimits,
  SubmissionProgress,
  JobStore,
} from './jobStoreTypes';
import type { ItemResult, JobRecord, NewJob } from './types';

/** Size limit of results that are stored in their record; larger ones go into an object. */
const MAX_INLINE_RESULT_BYTES = 40_000;
const MAX_SUBMIT_ATTEMPTS = 5;
/** Maximum number of records that one commit removes. */
const MAX_REMOVALS_PER_COMMIT = 90;

const CANCELLED: SubmissionResult = {
  kind: 'unavailable',
  error: { kind: 'unavailable', detail: 'submission cancelled before the commit' },
};

/** A parsed value, or an error if the named content was truncated on its way or makes no sense. */
const getParsed = <T>(value: T | undefined, name: string): Result<T, PlatformError> =>
  value === undefined
    ? newFailure({ kind: 'invalid_answer', detail: `${name} can not be parsed` })
    : newOk(value);

/** Job store on top of a record store and an object store. */
export const newJobStore = (records: RecordStore, objects: ObjectStore): JobStore => {
  const read: JobStore['read'] = async (team, id) => {
    const page = await records.read(JOB_TABLE, team, { from: id, to: `${id}\u0000` });
    if (!page.ok) return page;
    const found = page.value.records.find(({ key }) => key === id);
    return newOk(found && parseStoredJob(found));
  };

  /** Makes one attempt; `again` means that a concurrent submission to the route won the commit. */
  const trySubmit = async (
    record: JobRecord,
    job: NewJob,
    { maxWaitingTokens }: SubmissionLimits,
    progress: SubmissionProgress,
  ): Promise<SubmissionResult | 'again'> => {
    const { team, id, route } = record;
    const page = await records.read(JOB_TABLE, team);
    if (!page.ok) return { kind: 'unavailable', error: page.error };
    if (page.value.records.some(({ key }) => key === id)) return { kind: 'known' };
    const jobs = page.value.records
      .map(parseStoredJob)
      .flatMap((stored) => (stored?.record.route === route ? [stored.record] : []));
    const waitingTokens = getWaitingTokens(jobs) + getWaitingTokens([record]);
    if (maxWaitingTokens > 0 && waitingTokens > maxWaitingTokens) {
      return { kind: 'no_room', waitingTokens };
    }
    const stored = await objects.put(getItemsObjectName(team, id), serializeItems(job.items));
    if (!stored.ok) return { kind: 'unavailable', error: stored.error };
    if (progress.isCancelled) return CANCELLED;
    progress.isCommitting = true;
    const guard = getSubmissionGuardName(team, route);
    const guardRevision = page.value.records.find(({ key }) => key === guard.key)?.revision ?? 0;
    const stampedRecord = { ...record, submittedMs: page.value.storeMs };
    const commit = await records.commit({
      checks: [
        { ...guard, revision: guardRevision },
        { ...getJobName(team, id), revision: 0 },
      ],
      writes: [
        { ...guard, value: serializeJson({ newest: id }) },
        { ...getJobName(team, id), value: serializeJson(stampedRecord) },
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
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt += 1) {
      const submission = await trySubmit(record, job, limits, progress);
      if (submission !== 'again') return submission;
    }
    return {
      kind: 'unavailable',
      error: { kind: 'unavailable', detail: 'too many conflicting submissions' },
    };
  };

  /** Prepares the write of a result's record; stores a large result in an object first. */
  const prepareResultWrite = async (
    record: JobRecord,
    result: ItemResult,
    position: number,
  ): Promise<Result<RecordWrite, PlatformError>> => {
    const name = getResultName(record.team, record.id, position);
    const content = serializeJson(result);
    if (content.length <= MAX_INLINE_RESULT_BYTES) return newOk({ ...name, value: content });
    const object = getLargeResultObjectName(record, position);
    const stored = await objects.put(object, content);
    if (!stored.ok) return stored;
    return newOk({ ...name, value: serializeJson({ object }) });
  };

  const update: JobStore['update'] = async ({ record, revision }, change) => {
    const { team, id } = record;
    const { record: next, results = [], checkpoints = [] } = change;
    const writes: RecordWrite[] = checkpoints.map((checkpoint) => ({
      ...getCheckpointName(team, id, checkpoint.index),
      value: serializeJson(checkpoint),
    }));
    if (next !== undefined) writes.push({ ...getJobName(team, id), value: serializeJson(next) });
    const firstPosition = (next ?? record).listed.length - results.length;
    for (const [offset, result] of results.entries()) {
      const write = await prepareResultWrite(next ?? record, result, firstPosition + offset);
      if (!write.ok) return write;
      writes.push(write.value);
    }
    const check: RecordCheck = { ...getJobName(team, id), revision };
    return records.commit({ checks: [check], writes });
  };

  const readCheckpoints: JobStore['readCheckpoints'] = async (team, id) => {
    const page = await records.read(CHECKPOINT_TABLE, team, getPositionRange(id, 0));
    if (!page.ok) return page;
    return newOk(
      page.value.records.flatMap(({ value }) =>
        value === undefined ? [] : (parseCheckpoint(value) ?? []),
      ),
    );
  };

  /** Loads a result from a record's value, or from the object that the value names. */
  const loadResult = async (value: Buffer): Promise<Result<ItemResult, PlatformError>> => {
    const parsed = parseStoredResult(value);
    if (parsed === undefined || !('object' in parsed)) return getParsed(parsed, 'a result');
    const content = await objects.get(parsed.object);
    if (!content.ok) return content;
    if (content.value === undefined) {
      return newFailure({ kind: 'invalid_answer', detail: `object ${parsed.object} is missing` });
    }
    return getParsed(parseItemResult(content.value), parsed.object);
  };

  const readResultRecords = (team: string, id: string, from: number) =>
    records.read(RESULT_TABLE, team, getPositionRange(id, from));

  const readResults: JobStore['readResults'] = async (team, id, from, maxBytes) => {
    const page = await readResultRecords(team, id, from);
    if (!page.ok) return page;
    const results: ItemResult[] = [];
    let bytes = 0;
    for (const { value } of page.value.records) {
      if (value === undefined) continue;
      const result = await loadResult(value);
      if (!result.ok) return result;
      bytes += Buffer.byteLength(JSON.stringify(result.value));
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result.value);
    }
    return newOk(results);
  };

  const readItems: JobStore['readItems'] = async (team, id) => {
    const object = getItemsObjectName(team, id);
    const content = await objects.get(object);
    if (!content.ok) return content;
    if (content.value === undefined) return newOk(undefined);
    return getParsed(parseItems(content.value), object);
  };

  /** Removes the objects of all results that are too large for their records. */
  const removeLargeResults = async (
    team: string,
    id: string,
  ): Promise<Result<void, PlatformError>> => {
    const page = await readResultRecords(team, id, 0);
    if (!page.ok) return page;
    for (const { value } of page.value.records) {
      const result = value && parseStoredResult(value);
      if (result !== undefined && 'object' in result) {
        const removed = await objects.remove(result.object);
        if (!removed.ok) return removed;
      }
    }
    return newOk(undefined);
  };

  const remove: JobStore['remove'] = async ({ record, revision }) => {
    const { team, id } = record;
    const name = getJobName(team, id);
    const removedObjects = await removeLargeResults(team, id);
    if (!removedObjects.ok) return removedObjects;
    const dependentRecords = record.tokens.flatMap((_, index) => [
      getCheckpointName(team, id, index),
      getResultName(team, id, index),
    ]);
    for (let start = 0; start < dependentRecords.length; start += MAX_REMOVALS_PER_COMMIT) {
      const removals = dependentRecords.slice(start, start + MAX_REMOVALS_PER_COMMIT);
      const cleared = await records.commit({ checks: [], writes: [], removals });
      if (!cleared.ok) return cleared;
    }
    const commit = await records.commit({
      checks: [{ ...name, revision }],
      writes: [],
      removals: [name],
    });
    if (!commit.ok || !commit.value.committed) return commit;
    const removedItems = await objects.remove(getItemsObjectName(team, id));
    return removedItems.ok ? commit : removedItems;
  };

  return { submit, read, update, readResults, readCheckpoints, readItems, remove };
};
