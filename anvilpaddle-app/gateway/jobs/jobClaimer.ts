/** Manages the jobs that this gateway owns: claims those without a live owner, hands jobs over. */
import {
  getCompositeKey,
  getErrorMessage,
  MS_PER_SECOND,
  newRoomQueue,
  UNBOUNDED_HOLDER,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import { shouldClaimJob } from '@anvilpaddle/decisions';
import { getPlatformErrorMessage } from '@anvilpaddle/platform';
import { isUnfinished, type JobCache } from './jobCache';
import type { JobName } from './jobNames';
import type { StoredJob } from './jobRecords';
import type { JobStore } from './jobStoreTypes';
import { newOwnedJob, type OwnedJob } from './ownedJob';

/** Interval of the checks for jobs to claim or to remove. */
const CLAIM_INTERVAL_MS = 300;
/** Interval of checkpoints: the work of up to this time is lost when the owner is killed. */
const CHECKPOINT_INTERVAL_MS = 1000;
/** Time beyond its retention for which a finished job is kept. */
const RETENTION_SLACK_MS = 30 * MS_PER_SECOND;

/** Number of jobs that are started at a time; each brings its checkpoints and an index of its items. */
const MAX_LOADS = 4;
/** Longest wait for room for what starting a job reads; it is tried again. */
const ROOM_TIMEOUT_MS = 5 * MS_PER_SECOND;

/** Dependencies of the claimer. */
export interface JobClaimerDependencies {
  /** Incarnation of this gateway. */
  readonly self: string;
  readonly store: JobStore;
  readonly jobs: JobCache;
  /** Incarnations of the gateways that accept jobs, including this one. */
  readonly getEligibleOwners: () => readonly string[];
  /** Whether a gateway incarnation may still be running. */
  readonly isAlive: (incarnation: string) => boolean;
  /** Whether this gateway's view of jobs and gateways is recent enough to judge owners by it. */
  readonly isViewCurrent: () => boolean;
  /** Revision of the store as of the last read of the list of gateways. */
  readonly getListRevision: () => number;
  /** Time after submission for which a job is kept, in milliseconds. */
  readonly retentionMs: number;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Claims jobs and holds those that this gateway owns. */
export interface JobClaimer {
  /** Jobs that this gateway owns and whose items it has read. */
  getOwnedJobs(): OwnedJob[];
  /** Called when the record of a job has changed. */
  onJobChange(job: StoredJob): void;
  /** Stops claiming and starting jobs; jobs that are already owned stay. */
  stopClaiming(): void;
  /** Clears the owner of all owned jobs; resolves once the store has committed that. */
  handOver(): Promise<void>;
}

/** Calls of the claimer when the set of owned jobs changes. */
export interface OwnershipHooks {
  /** Called after a job has joined the owned ones. */
  onOwned(): void;
  /** Called for each job that this gateway no longer owns. */
  onReleased(job: OwnedJob): void;
}

/** Starts claiming jobs. */
export const newJobClaimer = (
  dependencies: JobClaimerDependencies,
  { onOwned, onReleased }: OwnershipHooks,
): JobClaimer => {
  const { self, store, jobs: jobCache, clock, log } = dependencies;
  const owned = new Map<string, OwnedJob>();
  /** Keys of the jobs whose items are being read. */
  const loading = new Set<string>();
  const loads = newRoomQueue(MAX_LOADS, UNBOUNDED_HOLDER, clock);
  const roomWait = { timeoutMs: ROOM_TIMEOUT_MS };
  let isStopped = false;

  const getJobKey = ({ team, id }: JobName): string => getCompositeKey(team, id);

  const release = (jobKey: string): void => {
    const job = owned.get(jobKey);
    owned.delete(jobKey);
    if (job !== undefined) onReleased(job);
  };

  const logErrors = (work: Promise<void>, message: string): void => {
    work.catch((error: unknown) => log.error({ reason: getErrorMessage(error) }, message));
  };

  /** Clears the owner of a job that this gateway no longer starts, so that another one claims it. */
  const giveBack = async (stored: StoredJob): Promise<void> => {
    const next = { ...stored.record, owner: undefined };
    const commit = await store.update(stored, { record: next });
    if (!commit.ok) {
      const reason = getPlatformErrorMessage(commit.error);
      log.warn({ job: next.id, reason }, 'job not given back');
      return;
    }
    if (!commit.value.committed) return;
    log.info({ job: next.id }, 'job given back');
    jobCache.put({ record: next, revision: commit.value.revision });
  };

  /** Reads what is stored of a job beside its record, a few jobs at a time. */
  const readContent = async ({ record }: StoredJob) => {
    const turn = await loads.take(1, roomWait);
    try {
      return await Promise.all([
        store.readItemSummaries(record, roomWait),
        store.readCheckpoints(record),
      ]);
    } finally {
      turn.release();
    }
  };

  /** Reads the items of a job whose record names this gateway as owner, and starts the job. */
  const load = async (stored: StoredJob): Promise<void> => {
    const { team, id } = stored.record;
    const jobKey = getJobKey(stored.record);
    if (isStopped || owned.has(jobKey) || loading.has(jobKey)) return;
    loading.add(jobKey);
    const [items, checkpoints] = await readContent(stored).finally(() => loading.delete(jobKey));
    if (!items.ok || !checkpoints.ok) {
      log.warn({ job: id }, 'job not started: its items could not be read');
      return;
    }
    const newest = jobCache.get(team, id) ?? stored;
    if (newest.record.owner !== self || !isUnfinished(newest)) return;
    if (isStopped) {
      await giveBack(newest);
      return;
    }
    const jobDependencies = { store, jobCache, self, clock, log };
    const summaries = items.value;
    const content = { items: summaries, checkpoints: checkpoints.value };
    const onJobReleased = (): void => {
      store.forgetItems(summaries);
      release(jobKey);
    };
    owned.set(jobKey, newOwnedJob(newest, content, onJobReleased, jobDependencies));
    onOwned();
    logErrors(store.prefetchItems(summaries, roomWait), 'items not read ahead');
  };

  /** Makes this gateway the owner of a job, unless another change of the job wins. */
  const claim = async (stored: StoredJob): Promise<void> => {
    const { record } = stored;
    const next = { ...record, owner: self };
    const commit = await store.update(stored, { record: next });
    if (!commit.ok) {
      log.warn(
        { job: record.id, reason: getPlatformErrorMessage(commit.error) },
        'job not claimed',
      );
      return;
    }
    log.info({ job: record.id, from: record.owner, isMine: commit.value.committed }, 'job claimed');
    if (commit.value.committed) {
      jobCache.put({ record: next, revision: commit.value.revision });
      return;
    }
    const newest = await store.read(record);
    if (newest.ok && newest.value !== undefined) jobCache.put(newest.value);
  };

  const remove = async (stored: StoredJob): Promise<void> => {
    const removed = await store.remove(stored);
    if (!removed.ok) {
      log.warn(
        { job: stored.record.id, reason: getPlatformErrorMessage(removed.error) },
        'job not removed',
      );
    }
  };

  /**
   * Whether the list of gateways is newer than the job's record. A gateway that has just started may
   * have accepted the job before its peers know that it is there.
   */
  const canJudgeOwner = ({ record, revision }: StoredJob): boolean =>
    record.owner === undefined || revision <= dependencies.getListRevision();

  /** Starts the jobs owned here, claims those without a live owner, and removes expired ones. */
  const checkJobs = (): void => {
    if (isStopped || !dependencies.isViewCurrent()) return;
    const ownership = {
      self,
      eligibleOwners: dependencies.getEligibleOwners(),
      isAlive: dependencies.isAlive,
    };
    const storeMs = jobCache.getStoreMs();
    jobCache.getAll().forEach((stored) => {
      const { record } = stored;
      if (isUnfinished(stored)) {
        if (record.owner === self) logErrors(load(stored), 'job not started');
        else if (canJudgeOwner(stored) && shouldClaimJob(record.id, record.owner, ownership)) {
          logErrors(claim(stored), 'job claim failed');
        }
        return;
      }
      const isExpired =
        storeMs !== undefined &&
        storeMs - record.submittedMs > dependencies.retentionMs + RETENTION_SLACK_MS;
      if (isExpired && shouldClaimJob(record.id, undefined, ownership)) {
        logErrors(remove(stored), 'job removal failed');
      }
    });
  };

  clock.every(CLAIM_INTERVAL_MS, checkJobs);
  clock.every(CHECKPOINT_INTERVAL_MS, () => owned.forEach((job) => job.saveCheckpoints()));

  return {
    getOwnedJobs: () => [...owned.values()],
    onJobChange: (job) => {
      const jobKey = getJobKey(job.record);
      owned.get(jobKey)?.refresh(job);
      if (job.record.owner !== self || !isUnfinished(job)) return;
      if (!isStopped) logErrors(load(job), 'job not started');
      else if (!owned.has(jobKey)) logErrors(giveBack(job), 'job not given back');
    },
    stopClaiming: () => {
      isStopped = true;
    },
    handOver: async () => {
      await Promise.all([...owned.values()].map((job) => job.handOver()));
    },
  };
};
