/** Runs the items of the jobs in this gateway's care in the slots that online requests leave. */
import { getErrorMessage, type Random } from '@anvilpaddle/common';
import {
  compareUrgency,
  getUpstreamForItem,
  getItemsToStart,
  getItemsToPreempt,
  newRunTimeEstimator,
  type BatchCandidate,
  type Health,
  type ItemTracker,
  type ItemTiming,
  type LoadTracker,
} from '@anvilpaddle/decisions';
import { waitMs } from '../../process/program';
import type { CallerProtocol } from '../callerProtocol';
import type { ConfigWatch } from '../configWatch';
import type { FleetView } from '../fleetView';
import { pickService } from '../routeTable';
import type { Route, Upstream } from '../types';
import { newJobClaimer, type JobClaimerDependencies } from './jobClaimer';
import { runItem, type RunOutcome } from './runItem';
import type { StoredJob } from './jobRecords';
import type { OwnedJob, PendingItem } from './ownedJob';

/** Time between two looks at the load. */
const TICK_MS = 30;
/** Items that start at one look; more would be decided on loads that others change too. */
const STARTS_PER_TICK = 2;
/** Waiting items of a service that the other gateways are told of. */
const MAX_TOLD_ITEMS = 8;
/** Time between two tries of the store by a gateway that is to hand over its jobs. */
const STORE_TRY_MS = 200;
/** Pause of an item after a run that broke or was refused. */
const PAUSE_MS = 150;

/** What the runner uses. */
export interface JobRunnerDependencies extends JobClaimerDependencies {
  readonly deployment: ConfigWatch;
  readonly view: FleetView;
  readonly protocol: CallerProtocol;
  readonly upstreamLoads: LoadTracker;
  readonly items: ItemTracker;
  readonly health: Health;
  readonly random: Random;
}

interface Run {
  readonly job: OwnedJob;
  readonly pending: PendingItem;
  readonly upstream: Upstream;
  readonly dueMs: number;
  readonly abort: AbortController;
}

/** An item that could run now. */
interface Ready extends ItemTiming {
  readonly job: OwnedJob;
  readonly pending: PendingItem;
  readonly service: string;
}

/** An item that runs, with the time that it still needs. */
interface Running extends ItemTiming {
  readonly run: Run;
}

/** Runner of batch items. */
export interface JobRunner {
  /** A record of a job changed. */
  onJobChange(job: StoredJob): void;
  /** Number of jobs in this gateway's care. */
  getOwnedJobCount(): number;
  /** The load of the upstreams changed. */
  onLoadChange(): void;
  /** Gives the jobs back once the store can take them; until then the items run on. */
  stop(): Promise<void>;
}

const getGroups = <T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const group = groups.get(getKey(item)) ?? [];
    group.push(item);
    groups.set(getKey(item), group);
  });
  return groups;
};

