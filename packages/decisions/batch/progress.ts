/** Progress of batch jobs and forecast of their end. */
import { CHUNK_STATE, JOB_STATE, type Chunk, type Job } from './chunk';

/** Number of items of a job, in total and by outcome. */
export interface JobCounts {
  readonly total: number;
  readonly completed: number;
  readonly failed: number;
}

/** Expected end of a job. */
export interface Forecast {
  /** Wall time in ms; undefined while no item has finished. */
  readonly finishAt: number | undefined;
  /** Whether the job is expected to end after its due time. */
  readonly isLate: boolean;
}

/** Counts the items whose results are committed. */
export const getJobCounts = (job: Job, chunks: readonly Chunk[]): JobCounts => {
  const done = chunks.filter((chunk) => chunk.state === CHUNK_STATE.done);
  const failed = done.reduce((sum, chunk) => sum + chunk.failed, 0);
  const finished = done.reduce((sum, chunk) => sum + chunk.items, 0);
  return { total: job.items, completed: finished - failed, failed };
};

/** Whether every item of the job has a result. */
export const isJobDone = (job: Job, chunks: readonly Chunk[]): boolean => {
  const counts = getJobCounts(job, chunks);
  return (
    counts.completed + counts.failed === job.items &&
    chunks.every(({ state }) => state === CHUNK_STATE.done)
  );
};

/** Forecasts the end of a job from its average rate since its creation. `nowMs` is wall time. */
export const getForecast = (job: Job, counts: JobCounts, nowMs: number): Forecast => {
  if (job.state !== JOB_STATE.inProgress) {
    const endedAt = job.finishedAt ?? nowMs;
    return { finishAt: endedAt, isLate: endedAt > job.dueAt };
  }
  const finished = counts.completed + counts.failed;
  const elapsedMs = Math.max(1, nowMs - job.createdAt);
  if (finished === 0) {
    // If nothing has finished after half of the time, the job is more likely than not to be late.
    return { finishAt: undefined, isLate: elapsedMs * 2 > job.dueAt - job.createdAt };
  }
  const finishAt = nowMs + ((job.items - finished) * elapsedMs) / finished;
  return { finishAt, isLate: finishAt > job.dueAt };
};
