/** Reads jobs and ends them. */
import { JOB_STATE, jobSchema, type Job, type JobCounts } from '@anvilpaddle/decisions';
import { newOk, type Result } from '@anvilpaddle/common';
import type { Commit, PlatformError, Row, TableService } from '@anvilpaddle/platform';
import { commitAndVerify } from './verifiedCommit';
import { getFileJobKey, getOpenJobKey, TABLE } from './tables';

/** State, counts and time of a job's end. */
export interface JobEnd {
  readonly state: typeof JOB_STATE.completed | typeof JOB_STATE.cancelled;
  /** Absent for a cancelled job, whose committed chunks are counted when it is read. */
  readonly counts?: JobCounts;
  /** Wall time in ms. */
  readonly finishedAt: number;
}

/**
 * Ends a job at the revision of its row. Commits of chunks check that revision too, so the one
 * write of the row decides whether a cancellation or the last commits come first.
 */
export const endJob = async (
  tables: TableService,
  row: Row,
  end: JobEnd,
): Promise<Result<Commit, PlatformError>> => {
  const job = jobSchema.parse(row.value);
  const ended: Job = {
    ...job,
    state: end.state,
    completed: end.counts?.completed,
    failed: end.counts?.failed,
    finishedAt: end.finishedAt,
  };
  return commitAndVerify(
    tables,
    {
      checks: [{ table: TABLE.jobs, key: job.id, revision: row.revision }],
      writes: [
        { table: TABLE.jobs, key: job.id, value: ended },
        { table: TABLE.openJobs, key: getOpenJobKey(job), value: null },
        { table: TABLE.fileJobs, key: getFileJobKey(job), value: null },
      ],
    },
    {
      table: TABLE.jobs,
      key: job.id,
      isMine: (found) =>
        found !== undefined &&
        found.revision !== row.revision &&
        jobSchema.parse(found.value).state === end.state,
    },
  );
};

/** Reads a job with its row; undefined when it does not exist. */
export const readJob = async (
  tables: TableService,
  id: string,
): Promise<Result<{ readonly row: Row; readonly job: Job } | undefined, PlatformError>> => {
  const row = await tables.get(TABLE.jobs, id);
  if (!row.ok) return row;
  return newOk(row.value && { row: row.value, job: jobSchema.parse(row.value.value) });
};
