import { JOB_STATE, jobSchema, type Job, type JobCounts } from '@anvilpaddle/decisions';
import { newOk, type Result } from '@anvilpaddle/common';
import type { TransactionOutcome, PlatformError, Row, TableService } from '@anvilpaddle/platform';
import { settleCommit } from './settledCommit';
import { getFileJobKey, getOpenJobKey, TABLE } from './tables';

/** How a job ends. */
export interface JobEnd {
  readonly state: typeof JOB_STATE.completed | typeof JOB_STATE.cancelled;
  /** Missing for a cancelled job: its committed chunks are counted on reading. */
  readonly counts?: JobCounts;
  /** Wall time in ms. */
  readonly finishedAt: number;
}

/**
 * Ends a job that was read at a revision. The one write of its row decides between a cancel and
 * the last commits: those check the row's revision.
 */
export const endJob = async (
  tables: TableService,
  row: Row,
  end: JobEnd,
): Promise<Result<TransactionOutcome, PlatformError>> => {
  const job = jobSchema.parse(row.value);
  const ended: Job = {
    ...job,
    state: end.state,
    completed: end.counts?.completed,
    failed: end.counts?.failed,
    finishedAt: end.finishedAt,
  };
  return settleCommit(
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

/** Reads a job with its row. */
export const readJob = async (
  tables: TableService,
  id: string,
): Promise<Result<{ readonly row: Row; readonly job: Job } | undefined, PlatformError>> => {
  const row = await tables.get(TABLE.jobs, id);
  if (!row.ok) return row;
  return newOk(row.value && { row: row.value, job: jobSchema.parse(row.value.value) });
};
