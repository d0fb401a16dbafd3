/** Messages about batch jobs. */
import { z } from 'zod';

/** Hints that a job has ended; the receiver must read the job's row before it acts on it. */
export const jobEndedSchema = z.object({ job: z.string() });
export type JobEnded = z.infer<typeof jobEndedSchema>;

/** Methods that concern batch jobs. */
export const JOB_METHODS = {
  'job.ended': { params: jobEndedSchema, result: z.object({}) },
} as const;
