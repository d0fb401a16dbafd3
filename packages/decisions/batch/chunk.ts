import { z } from 'zod';

export const CHUNK_STATE = { ready: 'ready', claimed: 'claimed', done: 'done' } as const;

/** Row of one chunk of a job in the table `chunks`. */
export const chunkSchema = z.object({
  job: z.string(),
  /** Number of the part of the input file; pieces of a split chunk share it. */
  index: z.number(),
  /** Place among the pieces of a split chunk, such as `/03/11`; empty when it is whole. */
  piece: z.string().default(''),
  state: z.enum(CHUNK_STATE),
  /** Incarnation of the sidecar that works on it. */
  owner: z.string().optional(),
  /** Grows with each claim; a result counts only under the epoch that it was claimed with. */
  epoch: z.number(),
  /** Writes of the present owner; tells a write whose answer was lost. */
  writes: z.number().default(0),
  /** Time after which an unchanged row may be taken over, in ms; chosen by the owner. */
  leaseMs: z.number().default(0),
  /** Claims that ended with the loss of their owner. */
  lost: z.number().default(0),
  items: z.number(),
  /** Lines of the input object before the first one of this chunk. */
  from: z.number().default(0),
  /** Object with the input lines. */
  input: z.string(),
  /** Models that its unfinished items name; empty when they name none. */
  models: z.array(z.string()).default([]),
  /** Items that must not be repeated and may have been sent, by their place in the chunk. */
  started: z.array(z.number()).default([]),
  /** Object with the results of items that an earlier owner has finished. */
  partial: z.string().optional(),
  /** Object with the results of the items that succeeded, once done. */
  output: z.string().optional(),
  /** Object with the results of the items that failed, once done. */
  errors: z.string().optional(),
  failed: z.number().default(0),
});
export type Chunk = z.infer<typeof chunkSchema>;

/** Prefix of the keys of a job's chunks. */
export const getChunkPrefix = (job: string): string => `${job}/`;

/** Key of a chunk's row; the order of the keys is the order of the input. */
export const getChunkKey = (job: string, index: number, piece = ''): string =>
  `${getChunkPrefix(job)}${String(index).padStart(6, '0')}${piece}`;

export const JOB_STATE = {
  inProgress: 'in_progress',
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
  /** Revision of the configuration that it was accepted under; an older one may lack its team. */
  revision: z.number().default(0),
  chunks: z.number(),
  items: z.number(),
  /** Items that ended with a response and with an error; set when the job has ended. */
  completed: z.number().optional(),
  failed: z.number().optional(),
  createdAt: z.number(),
  /** Wall time in ms by which the job is to finish. */
  dueAt: z.number(),
  metadata: z.record(z.string(), z.string()).optional(),
  finishedAt: z.number().optional(),
  /** The caller has deleted the results. */
  resultsRemoved: z.boolean().optional(),
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
  /** Models that the items of each part name. */
  models: z.array(z.array(z.string())).default([]),
});
export type File = z.infer<typeof fileSchema>;

/** Object key of one part of a file. */
export const getPartKey = (file: string, index: number): string =>
  `files/${file}/${String(index).padStart(6, '0')}`;
