/** Rows of batch jobs, their chunks and the uploaded files, with the keys of rows and objects. */
import { z } from 'zod';

/** States of a chunk. */
export const CHUNK_STATE = { ready: 'ready', claimed: 'claimed', done: 'done' } as const;

/** Row of one chunk of a job in the table `chunks`. */
export const chunkSchema = z.object({
  job: z.string(),
  /** Index of the part of the input file; the pieces of a split chunk share it. */
  index: z.number(),
  /** Path of a piece of a split chunk, such as `/03/11`; empty for a chunk that was not split. */
  piece: z.string().default(''),
  state: z.enum(CHUNK_STATE),
  /** Incarnation of the sidecar that works on the chunk. */
  owner: z.string().optional(),
  /** Incremented with each claim; results are accepted only under the epoch of their claim. */
  epoch: z.number(),
  /** Number of writes by the current owner; identifies a write whose response was lost. */
  writes: z.number().default(0),
  /** Time in ms after which another sidecar may take over an unchanged row; set by the owner. */
  leaseMs: z.number().default(0),
  /** Number of claims whose owner was lost before the chunk was done. */
  lost: z.number().default(0),
  /** Whether the owner has begun to run the item of a suspect chunk. */
  isRunning: z.boolean().default(false),
  /** Number of items. */
  items: z.number(),
  /** Number of lines of the input object before the first line of this chunk. */
  from: z.number().default(0),
  /** Key of the object with the input lines. */
  input: z.string(),
  /** Models that the unfinished items name; empty if they name none. */
  models: z.array(z.string()).default([]),
  /** Indexes in the chunk of items that must not be repeated and may have been sent. */
  started: z.array(z.number()).default([]),
  /** Key of the object with the results of items that an earlier owner finished. */
  partial: z.string().optional(),
  /** Key of the object with the results of the items that succeeded; set once the chunk is done. */
  output: z.string().optional(),
  /** Key of the object with the results of the items that failed; set once the chunk is done. */
  errors: z.string().optional(),
  /** Number of items that failed; set once the chunk is done. */
  failed: z.number().default(0),
});
/** One chunk of a job. */
export type Chunk = z.infer<typeof chunkSchema>;

/** Prefix of the row keys of a job's chunks. */
export const getChunkPrefix = (job: string): string => `${job}/`;

/** Key of a chunk's row. Keys sort in the order of the input. */
export const getChunkKey = (job: string, index: number, piece = ''): string =>
  `${getChunkPrefix(job)}${String(index).padStart(6, '0')}${piece}`;

/** States of a job. */
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
  /** Configuration revision under which the job was accepted; older ones may lack its team. */
  revision: z.number().default(0),
  chunks: z.number(),
  items: z.number(),
  /** Number of items that ended with a response; set once the job has ended. */
  completed: z.number().optional(),
  /** Number of items that ended with an error; set once the job has ended. */
  failed: z.number().optional(),
  createdAt: z.number(),
  /** Wall time in ms by which the job should finish. */
  dueAt: z.number(),
  metadata: z.record(z.string(), z.string()).optional(),
  finishedAt: z.number().optional(),
  /** The caller has deleted the results. */
  resultsRemoved: z.boolean().optional(),
});
/** One batch job. */
export type Job = z.infer<typeof jobSchema>;

/** Row of one uploaded file in the table `files`. */
export const fileSchema = z.object({
  id: z.string(),
  team: z.string(),
  name: z.string(),
  purpose: z.string(),
  bytes: z.number(),
  createdAt: z.number(),
  /** Number of items in each part, in order; parts are stored as objects `files/ID/INDEX`. */
  parts: z.array(z.number()),
  /** Models that the items of each part name. */
  models: z.array(z.array(z.string())).default([]),
});
/** One uploaded file. */
export type File = z.infer<typeof fileSchema>;

/** Object key of one part of a file. */
export const getPartKey = (file: string, index: number): string =>
  `files/${file}/${String(index).padStart(6, '0')}`;
