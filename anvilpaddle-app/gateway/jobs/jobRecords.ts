/** Contents of the records and objects of batch jobs. */
import { z } from 'zod';
import type { StoredRecord } from '@anvilpaddle/platform';
import { getJobName, isSubmissionGuardKey } from './jobNames';
import type {
  ItemCheckpoint,
  ItemResult,
  ItemSegment,
  ItemSummary,
  JobItem,
  JobRecord,
} from './types';

/** A job record with the revision that the next conditional commit must name. */
export interface StoredJob {
  readonly record: JobRecord;
  readonly revision: number;
}

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
  isSubmissionGuardKey(key);

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
  if (job === undefined) return undefined;
  const name = getJobName(job);
  if (name.key !== key || name.partition !== partition) return undefined;
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

const segmentSchema = z.object({
  object: z.string(),
  bytes: indexSchema,
  items: z.array(z.object({ id: z.string(), promptParts: z.array(z.string()).optional() })),
});
type StoredSegment = z.output<typeof segmentSchema>;

const itemIndexSchema = z.object({ segments: z.array(segmentSchema) });

/** Where a value is that is too large for its record. */
export interface ObjectPointer {
  readonly object: string;
  /** Size of the object. */
  readonly bytes: number;
}

/** Index of a job's items, or the object that holds an index which is too large for its record. */
export type StoredItemIndex = z.output<typeof itemIndexSchema> | ObjectPointer;

/** Index of items. */
export const newItemIndex = (items: readonly ItemSummary[]): StoredItemIndex => {
  const segments = new Map<ItemSegment, StoredSegment>();
  items.forEach(({ id, promptParts, segment }) => {
    const stored = segments.get(segment) ?? { ...segment, items: [] };
    segments.set(segment, stored);
    stored.items.push(promptParts.length === 0 ? { id } : { id, promptParts: [...promptParts] });
  });
  return { segments: [...segments.values()] };
};

/** The items of an index. */
export const getIndexedItems = ({
  segments,
}: Exclude<StoredItemIndex, ObjectPointer>): ItemSummary[] =>
  segments.flatMap(({ object, bytes, items }) => {
    const segment = { object, bytes };
    return items.map(({ id, promptParts = [] }, offset) => ({ id, promptParts, segment, offset }));
  });

/** Content of the object with an index; undefined if it makes no sense. */
export const parseItemIndex = (content: Buffer) => parseJson(itemIndexSchema, content);

const itemIndexRecordSchema = z.object({
  /** Submission time of the job that has the items; a record of another job of this id is out of date. */
  submittedMs: z.number(),
  index: z.union([itemIndexSchema, z.object({ object: z.string(), bytes: indexSchema })]),
});

/** Content of the record with an index. */
export const serializeItemIndexRecord = (
  { submittedMs }: JobRecord,
  index: StoredItemIndex,
): Buffer => serializeJson({ submittedMs, index });

/** Index in the content of its record; undefined if that makes no sense, or is of another job. */
export const parseItemIndexRecord = (
  { submittedMs }: JobRecord,
  value: Buffer,
): StoredItemIndex | undefined => {
  const parsed = parseJson(itemIndexRecordSchema, value);
  return parsed?.submittedMs === submittedMs ? parsed.index : undefined;
};

const resultSchema = z.object({
  id: z.string(),
  state: z.enum(['succeeded', 'errored']),
  output: z.string(),
});

/** Result in the content of its object; undefined if it makes no sense. */
export const parseItemResult = (content: Buffer): ItemResult | undefined =>
  parseJson(resultSchema, content);

/** Where a result is that is too large for its record; earlier releases did not store its size. */
export type ResultPointer = Pick<ObjectPointer, 'object'> & Partial<ObjectPointer>;

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
