/** Finds the jobs that this gateway is to run: its own, and those whose owner is gone. */
import { getErrorMessage, MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import { shouldClaimJob } from '@anvilpaddle/decisions';
import { getPlatformErrorText } from '@anvilpaddle/platform';
import { isUnfinished, type JobCache } from './jobCache';
import type { StoredJob } from './jobRecords';
import type { JobStore } from './jobStore';
import { newOwnedJob, type OwnedJob } from './ownedJob';

/** Time between two looks at jobs without an owner. */
const CLAIM_MS = 300;
/** Time between two stores of the items' progress: so much of their work may be lost. */
const CHECKPOINT_MS = 1000;
/** Time beyond its retention for which a finished job is kept. */
const RETENTION_SLACK_MS = 30 * MS_PER_SECOND;

/** What the keeper uses. */
export interface JobClaimerDependencies {
  readonly self: string;
  readonly store: JobStore;
  readonly jobs: JobCache;
  /** Gateways that can take jobs, this one included. */
  readonly getEligibleOwners: () => readonly string[];
  readonly isAlive: (incarnation: string) => boolean;
  /** Whether this gateway knows enough to tell whose owner is gone. */
  readonly isViewCurrent: () => boolean;
  readonly retentionMs: number;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Keeper of the jobs that this gateway runs. */
export interface JobClaimer {
  /** Jobs in this gateway's care. */
  getOwnedJobs(): OwnedJob[];
  /** A record of a job changed. */
  onJobChange(job: StoredJob): void;
  /** Takes no more jobs. */
  stopClaiming(): void;
  /** Gives the jobs in care to the others; resolves once the store has it. */
  handOver(): Promise<void>;
}

/** Starts looking after jobs; `onLost` is called when one is no longer in this gateway's care. */
export const newJobClaimer = (
  services: JobClaimerDependencies,
  onLost: (job: OwnedJob) => void,
): JobClaimer => {
  const { self, store, jobs, clock, log } = services;
  const owned = new Map<string, OwnedJob>();
  const adopting = new Set<string>();
  let isClosed = false;

  const getName = ({ team, id }: { readonly team: string; readonly id: string }): string =>
    `${team}\n${id}`;

  const drop = (name: string): void => {
    const job = owned.get(name);
    owned.delete(name);
    if (job !== undefined) onLost(job);
  };

  /** Takes a job that this gateway owns by its record into care. */
  const adopt = async (stored: StoredJob): Promise<void> => {
    const { team, id } = stored.record;
    const name = getName(stored.record);
    if (isClosed || owned.has(name) || adopting.has(name)) return;
    adopting.add(name);
    const items = await store.readItems(team, id);
    const checkpoints = await store.readCheckpoints(team, id);
    adopting.delete(name);
    if (!items.ok || items.value === undefined || !checkpoints.ok) {
      log.warn({ job: id }, 'job not taken: its items can not be read');
      return;
    }
    const newest = jobs.get(team, id) ?? stored;
    if (newest.record.owner !== self || !isUnfinished(newest)) return;
    const parts = { store, jobCache: jobs, self, clock, log };
    const content = { items: items.value, checkpoints: checkpoints.value };
    owned.set(
      name,
      newOwnedJob(newest, content, () => drop(name), parts),
    );
  };

  const claim = async (stored: StoredJob): Promise<void> => {
    const { record } = stored;
    const next = { ...record, owner: self };
    const commit = await store.update(stored, { record: next });
    if (!commit.ok) {
      log.warn({ job: record.id, reason: getPlatformErrorText(commit.error) }, 'job not claimed');
      return;
    }
    log.info({ job: record.id, from: record.owner, isMine: commit.value.committed }, 'job claimed');
    if (commit.value.committed) {
      jobs.put({ record: next, revision: commit.value.revision });
      return;
    }
    const newest = await store.read(record.team, record.id);
    if (newest.ok && newest.value !== undefined) jobs.put(newest.value);
  };

  const remove = async (stored: StoredJob): Promise<void> => {
    const removed = await store.remove(stored);
    if (!removed.ok) {
      log.warn(
        { job: stored.record.id, reason: getPlatformErrorText(removed.error) },
        'job not removed',
      );
    }
  };

  const guard = (work: Promise<void>, what: string): void => {
    work.catch((fault: unknown) => log.error({ reason: getErrorMessage(fault) }, what));
  };

  const look = (): void => {
    if (isClosed || !services.isViewCurrent()) return;
    const ownership = {
      self,
      eligibleOwners: services.getEligibleOwners(),
      isAlive: services.isAlive,
    };
    const storeMs = jobs.getStoreMs();
    jobs.getAll().forEach((stored) => {
      const { record } = stored;
      if (isUnfinished(stored)) {
        if (record.owner === self) guard(adopt(stored), 'job not taken');
        else if (shouldClaimJob(record.id, record.owner, ownership)) {
          guard(claim(stored), 'claim failed');
        }
        return;
      }
      const isPast =
        storeMs !== undefined &&
        storeMs - record.submittedMs > services.retentionMs + RETENTION_SLACK_MS;
      if (isPast && shouldClaimJob(record.id, undefined, ownership)) {
        guard(remove(stored), 'removal failed');
      }
    });
  };

  clock.every(CLAIM_MS, look);
  clock.every(CHECKPOINT_MS, () => owned.forEach((job) => job.saveCheckpoints()));

  return {
    getOwnedJobs: () => [...owned.values()],
    onJobChange: (job) => {
      owned.get(getName(job.record))?.refresh(job);
      if (job.record.owner === self && isUnfinished(job)) guard(adopt(job), 'job not taken');
    },
    stopClaiming: () => {
      isClosed = true;
    },
    handOver: async () => {
      await Promise.all([...owned.values()].map((job) => job.handOver()));
    },
  };
};
