/** Runs the items of the jobs in this gateway's care in the slots that online requests leave. */
import {
  getFaultMessage,
  MS_PER_SECOND,
  type Clock,
  type Logger,
  type Random,
} from '@anvilpaddle/common';
import {
  compareItems,
  getItemPlace,
  getYieldCount,
  isToClaim,
  newItemEstimate,
  type Health,
  type LoadBoard,
} from '@anvilpaddle/decisions';
import { getPlatformErrorText } from '@anvilpaddle/platform';
import type { CallerProtocol } from '../callerProtocol';
import type { DeploymentWatch } from '../deploymentWatch';
import type { FleetView } from '../fleetView';
import { getService } from '../routeTable';
import type { Route, Upstream } from '../types';
import { isOpen, type JobBoard } from './jobBoard';
import { runItem, type RunEnd } from './itemRun';
import type { JobStore, StoredJob } from './jobStore';
import { newOwnedJob, type OwnedJob, type PendingItem } from './ownedJob';

/** Time between two looks at the load. */
const TICK_MS = 30;
/** Time between two looks at jobs without an owner. */
const CLAIM_MS = 300;
/** Time between two stores of the items' progress: so much of their work may be lost. */
const CHECKPOINT_MS = 1000;
/** Items that start at one look; more would be decided on loads that others change too. */
const STARTS_PER_TICK = 2;
/** Pause of an item after a run that broke or was refused. */
const PAUSE_MS = 150;
/** Time beyond its retention for which a finished job is kept. */
const RETENTION_SLACK_MS = 30 * MS_PER_SECOND;

