/** Names and row keys of the tables of files and jobs. */
import { getChunkKey, type Chunk, type Job } from '@anvilpaddle/decisions';

/** Tables of files and jobs. */
export const TABLE = {
  jobs: 'jobs',
  chunks: 'chunks',
  files: 'files',
  /** Unfinished jobs by group of upstreams; sidecars search them for work. */
  openJobs: 'open_jobs',
  /** Jobs by team, newest first. */
  teamJobs: 'team_jobs',
  /** Unfinished jobs by input file; a file with a row here can't be deleted. */
  fileJobs: 'file_jobs',
  /** Time at which a group's upstreams last served a model. */
  servedModels: 'served_models',
  /** Jobs by team and idempotency key. */
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
