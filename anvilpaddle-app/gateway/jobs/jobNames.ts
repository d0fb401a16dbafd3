/**
 * Names of the records and objects of batch jobs. Teams and jobs are named by operators and callers, with any
 * letters, so that each name here must tell apart whatever they choose.
 */
import { createHash } from 'node:crypto';
import { getCompositeKey } from '@anvilpaddle/common';
import type { KeyRange, RecordName } from '@anvilpaddle/platform';

/** Table of the job records and submission guards, partitioned by team. */
export const JOB_TABLE = 'jobs';
/** Table of the items' results, partitioned by team. */
export const RESULT_TABLE = 'results';
/** Table of the items' checkpoints, partitioned by team. */
export const CHECKPOINT_TABLE = 'checkpoints';
/** Table of the indexes of jobs' items, partitioned by team. */
export const ITEM_TABLE = 'items';

/** Prefix of the keys of submission guards in the job table. */
const SUBMISSION_GUARD_PREFIX = '!';
/** Names that can't be keys themselves stand for their digest. No guard begins like this. */
const DIGEST_PREFIX = '!!';
const DIGEST_PATTERN = /^!![0-9a-f]{64}$/;
/** Largest size of a partition's name in the store. */
const MAX_PARTITION_BYTES = 200;
const POSITION_DIGITS = 6;
/** Largest size of a key in the store, without the position that results have in addition. */
const MAX_KEY_BYTES = 200 - POSITION_DIGITS - 1;
/** Prefix of the names of objects that earlier releases stored. */
const OLD_PREFIX = 'job-';
const POSITION_PATTERN = /^\d{6}$/;
const ASCII_PATTERN = /^[ -~]*$/;

/** A job among those of all teams. */
export interface JobName {
  readonly team: string;
  readonly id: string;
}

const getDigest = (content: string | Buffer): string =>
  createHash('sha256').update(content).digest('hex');

/** Whether a text comes back from the store as it was sent: one half of a surrogate pair doesn't. */
const isStorable = (text: string, maxBytes: number): boolean =>
  ASCII_PATTERN.test(text)
    ? text.length <= maxBytes
    : Buffer.byteLength(text) <= maxBytes && Buffer.from(text).toString() === text;

/** Digest of a text's code units, which differ also where its bytes in UTF-8 don't. */
const getTextDigest = (text: string): string =>
  `${DIGEST_PREFIX}${getDigest(Buffer.from(text, 'utf16le'))}`;

/** Partition of a team's records: its name, unless the store can't hold that. */
export const getPartition = (team: string): string =>
  isStorable(team, MAX_PARTITION_BYTES) && !DIGEST_PATTERN.test(team) ? team : getTextDigest(team);

/** Key of a name: the name itself, unless the store can't hold it or it looks like a guard's key. */
const getKey = (name: string): string =>
  isStorable(name, MAX_KEY_BYTES) && !name.startsWith(SUBMISSION_GUARD_PREFIX)
    ? name
    : getTextDigest(name);

/** Name of a job's record. */
export const getJobName = ({ team, id }: JobName): RecordName => ({
  table: JOB_TABLE,
  partition: getPartition(team),
  key: getKey(id),
});

/**
 * Name of the submission guard of a team's route. Each submission checks and changes this record, so
 * that concurrent submissions to the route conflict and are serialized.
 */
export const getSubmissionGuardName = (team: string, route: string): RecordName => ({
  table: JOB_TABLE,
  partition: getPartition(team),
  key: `${SUBMISSION_GUARD_PREFIX}${getKey(route)}`,
});

/** Whether a key of the job table is that of a submission guard, not of a job. */
export const isSubmissionGuardKey = (key: string): boolean =>
  key.startsWith(SUBMISSION_GUARD_PREFIX) && !DIGEST_PATTERN.test(key);

/** Name of the record with the index of a job's items. */
export const getItemIndexName = (job: JobName): RecordName => ({
  ...getJobName(job),
  table: ITEM_TABLE,
});

const getPositionKey = (id: string, position: number): string =>
  `${getKey(id)}/${String(position).padStart(POSITION_DIGITS, '0')}`;

/** Name of the record that holds a job's result at a position. */
export const getResultName = ({ team, id }: JobName, position: number): RecordName => ({
  table: RESULT_TABLE,
  partition: getPartition(team),
  key: getPositionKey(id, position),
});

/** Name of the record that holds an item's checkpoint. */
export const getCheckpointName = ({ team, id }: JobName, index: number): RecordName => ({
  table: CHECKPOINT_TABLE,
  partition: getPartition(team),
  key: getPositionKey(id, index),
});

/**
 * Key range of a job's results or checkpoints, starting at a position. It also has those of jobs whose ids go on
 * after a slash, which `isPositionOf` tells apart.
 */
export const getPositionRange = (id: string, from: number): KeyRange => ({
  from: getPositionKey(id, from),
  // ':' sorts right after the digits, so the exclusive end covers every position.
  to: `${getKey(id)}/:`,
});

/** Whether a key is that of a result or checkpoint of this job. */
export const isPositionOf = (id: string, key: string): boolean => {
  const prefix = `${getKey(id)}/`;
  return key.startsWith(prefix) && POSITION_PATTERN.test(key.slice(prefix.length));
};

const getObjectName = (kind: string, { team, id }: JobName, content: Buffer): string => {
  const job = getDigest(Buffer.from(getCompositeKey(team, id), 'utf16le'));
  return `${kind}-${job}-${getDigest(content)}`;
};

/**
 * Name of the object with a segment of a job's items. As it follows from the content, nothing that is stored for
 * another submission of the same id, before that is accepted or refused, can replace it.
 */
export const getSegmentObjectName = (job: JobName, index: number, content: Buffer): string =>
  getObjectName(`items-${index}`, job, content);

/** Name of the object with an index of a job's items that is too large for its record. */
export const getItemIndexObjectName = (job: JobName, content: Buffer): string =>
  getObjectName('index', job, content);

/**
 * Name of the object of a result that is too large for its record. Another run of the item, also one of another
 * owner, whose result differs, has another name.
 */
export const getLargeResultObjectName = (job: JobName, content: Buffer): string =>
  getObjectName('result', job, content);

/** Name of the object in which earlier releases stored all items of a job; other jobs may have the same. */
export const getOldItemsObjectName = ({ team, id }: JobName): string =>
  `${OLD_PREFIX}${team}-${id}`;

/** Whether an object may have the items of several jobs, so that the end of one doesn't show that nobody needs it. */
export const isOldItemsObject = (object: string): boolean => object.startsWith(OLD_PREFIX);