/** What the runner uses. */
export interface RunnerServices {
  readonly self: string;
  readonly store: JobStore;
  readonly jobs: JobBoard;
  readonly deployment: DeploymentWatch;
  readonly view: FleetView;
  readonly protocol: CallerProtocol;
  readonly board: LoadBoard;
  readonly health: Health;
  /** Gateways that can take jobs, this one included. */
  readonly getTakers: () => readonly string[];
  readonly isAlive: (incarnation: string) => boolean;
  /** Whether this gateway knows enough to tell whose owner is gone. */
  readonly isSettled: () => boolean;
  readonly retentionMs: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

interface Run {
  readonly job: OwnedJob;
  readonly pending: PendingItem;
  readonly upstream: Upstream;
  readonly dueMs: number;
  readonly abort: AbortController;
}

/** An item that could run now. */
interface Ready {
  readonly job: OwnedJob;
  readonly pending: PendingItem;
  readonly service: string;
  readonly dueMs: number;
}

/** Runner of batch items. */
export interface JobRunner {
  /** A record of a job changed. */
  onJob(job: StoredJob): void;
  /** Ends all runs and gives the jobs back. */
  stop(): Promise<void>;
}

/** Starts running jobs. */
export const newJobRunner = (services: RunnerServices): JobRunner => {
  const { self, store, jobs, deployment, view, clock, random, log } = services;
  const owned = new Map<string, OwnedJob>();
  const adopting = new Set<string>();
  const runs = new Set<Run>();
  let isStopping = false;

  const estimate = newItemEstimate();

  /** What an item's order goes by, on the store's clock. */
  const getWaiting = ({ job, pending, dueMs }: Pick<Ready, 'job' | 'pending' | 'dueMs'>) => ({
    dueMs,
    remainingMs: estimate.getRemainingMs(job.record().route, pending.events),
  });

  const compareUrgency = (
    a: Pick<Ready, 'job' | 'pending' | 'dueMs'>,
    b: Pick<Ready, 'job' | 'pending' | 'dueMs'>,
  ): number => compareItems(getWaiting(a), getWaiting(b), jobs.getStoreMs() ?? 0);

  const getName = ({ team, id }: { readonly team: string; readonly id: string }): string =>
    `${team}\n${id}`;

  const getJobRoute = (job: OwnedJob): Route | undefined =>
    deployment.current()?.routes.find(({ name }) => name === job.record().route);

  const drop = (name: string): void => {
    owned.delete(name);
    runs.forEach((run) => {
      if (getName(run.job) === name) run.abort.abort();
    });
  };

  /** Takes a job that this gateway owns by its record into care. */
  const adopt = async (stored: StoredJob): Promise<void> => {
    const { team, id } = stored.record;
    const name = getName(stored.record);
    if (isStopping || owned.has(name) || adopting.has(name)) return;
    adopting.add(name);
    const items = await store.readItems(team, id);
    const checkpoints = await store.readCheckpoints(team, id);
    adopting.delete(name);
    if (!items.ok || items.value === undefined || !checkpoints.ok) {
      log.warn({ job: id }, 'job not taken: its items can not be read');
      return;
    }
    const newest = jobs.get(team, id) ?? stored;
    if (newest.record.owner !== self || !isOpen(newest)) return;
    const parts = { store, board: jobs, self, clock, log };
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
    work.catch((fault: unknown) => log.error({ reason: getFaultMessage(fault) }, what));
  };

  const look = (): void => {
    if (isStopping || !services.isSettled()) return;
    const ownership = { self, takers: services.getTakers(), isAlive: services.isAlive };
    const storeMs = jobs.getStoreMs();
    jobs.all().forEach((stored) => {
      const { record } = stored;
      if (isOpen(stored)) {
        if (record.owner === self) guard(adopt(stored), 'job not taken');
        else if (isToClaim(record.id, record.owner, ownership)) {
          guard(claim(stored), 'claim failed');
        }
        return;
      }
      const isPast =
        storeMs !== undefined &&
        storeMs - record.submittedMs > services.retentionMs + RETENTION_SLACK_MS;
      if (isPast && isToClaim(record.id, undefined, ownership)) {
        guard(remove(stored), 'removal failed');
      }
    });
  };

  const settle = (job: OwnedJob, pending: PendingItem, end: RunEnd): void => {
    const { item } = pending;
    const route = getJobRoute(job);
    const listError = (): void =>
      job.settle(pending, { id: item.id, state: 'errored', output: '' });
    if (end.kind === 'done') {
      estimate.learn(job.record().route, pending.events, pending.runMs);
      job.settle(pending, { id: item.id, state: 'succeeded', output: pending.texts.join('\n') });
      return;
    }
    if (end.kind === 'impossible') {
      log.info({ job: job.id, item: item.id }, 'item can not be done');
      listError();
      return;
    }
    pending.notBeforeMs = clock.monotonic() + PAUSE_MS * (1 + random());
    if (end.kind !== 'failed') return;
    const failures = job.fail(pending);
    log.info({ job: job.id, item: item.id, failures, detail: end.detail }, 'item failed');
    if (route !== undefined && failures >= route.maxAttempts) listError();
  };

  const start = async (job: OwnedJob, pending: PendingItem, upstream: Upstream, dueMs: number) => {
    const run: Run = { job, pending, upstream, dueMs, abort: new AbortController() };
    runs.add(run);
    pending.isRunning = true;
    const target = { upstream, host: job.record().host, team: job.team };
    const end = await runItem(pending.item, target, pending, run.abort.signal, services);
    pending.isRunning = false;
    runs.delete(run);
    if (run.abort.signal.aborted && end.kind !== 'done') return;
    if (end.kind === 'broken') {
      log.info(
        { job: job.id, item: pending.item.id, upstream: upstream.id, detail: end.detail },
        'run broken',
      );
    }
    settle(job, pending, end);
  };

  const getOwnItems = (): Map<string, number> => {
    const counts = new Map<string, number>();
    runs.forEach(({ upstream, abort }) => {
      if (abort.signal.aborted) return;
      counts.set(upstream.id, (counts.get(upstream.id) ?? 0) + 1);
    });
    return counts;
  };

  /** Ends the least urgent runs where online requests need the slots. */
  const yieldSlots = (service: string): void => {
    view.getBatchCandidates(service, getOwnItems()).forEach((candidate) => {
      const count = getYieldCount(self, candidate);
      if (count === 0) return;
      [...runs]
        .filter(({ upstream, abort }) => upstream.id === candidate.id && !abort.signal.aborted)
        .sort((a, b) => compareUrgency(b, a))
        .slice(0, count)
        .forEach(({ abort }) => abort.abort());
    });
  };

  const leaveGoneUpstreams = (): void => {
    runs.forEach(({ upstream, abort }) => {
      const known = view.getUpstream(upstream.id);
      if (known?.incarnation !== upstream.incarnation) abort.abort();
    });
  };

  const giveUp = (job: OwnedJob, reason: string): void => {
    log.info({ job: job.id, reason }, 'items given up');
    job
      .pending()
      .filter(({ isRunning }) => !isRunning)
      .forEach((pending) =>
        job.settle(pending, { id: pending.item.id, state: 'errored', output: '' }),
      );
  };

  const getReady = (): Ready[] => {
    const nowMs = clock.monotonic();
    const storeMs = jobs.getStoreMs() ?? 0;
    return [...owned.values()].flatMap((job) => {
      const route = getJobRoute(job);
      if (route === undefined) {
        if (deployment.areKeysFresh()) giveUp(job, 'the route is gone');
        return [];
      }
      const { submittedMs } = job.record();
      if (storeMs - submittedMs > route.jobs.abandonMs) {
        giveUp(job, 'too old');
        return [];
      }
      const service = getService(route, random);
      if (service === undefined) return [];
      const dueMs = submittedMs + route.jobs.dueMs;
      return job
        .pending()
        .filter(({ isRunning, notBeforeMs }) => !isRunning && notBeforeMs <= nowMs)
        .map((pending) => ({ job, pending, service, dueMs }));
    });
  };

  const startItems = (): void => {
    const ready = getReady().sort(compareUrgency);
    let starts = 0;
    for (const { job, pending, service, dueMs } of ready) {
      if (starts >= STARTS_PER_TICK) return;
      const place = getItemPlace(view.getBatchCandidates(service, getOwnItems()), random);
      const upstream = place === undefined ? undefined : view.getUpstream(place);
      if (upstream === undefined) return;
      starts += 1;
      guard(start(job, pending, upstream, dueMs), 'run failed');
    }
  };

  const tick = (): void => {
    if (isStopping || (owned.size === 0 && runs.size === 0)) return;
    const busyServices = new Set([...runs].map(({ upstream }) => upstream.service));
    busyServices.forEach(yieldSlots);
    leaveGoneUpstreams();
    if (owned.size > 0) startItems();
  };

  const checkpointAll = (): void => owned.forEach((job) => job.checkpoint());

  const timers = [
    clock.every(TICK_MS, tick),
    clock.every(CLAIM_MS, look),
    clock.every(CHECKPOINT_MS, checkpointAll),
  ];

  return {
    onJob: (stored) => {
      owned.get(getName(stored.record))?.refresh(stored);
      if (stored.record.owner === self && isOpen(stored)) guard(adopt(stored), 'job not taken');
    },
    stop: async () => {
      isStopping = true;
      timers.forEach((timer) => timer.cancel());
      runs.forEach(({ abort }) => abort.abort());
      await Promise.all([...owned.values()].map((job) => job.handOver()));
    },
  };
};
