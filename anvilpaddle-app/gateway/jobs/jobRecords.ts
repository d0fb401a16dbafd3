/** Storage layout of batch jobs: names and contents of their records and objects. */
import { z } from 'zod';
import type { KeyRange, RecordName, StoredRecord } from '@anvilpaddle/platform';
import type { ItemCheckpoint, ItemResult, ItemSummary, JobItem, JobRecord } from './types';

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

/** Name of the record with the index of a job's items. */
export const getItemIndexName = (team: string, id: string): RecordName => ({
  table: ITEM_TABLE,
  partition: team,
  key: id,
});

/** Name of the object in which earlier releases stored all items of a job. */
export const getItemsObjectName = (team: string, id: string): string => `job-${team}-${id}`;

/** Name of the object with a segment of a job's items. */
export const getSegmentObjectName = (team: string, id: string, index: number): string =>
  `${getItemsObjectName(team, id)}-items-${index}`;

/** Name of the object with an index of a job's items that is too large for its record. */
export const getItemIndexObjectName = (team: string, id: string): string =>
  `${getItemsObjectName(team, id)}-index`;

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

const indexSchema = z.int().nonnegative();

const jobSchema = z.object({
  id: z.string().min(1),
  team: z.string(),
  route: z.string(),
  host: z.string(),
  configVersion: z.number().optional(),
  submittedMs: z.number(),
  tokens: z.array(z.number()),
  owner: z.string().optional(),
  listed: z.array(indexSchema),
  failures: z.record(z.string(), indexSchema),
  resultBytes: z.number().optional(),
  isEnded: z.boolean(),
});

/** Value of some JSON text; undefined if it isn't any, or not one that the schema allows. */
const parseJson = <T>(schema: z.ZodType<T>, content: Buffer): T | undefined => {
  try {
    return schema.safeParse(JSON.parse(content.toString())).data;
  } catch {
    return undefined;
  }
};

/** Whether a record of the job table is a submission guard, not a job. */
export const isSubmissionGuard = ({ key }: Pick<StoredRecord, 'key'>): boolean =>
  key.startsWith(SUBMISSION_GUARD_PREFIX);

/**
 * Job in a record of the job table; undefined for submission guards, removed records and those that
 * make no sense, or that name another job than their key does.
 */
export const parseStoredJob = ({
  partition,
  key,
  value,
  revision,
}: StoredRecord): StoredJob | undefined => {
  if (isSubmissionGuard({ key }) || value === undefined) return undefined;
  const job = parseJson(jobSchema, value);
  if (job === undefined || job.id !== key || job.team !== partition) return undefined;
  const { configVersion, owner, resultBytes, ...record } = job;
  return { record: { ...record, configVersion, owner, resultBytes }, revision };
};

const itemsSchema = z.array(
  z.object({
    id: z.string(),
    path: z.string(),
    headers: z.array(z.string()),
    /** Base64. */
    body: z.string(),
    tokens: z.number(),
  }),
);
type StoredItem = z.output<typeof itemsSchema>[number];

/** Content of the object with a job's items. */
export const serializeItems = (items: readonly JobItem[]): Buffer =>
  serializeJson(
    items.map((item): StoredItem => ({
      ...item,
      headers: [...item.headers],
      body: item.body.toString('base64'),
    })),
  );

/** Items in the content of their object; undefined if it makes no sense. */
export const parseItems = (content: Buffer): JobItem[] | undefined =>
  parseJson(itemsSchema, content)?.map((item) => ({
    ...item,
    body: Buffer.from(item.body, 'base64'),
  }));

/** Content of the record with an index of a job's items. */
const itemIndexSchema = z.object({
  segments: z.array(
    z.object({
      object: z.string(),
      bytes: indexSchema,
      items: z.array(z.object({ id: z.string(), promptParts: z.array(z.string()).optional() })),
    }),
  ),
});
type StoredItemIndex = z.output<typeof itemIndexSchema>;

/** Content of an index of items. */
export const serializeItemIndex = (items: readonly ItemSummary[]): Buffer => {
  const segments = new Map(
    items.map(({ segment }) => [
      segment,
      { ...segment, items: [] as StoredItemIndex['segments'][0]['items'] },
    ]),
  );
  items.forEach(({ id, promptParts, segment }) =>
    segments
      .get(segment)
      ?.items.push({ id, ...(promptParts.length === 0 ? {} : { promptParts: [...promptParts] }) }),
  );
  return serializeJson({ segments: [...segments.values()] });
};

/** An index of items, or the name of the object that holds it; undefined if it makes no sense. */
export const parseItemIndex = (
  content: Buffer,
): readonly ItemSummary[] | { readonly object: string } | undefined => {
  const parsed = parseJson(z.union([itemIndexSchema, z.object({ object: z.string() })]), content);
  if (parsed === undefined || 'object' in parsed) return parsed;
  return parsed.segments.flatMap(({ object, bytes, items }) => {
    const segment = { object, bytes };
    return items.map(({ id, promptParts = [] }, offset) => ({ id, promptParts, segment, offset }));
  });
};

const resultSchema = z.object({
  id: z.string(),
  state: z.enum(['succeeded', 'errored']),
  output: z.string(),
});

/** Result in the content of its object; undefined if it makes no sense. */
export const parseItemResult = (content: Buffer): ItemResult | undefined =>
  parseJson(resultSchema, content);

/** Where a result is that is too large for its record. */
export interface ResultPointer {
  readonly object: string;
  /** Size of the object; earlier releases did not store it. */
  readonly bytes?: number | undefined;
}

/** Content of a result's record: the result itself, or the object that holds it. */
export type StoredResult = ItemResult | ResultPointer;

/** Content of a result's record, parsed; undefined if it makes no sense. */
export const parseStoredResult = (value: Buffer): StoredResult | undefined =>
  parseJson(
    z.union([z.object({ object: z.string(), bytes: indexSchema.optional() }), resultSchema]),
    value,
  );

const checkpointSchema = z.object({
  index: indexSchema,
  text: z.string(),
  events: indexSchema,
  runMs: z.number(),
  lastEventId: z.string(),
});

/** Content of a checkpoint's record, parsed; undefined if it makes no sense. */
export const parseCheckpoint = (value: Buffer): ItemCheckpoint | undefined =>
  parseJson(checkpointSchema, value);
