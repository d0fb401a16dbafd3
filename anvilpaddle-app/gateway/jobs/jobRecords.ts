/** Storage layout of batch jobs: names and contents of their records and objects. */
import type { KeyRange, RecordName, StoredRecord } from '@anvilpaddle/platform';
import type { ItemResult, JobItem, JobRecord } from './types';

/** Table of the job records and submission guards, partitioned by team. */
export const JOB_TABLE = 'jobs';
/** Table of the items' results, partitioned by team. */
export const RESULT_TABLE = 'results';
/** Table of the items' checkpoints, partitioned by team. */
export const CHECKPOINT_TABLE = 'checkpoints';
/** Prefix of the keys of submission guards in the job table. */
const SUBMISSION_GUARD_PREFIX = '!';
const POSITION_DIGITS = 6;

/** A job record with the revision that the next conditional commit must name. */
export interface StoredJob {
  readonly record: JobRecord;
  readonly revision: number;
}

/** Name of a job's record. */
export const getJobName = (team: string, id: string): RecordName => ({
  table: JOB_TABLE,
  partition: team,
  key: id,
});

/**
 * Name of the submission guard of a team's route. Each submission checks and changes this record, so
 * that concurrent submissions to the route conflict and are serialized.
 */
export const getSubmissionGuardName = (team: string, route: string): RecordName =>
  getJobName(team, `${SUBMISSION_GUARD_PREFIX}${route}`);

const getPositionKey = (id: string, position: number): string =>
  `${id}/${String(position).padStart(POSITION_DIGITS, '0')}`;

/** Name of the record that holds a job's result at a position. */
export const getResultName = (team: string, id: string, position: number): RecordName => ({
  table: RESULT_TABLE,
  partition: team,
  key: getPositionKey(id, position),
});

/** Name of the record that holds an item's checkpoint. */
export const getCheckpointName = (team: string, id: string, index: number): RecordName => ({
  table: CHECKPOINT_TABLE,
  partition: team,
  key: getPositionKey(id, index),
});

/** Key range of a job's results or checkpoints, starting at a position. */
export const getPositionRange = (id: string, from: number): KeyRange => ({
  from: getPositionKey(id, from),
  // ':' sorts right after the digits, so the exclusive end covers every position.
  to: `${id}/:`,
});

/** Name of the object with a job's items. */
export const getItemsObjectName = (team: string, id: string): string => `job-${team}-${id}`;

/**
 * Name of the object of a result that is too large for its record. The name includes the owner,
 * because a run of one owner must not overwrite the object of another owner's run.
 */
export const getLargeResultObjectName = (
  { team, id, owner }: JobRecord,
  position: number,
): string => `${getItemsObjectName(team, id)}-${position}-${owner ?? ''}`;

/** A value as JSON in bytes. */
export const serializeJson = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

/** Job in a record of the job table; undefined for submission guards and removed records. */
export const parseStoredJob = ({ key, value, revision }: StoredRecord): StoredJob | undefined =>
  key.startsWith(SUBMISSION_GUARD_PREFIX) || value === undefined
    ? undefined
    : { record: JSON.parse(value.toString()) as JobRecord, revision };

/** An item in the items object, with its body in base64. */
interface StoredItem extends Omit<JobItem, 'body'> {
  readonly body: string;
}

/** Content of the object with a job's items. */
export const serializeItems = (items: readonly JobItem[]): Buffer =>
  serializeJson(items.map((item): StoredItem => ({ ...item, body: item.body.toString('base64') })));

/** Items in the content of their object. */
export const parseItems = (content: Buffer): JobItem[] =>
  (JSON.parse(content.toString()) as StoredItem[]).map((item) => ({
    ...item,
    body: Buffer.from(item.body, 'base64'),
  }));

/** Result in the content of its object. */
export const parseItemResult = (content: Buffer): ItemResult =>
  JSON.parse(content.toString()) as ItemResult;

/** Content of a result's record: the result itself, or the name of the object that holds it. */
export type StoredResult = ItemResult | { readonly object: string };

/** Content of a result's record, parsed. */
export const parseStoredResult = (value: Buffer): StoredResult =>
  JSON.parse(value.toString()) as StoredResult;
