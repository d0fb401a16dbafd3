/** Batch jobs and their result files as they are shown to callers. */
import { getForecast, JOB_STATE, type Job, type JobCounts } from '@anvilpaddle/decisions';
import { MS_PER_HOUR, MS_PER_SECOND } from '@anvilpaddle/common';

/** Suffixes that form the ids of a job's result files from the job's id. */
export const RESULT_FILE_SUFFIX = { output: '-output', errors: '-errors' } as const;

/** Job and kind of results that the id of a result file identifies. */
export interface ResultFile {
  readonly job: string;
  readonly kind: keyof typeof RESULT_FILE_SUFFIX;
}

/** Parses the id of a result file; undefined for ids of other files. */
export const parseResultFileId = (id: string): ResultFile | undefined => {
  const kinds = Object.keys(RESULT_FILE_SUFFIX) as ResultFile['kind'][];
  const kind = kinds.find((name) => id.endsWith(RESULT_FILE_SUFFIX[name]));
  return kind && { job: id.slice(0, -RESULT_FILE_SUFFIX[kind].length), kind };
};

const getSeconds = (wallMs: number): number => Math.floor(wallMs / MS_PER_SECOND);

/** Batch object of OpenAI's API, with times in seconds and the forecast of the job's end added. */
export const getBatchObject = (job: Job, counts: JobCounts, nowMs: number): object => {
  const hasEnded = job.state !== JOB_STATE.inProgress;
  const hasReadableResults = hasEnded && job.resultsRemoved !== true;
  const forecast = getForecast(job, counts, nowMs);
  const endedAt = job.finishedAt === undefined ? null : getSeconds(job.finishedAt);
  return {
    id: job.id,
    object: 'batch',
    endpoint: job.endpoint,
    errors: null,
    input_file_id: job.file,
    completion_window: `${Math.round((job.dueAt - job.createdAt) / MS_PER_HOUR)}h`,
    status: job.state,
    created_at: getSeconds(job.createdAt),
    in_progress_at: getSeconds(job.createdAt),
    expires_at: getSeconds(job.dueAt),
    completed_at: job.state === JOB_STATE.completed ? endedAt : null,
    cancelled_at: job.state === JOB_STATE.cancelled ? endedAt : null,
    output_file_id:
      hasReadableResults && counts.completed > 0 ? `${job.id}${RESULT_FILE_SUFFIX.output}` : null,
    error_file_id:
      hasReadableResults && counts.failed > 0 ? `${job.id}${RESULT_FILE_SUFFIX.errors}` : null,
    request_counts: counts,
    metadata: job.metadata ?? null,
    anvilpaddle: {
      late_expected: forecast.isLate,
      estimated_finish_at: forecast.finishAt === undefined ? null : getSeconds(forecast.finishAt),
    },
  };
};
