/** Batch jobs in the platform's store: one record a job, one a result, one object with the items. */
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { getWaitingTokens } from '@anvilpaddle/decisions';
import type {
  ObjectStore,
  PlatformError,
  RecordCheck,
  RecordCommit,
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
  parseItems,
  parseStoredResult,
  parseStoredJob,
  RESULT_TABLE,
  type StoredJob,
} from './jobRecords';
import type { ItemCheckpoint, ItemResult, JobItem, JobRecord, NewJob } from './types';

/** Largest result that is kept in its record; larger ones go into an object. */
const MAX_INLINE_BYTES = 40_000;
const MAX_SUBMIT_TRIES = 5;
/** Records that one commit removes at most. */
const MAX_REMOVALS = 90;

/** How a submission ended. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly job: StoredJob }
  /** An earlier submission of the same job was accepted. */
  | { readonly kind: 'known' }
  | { readonly kind: 'no_room'; readonly waitingTokens: number }
  /** The store did not answer; the job may be there later. */
  | { readonly kind: 'unknown'; readonly error: PlatformError }
  | { readonly kind: 'unavailable'; readonly error: PlatformError };

/** Bounds of a submission. */
export interface SubmissionLimits {
  /** 0 means no limit. */
  readonly maxWaitingTokens: number;
}

/** Lets a submission be given up while nothing has been committed. */
export interface SubmissionProgress {
  /** Set by whoever gives it up. */
  isCancelled: boolean;
  /** Set once the commit is on its way; from then on it can't be given up. */
  isCommitting: boolean;
}

/** Changes of a job that take effect together. */
export interface JobChange {
  /** Record in place of the old one; undefined leaves that as it is. */
  readonly record?: JobRecord;
  /** Results of the last items that the record lists. */
  readonly results?: readonly ItemResult[];
  readonly checkpoints?: readonly ItemCheckpoint[];
}

/** Jobs in the store. */
export interface JobStore {
  submit(
    record: JobRecord,
    job: NewJob,
    bounds: SubmissionLimits,
    progress?: SubmissionProgress,
  ): Promise<SubmissionResult>;
  read(team: string, id: string): Promise<Result<StoredJob | undefined, PlatformError>>;
  /** Commits changes if the job's record is still at its revision. */
  update(job: StoredJob, change: JobChange): Promise<Result<RecordCommit, PlatformError>>;
  readCheckpoints(
    team: string,
    id: string,
  ): Promise<Result<readonly ItemCheckpoint[], PlatformError>>;
  /** Results from a position on, up to a number of bytes but at least one if there is one. */
  readResults(
    team: string,
    id: string,
    from: number,
    maxBytes: number,
  ): Promise<Result<readonly ItemResult[], PlatformError>>;
  readItems(
    team: string,
    id: string,
  ): Promise<Result<readonly JobItem[] | undefined, PlatformError>>;
  /** Removes a job with all that belongs to it. */
  remove(job: StoredJob): Promise<Result<RecordCommit, PlatformError>>;
}

const GIVEN_UP: SubmissionResult = {
  kind: 'unavailable',
  error: { kind: 'unavailable', detail: 'given up before the commit' },
};

/** Jobs over a record store and an object store. */
export const newJobStore = (records: RecordStore, objects: ObjectStore): JobStore => {
  const read: JobStore['read'] = async (team, id) => {
    const page = await records.read(JOB_TABLE, team, { from: id, to: `${id}\u0000` });
    if (!page.ok) return page;
    const found = page.value.records.find(({ key }) => key === id);
    return newOk(found && parseStoredJob(found));
  };

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
    if (progress.isCancelled) return GIVEN_UP;
    progress.isCommitting = true;
    const guard = getSubmissionGuardName(team, route);
    const guardRevision = page.value.records.find(({ key }) => key === guard.key)?.revision ?? 0;
    const dated = { ...record, submittedMs: page.value.storeMs };
    const commit = await records.commit({
      checks: [
        { ...guard, revision: guardRevision },
        { ...getJobName(team, id), revision: 0 },
      ],
      writes: [
        { ...guard, value: serializeJson({ newest: id }) },
        { ...getJobName(team, id), value: serializeJson(dated) },
      ],
    });
    if (!commit.ok) {
      return commit.error.kind === 'unknown'
        ? { kind: 'unknown', error: commit.error }
        : { kind: 'unavailable', error: commit.error };
    }
    if (!commit.value.committed) return 'again';
    return { kind: 'accepted', job: { record: dated, revision: commit.value.revision } };
  };

  const submit: JobStore['submit'] = async (
    record,
    job,
    bounds,
    progress = { isCancelled: false, isCommitting: false },
  ) => {
    for (let tries = 0; tries < MAX_SUBMIT_TRIES; tries += 1) {
      const submission = await trySubmit(record, job, bounds, progress);
      if (submission !== 'again') return submission;
    }
    return { kind: 'unavailable', error: { kind: 'unavailable', detail: 'contended submission' } };
  };

  const getResultWrite = async (
    record: JobRecord,
    result: ItemResult,
    position: number,
  ): Promise<Result<RecordWrite, PlatformError>> => {
    const name = getResultName(record.team, record.id, position);
    const inline = serializeJson(result);
    if (inline.length <= MAX_INLINE_BYTES) return newOk({ ...name, value: inline });
    const object = getLargeResultObjectName(record, position);
    const stored = await objects.put(object, inline);
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
    const first = (next ?? record).listed.length - results.length;
    for (const [offset, result] of results.entries()) {
      const write = await getResultWrite(next ?? record, result, first + offset);
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
        value === undefined ? [] : [JSON.parse(value.toString()) as ItemCheckpoint],
      ),
    );
  };

  const getResult = async (value: Buffer): Promise<Result<ItemResult, PlatformError>> => {
    const parsed = parseStoredResult(value);
    if (!('object' in parsed)) return newOk(parsed);
    const content = await objects.get(parsed.object);
    if (!content.ok) return content;
    if (content.value === undefined) {
      return newFailure({ kind: 'invalid_answer', detail: `${parsed.object} is missing` });
    }
    return newOk(JSON.parse(content.value.toString()) as ItemResult);
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
      const result = await getResult(value);
      if (!result.ok) return result;
      bytes += Buffer.byteLength(JSON.stringify(result.value));
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result.value);
    }
    return newOk(results);
  };

  const readItems: JobStore['readItems'] = async (team, id) => {
    const content = await objects.get(getItemsObjectName(team, id));
    if (!content.ok) return content;
    return newOk(content.value && parseItems(content.value));
  };

  /** Removes the objects of results that are too large for their records. */
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
    const emptied = await removeLargeResults(team, id);
    if (!emptied.ok) return emptied;
    const parts = record.tokens.flatMap((_, index) => [
      getCheckpointName(team, id, index),
      getResultName(team, id, index),
    ]);
    for (let start = 0; start < parts.length; start += MAX_REMOVALS) {
      const removals = parts.slice(start, start + MAX_REMOVALS);
      const cleared = await records.commit({ checks: [], writes: [], removals });
      if (!cleared.ok) return cleared;
    }
    const commit = await records.commit({
      checks: [{ ...name, revision }],
      writes: [],
      removals: [name],
    });
    if (!commit.ok || !commit.value.committed) return commit;
    const dropped = await objects.remove(getItemsObjectName(team, id));
    return dropped.ok ? commit : dropped;
  };

  return { submit, read, update, readResults, readCheckpoints, readItems, remove };
};
