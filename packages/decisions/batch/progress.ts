import { CHUNK_STATE, JOB_STATE, type Chunk, type Job } from './chunk';

/** Counts of one job's items, from its chunks. */
export interface JobCounts {
  readonly total: number;
  readonly completed: number;
  readonly failed: number;
}

/** When a job is expected to finish, from its progress so far. */
export interface Forecast {
  /** Wall time in ms; undefined while nothing has finished. */
  readonly finishAt: number | undefined;
  readonly isLate: boolean;
}

/** Counts of the items whose results are committed. */
export const getJobCounts = (job: Job, chunks: readonly Chunk[]): JobCounts => {
  const done = chunks.filter((chunk) => chunk.state === CHUNK_STATE.done);
  const failed = done.reduce((sum, chunk) => sum + chunk.failed, 0);
  const finished = done.reduce((sum, chunk) => sum + chunk.items, 0);
  return { total: job.items, completed: finished - failed, failed };
};

/** Whether each item of the job has a result. */
export const isJobDone = (job: Job, chunks: readonly Chunk[]): boolean => {
  const counts = getJobCounts(job, chunks);
  return (
    counts.completed + counts.failed === job.items &&
    chunks.every(({ state }) => state === CHUNK_STATE.done)
  );
};

/** Expected end of a job at its average pace since its creation; times are wall ms. */
export const getForecast = (job: Job, counts: JobCounts, nowMs: number): Forecast => {
  if (job.state !== JOB_STATE.inProgress) {
    const endedAt = job.finishedAt ?? nowMs;
    return { finishAt: endedAt, isLate: endedAt > job.dueAt };
  }
  const finished = counts.completed + counts.failed;
  const elapsedMs = Math.max(1, nowMs - job.createdAt);
  if (finished === 0) {
    // Nothing done after half of the time makes being late more likely than not.
    return { finishAt: undefined, isLate: elapsedMs * 2 > job.dueAt - job.createdAt };
  }
  const finishAt = nowMs + ((job.items - finished) * elapsedMs) / finished;
  return { finishAt, isLate: finishAt > job.dueAt };
};
