/** How batch jobs lie in the store: names of records and objects, and their contents. */
import type { KeyRange, RecordName, StoredRecord } from '@anvilpaddle/platform';
import type { ItemResult, JobItem, JobRecord } from './types';

export const JOB_TABLE = 'jobs';
export const RESULT_TABLE = 'results';
export const CHECKPOINT_TABLE = 'checkpoints';
/** Keys of records that serialise the submissions of a route begin with it. */
const GUARD_MARK = '!';
const POSITION_DIGITS = 6;

/** A job with the revision that its next change must name. */
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

/** Name of the record that each submission to a route of a team changes. */
export const getSubmissionGuardName = (team: string, route: string): RecordName =>
  getJobName(team, `${GUARD_MARK}${route}`);

const getPositionKey = (id: string, position: number): string =>
  `${id}/${String(position).padStart(POSITION_DIGITS, '0')}`;

/** Name of the record of a job's result at a position. */
export const getResultName = (team: string, id: string, position: number): RecordName => ({
  table: RESULT_TABLE,
  partition: team,
  key: getPositionKey(id, position),
});

/** Name of the record of an item's progress. */
export const getCheckpointName = (team: string, id: string, index: number): RecordName => ({
  table: CHECKPOINT_TABLE,
  partition: team,
  key: getPositionKey(id, index),
});

/** Keys of a job's results, or of its items' progress, from a position on. */
export const getPositionRange = (id: string, from: number): KeyRange => ({
  from: getPositionKey(id, from),
  // The character after the digits.
  to: `${id}/:`,
});

/** Name of the object with a job's items. */
export const getItemsObjectName = (team: string, id: string): string => `job-${team}-${id}`;

/**
 * Name of the object of a result that is too large for its record. It tells the owner, as the
 * object of another run must not be overwritten.
 */
export const getLargeResultObjectName = (
  { team, id, owner }: JobRecord,
  position: number,
): string => `${getItemsObjectName(team, id)}-${position}-${owner ?? ''}`;

/** JSON of a value in bytes. */
export const serializeJson = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

/** Job in a record; undefined for other records of the table. */
export const parseStoredJob = ({ key, value, revision }: StoredRecord): StoredJob | undefined =>
  key.startsWith(GUARD_MARK) || value === undefined
    ? undefined
    : { record: JSON.parse(value.toString()) as JobRecord, revision };

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

/** Result in its record, or the name of the object that holds it. */
export type StoredResult = ItemResult | { readonly object: string };

/** Content of a result's record. */
export const parseStoredResult = (value: Buffer): StoredResult =>
  JSON.parse(value.toString()) as StoredResult;
