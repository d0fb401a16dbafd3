import { z } from 'zod';

/** Hint that a job has ended; the receiver reads the job's row before it acts. */
export const jobEndedSchema = z.object({ job: z.string() });
export type JobEnded = z.infer<typeof jobEndedSchema>;

/** Methods about batch jobs. */
export const JOB_METHODS = {
  'job.ended': { params: jobEndedSchema, result: z.object({}) },
} as const;
