import { getChunkKey, type Chunk, type Job } from '@anvilpaddle/decisions';

/** Tables of files and jobs. */
export const TABLE = {
  jobs: 'jobs',
  chunks: 'chunks',
  files: 'files',
  /** Unfinished jobs by group of upstreams; sidecars look for work here. */
  openJobs: 'open_jobs',
  /** Jobs by team, the newest first. */
  teamJobs: 'team_jobs',
  /** Unfinished jobs by input file; such a file can't be deleted. */
  fileJobs: 'file_jobs',
  /** When a group's upstreams were last seen to serve a model. */
  servedModels: 'served_models',
  /** Idempotency keys by team. */
  jobKeys: 'job_keys',
} as const;

const MAX_TIME_MS = 9_999_999_999_999;

/** Key of a job in the table of open jobs. */
export const getOpenJobKey = (job: Job): string => `${job.group}/${job.id}`;

/** Key of a job in the table of its team's jobs. */
export const getTeamJobKey = (job: Job): string =>
  `${job.team}/${String(MAX_TIME_MS - job.createdAt).padStart(13, '0')}/${job.id}`;

/** Key of a job in the table of its file's jobs. */
export const getFileJobKey = (job: Job): string => `${job.file}/${job.id}`;

/** Key of a chunk's row. */
export const getChunkRowKey = (chunk: Chunk): string =>
  getChunkKey(chunk.job, chunk.index, chunk.piece);
