/** Checks whether the jobs of a sidecar's chunks are still open. */
import { JOB_STATE } from '@anvilpaddle/decisions';
import { MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import type { TableService } from '@anvilpaddle/platform';
import { readJob } from '../batch/jobEnd';

/** Minimum interval between two checks whether the jobs of the held chunks are still open. */
const JOB_CHECK_INTERVAL_MS = 1500;
/** Checks per second that all sidecars together may make of their jobs. */
const JOB_CHECKS_PER_SECOND = 500;

/** What the checks need from the batch worker. */
export interface HeldJobsDependencies {
  readonly tables: TableService;
  readonly clock: Clock;
  readonly log: Logger;
  /** Ids of the jobs whose chunks are held, with repeats. */
  readonly getIds: () => readonly string[];
  /** Called for a job that has ended or was removed. */
  readonly onEnded: (id: string) => void;
  readonly getSidecarCount: () => number;
}

/** Jobs of the held chunks. */
export interface HeldJobs {
  /** Reads a job at once if a chunk of it is held. */
  recheck(id: string): void;
  /** Reads all jobs if the last check is long enough ago. */
  checkIfDue(): void;
}

/** Creates the checks. */
export const newHeldJobs = ({
  tables,
  clock,
  log,
  getIds,
  onEnded,
  getSidecarCount,
}: HeldJobsDependencies): HeldJobs => {
  let lastCheckMs = 0;

  const read = async (id: string): Promise<void> => {
    const found = await readJob(tables, id);
    if (found.ok && found.value?.job.state !== JOB_STATE.inProgress) onEnded(id);
  };

  const check = (id: string): void => {
    read(id).catch((error: unknown) =>
      log.error({ err: error }, 'job of a held chunk could not be read'),
    );
  };

  return {
    recheck: (id) => {
      if (getIds().includes(id)) check(id);
    },
    checkIfDue: () => {
      const nowMs = clock.monotonic();
      const spreadMs = (getSidecarCount() * MS_PER_SECOND) / JOB_CHECKS_PER_SECOND;
      if (nowMs - lastCheckMs < Math.max(JOB_CHECK_INTERVAL_MS, spreadMs)) return;
      lastCheckMs = nowMs;
      new Set(getIds()).forEach(check);
    },
  };
};