/** Starts running jobs. */
export const newJobRunner = (services: JobRunnerDependencies): JobRunner => {
  const { jobs, deployment, view, items, clock, random, log } = services;
  const runs = new Set<Run>();
  let isStopped = false;

  const keeper = newJobClaimer(services, (lost) =>
    runs.forEach(({ job, abort }) => {
      if (job === lost) abort.abort();
    }),
  );
  const estimate = newRunTimeEstimator();

  const getRemainingMs = (job: OwnedJob, { events }: PendingItem): number =>
    estimate.getRemainingMs(job.getRecord().route, events);

  const getJobRoute = (job: OwnedJob): Route | undefined =>
    deployment.current()?.routes.find(({ name }) => name === job.getRecord().route);

  const settle = (job: OwnedJob, pending: PendingItem, end: RunOutcome): void => {
    const { item } = pending;
    const route = getJobRoute(job);
    const listError = (): void =>
      job.addResult(pending, { id: item.id, state: 'errored', output: '' });
    if (end.kind === 'done') {
      estimate.learnCompletion(job.getRecord().route, pending.events);
      job.addResult(pending, { id: item.id, state: 'succeeded', output: pending.texts.join('\n') });
      return;
    }
    if (end.kind === 'impossible') {
      log.info({ job: job.id, item: item.id }, 'item can not be done');
      listError();
      return;
    }
    pending.notBeforeMs = clock.monotonic() + PAUSE_MS * (1 + random());
    if (end.kind !== 'failed') return;
    const failures = job.countFailure(pending);
    log.info({ job: job.id, item: item.id, failures, detail: end.detail }, 'item failed');
    if (route !== undefined && failures >= route.maxAttempts) listError();
  };

  const start = async ({ job, pending, dueMs }: Ready, upstream: Upstream): Promise<void> => {
    const run: Run = { job, pending, upstream, dueMs, abort: new AbortController() };
    runs.add(run);
    pending.isRunning = true;
    const target = { upstream, host: job.getRecord().host, team: job.team };
    const before = { events: pending.events, runMs: pending.runMs };
    const end = await runItem(pending.item, target, pending, run.abort.signal, services);
    const events = pending.events - before.events;
    estimate.learnRun(job.getRecord().route, events, pending.runMs - before.runMs);
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

  /** Runs that have not been told to end. */
  const getRunning = (): Running[] =>
    [...runs]
      .filter(({ abort }) => !abort.signal.aborted)
      .map((run) => ({
        run,
        dueMs: run.dueMs,
        remainingMs: getRemainingMs(run.job, run.pending),
      }));

  /** Ends the least urgent runs where online requests need the slots. */
  const yieldSlots = (candidates: readonly BatchCandidate[], running: readonly Running[]): void => {
    const byUpstream = getGroups(running, ({ run }) => run.upstream.id);
    const storeMs = jobs.getStoreMs() ?? 0;
    candidates.forEach((candidate) => {
      const own = byUpstream.get(candidate.id) ?? [];
      if (own.length === 0) return;
      const peers = items.getRunning(candidate.id, clock.monotonic());
      getItemsToPreempt({ own, peers }, candidate, storeMs).forEach(({ run }) => {
        const { job, pending, upstream } = run;
        const { load, slots } = candidate;
        const facts = { upstream: upstream.id, events: pending.events, ...load, slots };
        log.info({ job: job.id, item: pending.item.id, ...facts }, 'item yields');
        run.abort.abort();
      });
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
      .getPendingItems()
      .filter(({ isRunning }) => !isRunning)
      .forEach((pending) =>
        job.addResult(pending, { id: pending.item.id, state: 'errored', output: '' }),
      );
  };

  const getReady = (): Ready[] => {
    const nowMs = clock.monotonic();
    const storeMs = jobs.getStoreMs() ?? 0;
    return keeper.getOwnedJobs().flatMap((job) => {
      const route = getJobRoute(job);
      if (route === undefined) {
        if (deployment.areKeysFresh()) giveUp(job, 'the route is gone');
        return [];
      }
      const { submittedMs } = job.getRecord();
      if (storeMs - submittedMs > route.jobs.expiryMs) {
        giveUp(job, 'too old');
        return [];
      }
      const service = pickService(route, random);
      if (service === undefined) return [];
      const dueMs = submittedMs + route.jobs.dueMs;
      return job
        .getPendingItems()
        .filter(({ isRunning, notBeforeMs }) => !isRunning && notBeforeMs <= nowMs)
        .map((pending) => {
          const remainingMs = getRemainingMs(job, pending);
          return { job, pending, service, dueMs, remainingMs };
        });
    });
  };

  const startItems = (service: string, own: readonly Ready[]): void => {
    const nowMs = clock.monotonic();
    const peers = items.getWaiting(service, nowMs);
    const candidates = view.getBatchCandidates(service);
    getItemsToStart({ own, peers }, candidates, jobs.getStoreMs() ?? 0)
      .slice(0, STARTS_PER_TICK)
      .forEach((ready) => {
        const place = getUpstreamForItem(view.getBatchCandidates(service), random);
        const upstream = place === undefined ? undefined : view.getUpstream(place);
        if (upstream === undefined) return;
        const { job, pending, dueMs, remainingMs } = ready;
        const facts = { upstream: upstream.id, events: pending.events, dueMs, remainingMs };
        log.info({ job: job.id, item: pending.item.id, ...facts }, 'item starts');
        start(ready, upstream).catch((fault: unknown) =>
          log.error({ reason: getErrorMessage(fault) }, 'run failed'),
        );
      });
  };

  /** Tells the other gateways what this one runs and what it would start next. */
  const tellItems = (running: readonly Running[], ready: ReadonlyMap<string, Ready[]>): void => {
    const storeMs = jobs.getStoreMs() ?? 0;
    const isAnyUsable = (service: string): boolean =>
      view.getBatchCandidates(service).some(({ weight }) => weight === 1);
    const waiting = [...ready]
      .filter(([service]) => isAnyUsable(service))
      .map(([service, own]) => {
        const mostUrgent = own
          .filter(({ pending }) => !pending.isRunning)
          .sort((a, b) => compareUrgency(a, b, storeMs));
        return [service, mostUrgent.slice(0, MAX_TOLD_ITEMS)] as const;
      });
    items.setOwn({
      running: getGroups(running, ({ run }) => run.upstream.id),
      waiting: new Map(waiting),
    });
  };

  const yieldWhereFull = (running: readonly Running[]): void =>
    new Set(running.map(({ run }) => run.upstream.service)).forEach((service) =>
      yieldSlots(view.getBatchCandidates(service), running),
    );

  const tick = (): void => {
    yieldWhereFull(getRunning());
    leaveGoneUpstreams();
    const ready = getGroups(getReady(), ({ service }) => service);
    ready.forEach((own, service) => startItems(service, own));
    tellItems(getRunning(), ready);
  };

  const timer = clock.every(TICK_MS, tick);

  /** Resolves once the store answers, or when there is nothing to hand over. */
  const waitForStore = async (): Promise<void> => {
    let isAway = false;
    for (;;) {
      const [job] = keeper.getOwnedJobs();
      if (job === undefined) return;
      const answer = await services.store.read(job.team, job.id);
      if (answer.ok) return;
      if (!isAway) {
        log.info({ jobs: keeper.getOwnedJobs().length }, 'jobs kept while the store is away');
      }
      isAway = true;
      await waitMs(clock, STORE_TRY_MS);
    }
  };

  return {
    onJobChange: (stored) => keeper.onJobChange(stored),
    getOwnedJobCount: () => keeper.getOwnedJobs().length,
    onLoadChange: () => {
      if (!isStopped && runs.size > 0) yieldWhereFull(getRunning());
    },
    stop: async () => {
      keeper.stopClaiming();
      await waitForStore();
      isStopped = true;
      timer.cancel();
      runs.forEach(({ abort }) => abort.abort());
      items.setOwn({ running: new Map(), waiting: new Map() });
      await keeper.handOver();
    },
  };
};
