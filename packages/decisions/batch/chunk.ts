import { z } from 'zod';

export const CHUNK_STATE = { ready: 'ready', claimed: 'claimed', done: 'done' } as const;

/** Row of one chunk of a job in the table `chunks`, key `JOB/INDEX`. */
export const chunkSchema = z.object({
  job: z.string(),
  index: z.number(),
  state: z.enum(CHUNK_STATE),
  /** VM incarnation that works on it. */
  owner: z.string().optional(),
  /** Grows with each claim; a result counts only under the epoch that it was claimed with. */
  epoch: z.number(),
  items: z.number(),
  /** Object with the input lines. */
  input: z.string(),
  /** Object with the results, once done. */
  output: z.string().optional(),
  failed: z.number().default(0),
});
export type Chunk = z.infer<typeof chunkSchema>;

/** Key of a chunk's row; the order of the keys is the order of the chunks. */
export const getChunkKey = (job: string, index: number): string =>
  `${job}/${String(index).padStart(6, '0')}`;

export const JOB_STATE = {
  validating: 'validating',
  inProgress: 'in_progress',
  cancelling: 'cancelling',
  cancelled: 'cancelled',
  completed: 'completed',
} as const;

/** Row of one job in the table `jobs`. */
export const jobSchema = z.object({
  id: z.string(),
  team: z.string(),
  state: z.enum(JOB_STATE),
  file: z.string(),
  endpoint: z.string(),
  route: z.string(),
  group: z.string(),
  chunks: z.number(),
  items: z.number(),
  createdAt: z.number(),
  /** Wall time in ms by which the job is to finish. */
  dueAt: z.number(),
  idempotencyKey: z.string().optional(),
  metadata: z.record(z.string(), z.string()).optional(),
  finishedAt: z.number().optional(),
});
export type Job = z.infer<typeof jobSchema>;

/** Row of one uploaded file in the table `files`. */
export const fileSchema = z.object({
  id: z.string(),
  team: z.string(),
  name: z.string(),
  purpose: z.string(),
  bytes: z.number(),
  createdAt: z.number(),
  /** Number of items in each part, in order; parts are objects `files/ID/INDEX`. */
  parts: z.array(z.number()),
});
export type File = z.infer<typeof fileSchema>;

/** Object key of one part of a file. */
export const getPartKey = (file: string, index: number): string =>
  `files/${file}/${String(index).padStart(6, '0')}`;
