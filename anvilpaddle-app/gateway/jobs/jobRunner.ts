/** Runs the items of the jobs that this gateway owns, in slots that online requests leave free. */
import { getErrorMessage, type Timer } from '@anvilpaddle/common';
import {
  compareUrgency,
  getItemsToStart,
  getItemsToPreempt,
  getPlacedItemsToStart,
  isLimited,
  isOverloaded,
  newRunTimeEstimator,
  newSlowRunMoves,
  type BatchCandidate,
  type Health,
  type ItemTracker,
  type ItemTiming,
  type PacedRun,
} from '@anvilpaddle/decisions';
import { sleep } from '../../process/program';
import { YIELD_REASON, type GatewayMetrics } from '../gatewayMetrics';
import { newItemExecution, type ItemExecutionDependencies } from './itemExecution';
import { newItemFetcher } from './itemFetcher';
import { newItemRuns, type Run } from './itemRuns';
import { newItemSelection, type ItemSelectionDependencies, type ReadyItem } from './itemSelection';
import { newJobClaimer, type JobClaimerDependencies } from './jobClaimer';
import type { StoredJob } from './jobRecords';
import type { OwnedJob, PendingItem } from './ownedJob';

/** Interval at which items are started and preempted. */
const TICK_INTERVAL_MS = 30;
/**
 * Maximum number of items started per service and tick. Other gateways change the same loads, so
 * more starts at once would be decided on outdated values.
 */
const MAX_STARTS_PER_TICK = 2;
/** Maximum number of waiting items per service that are reported to the other gateways. */
const MAX_REPORTED_ITEMS = 8;
/** Interval of a stopping gateway's checks whether the store can take its jobs. */
const STORE_CHECK_INTERVAL_MS = 200;

/** Dependencies of the runner. */
export interface JobRunnerDependencies
  extends JobClaimerDependencies, ItemSelectionDependencies, ItemExecutionDependencies {
  readonly items: ItemTracker;
  readonly health: Health;
  readonly metrics: Pick<GatewayMetrics, 'countResponseEnd' | 'countItemYield'>;
}

/** An item that is running, with the time that it still needs. */
interface RunningItem extends ItemTiming {
  readonly run: Run;
}

/** Runner of batch items. */
export interface JobRunner {
  /** Called when the record of a job has changed. */
  onJobChange(job: StoredJob): void;
  /** Number of jobs that this gateway owns. */
  getOwnedJobCount(): number;
  /** Called when the load of the upstreams has changed. */
  onLoadChange(): void;
  /** Hands the jobs over once the store answers; until then the items continue to run. */
  stop(): Promise<void>;
}

const groupBy = <T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const group = groups.get(getKey(item)) ?? [];
    group.push(item);
    groups.set(getKey(item), group);
  });
  return groups;
};

/** Starts claiming jobs and running their items. */
export const newJobRunner = (dependencies: JobRunnerDependencies): JobRunner => {
  const { jobs: jobCache, view, health, items: itemTracker, clock, log, metrics } = dependencies;
  const runs = newItemRuns(health, (upstream) => view.isCold(upstream), clock);
  let isStopped = false;
  let timer: Timer | undefined;

  const claimer = newJobClaimer(dependencies, {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called once jobs are read
    onOwned: () => startTicking(),
    onReleased: (released) =>
      runs.getAll().forEach(({ job, abort }) => {
        if (job === released) abort.abort();
      }),
  });
  const runTimeEstimator = newRunTimeEstimator();
  const slowRunMoves = newSlowRunMoves();

  /** Estimated time that an item still needs at an upstream. */
  const getRemainingMs = (job: OwnedJob, { events }: PendingItem, runMsPerEvent?: number): number =>
    runTimeEstimator.getRemainingMs(job.getRecord().route, events, runMsPerEvent);

  const { getReadyItems, pickUpstream, getJobRoute } = newItemSelection(
    { getOwnedJobs: () => claimer.getOwnedJobs(), runs, getRemainingMs },
    dependencies,
  );
  const fetcher = newItemFetcher(dependencies.store, clock, log);
  const executeItem = newItemExecution({ runs, runTimeEstimator, getJobRoute }, dependencies);

  /** Items whose runs have not been aborted. */
  const getRunningItems = (nowMs = clock.monotonic()): RunningItem[] =>
    runs
      .getAll()
      .filter(({ abort }) => !abort.signal.aborted)
      .map((run) => ({
        run,
        dueMs: run.dueMs,
        remainingMs: getRemainingMs(run.job, run.pending, run.pace.getMsPerEvent(nowMs)),
        hasBegun: run.pending.events > 0,
      }));

  /** Pace of a run beside the mean of its route; undefined until both are known. */
  const getPacedRun = ({ job, pace }: Run): PacedRun | undefined => {
    const msPerEvent = pace.getMsPerEvent(clock.monotonic());
    const { route } = job.getRecord();
    const meanMsPerEvent = runTimeEstimator.getMsPerEvent(route);
    return msPerEvent === undefined || meanMsPerEvent === undefined
      ? undefined
      : { route, msPerEvent, meanMsPerEvent };
  };

  /** Aborts this gateway's runs among the least urgent at an upstream with more work than slots. */
  const preemptItems = (candidate: BatchCandidate, own: readonly RunningItem[]): void => {
    const peers = itemTracker.getRunning(candidate.id, clock.monotonic());
    const storeMs = jobCache.getStoreMs() ?? 0;
    getItemsToPreempt({ own, peers }, candidate, storeMs).forEach(({ run }) => {
      const { job, pending, upstream } = run;
      const { load, slots } = candidate;
      const pacedRun = getPacedRun(run);
      const details = { upstream: upstream.id, events: pending.events, ...load, slots };
      log.info({ job: job.id, item: pending.item.id, ...details }, 'item yields');
      metrics.countItemYield(YIELD_REASON.online);
      pending.yieldedAt = upstream.id;
      pending.isAfterSlowRun = pacedRun !== undefined && slowRunMoves.isSlow(pacedRun);
      run.abort.abort();
    });
  };

  /** Aborts a slow run whose item is better resumed by a new one, at any upstream. */
  const moveIfSlow = ({ run, remainingMs }: RunningItem, nowMs: number): void => {
    const { job, pending, upstream, pace } = run;
    pace.observe(pending.events, nowMs);
    const pacedRun = getPacedRun(run);
    if (pacedRun === undefined) return;
    if (pending.isAfterSlowRun) slowRunMoves.learnNextRun(pacedRun);
    pending.isAfterSlowRun = false;
    // A new run costs an upstream with a limit one more request.
    const candidate = view.getBatchCandidate(upstream.id);
    if (pending.hasMoved || candidate === undefined || isLimited(candidate)) return;
    if (!slowRunMoves.shouldMove(pacedRun, remainingMs)) return;
    const { msPerEvent, meanMsPerEvent } = pacedRun;
    const details = { upstream: upstream.id, events: pending.events, msPerEvent, meanMsPerEvent };
    log.info({ job: job.id, item: pending.item.id, ...details }, 'item moves');
    metrics.countItemYield(YIELD_REASON.slow);
    pending.hasMoved = true;
    pending.isAfterSlowRun = true;
    run.abort.abort();
  };

  /** Aborts the runs at upstreams that are no longer registered or have restarted. */
  const abortRunsAtRemovedUpstreams = (): void => {
    runs.getAll().forEach(({ upstream, abort }) => {
      const known = view.getUpstream(upstream.id);
      if (known?.incarnation !== upstream.incarnation) abort.abort();
    });
  };

  /** Aborts the runs in evacuated failure domains; their items go on elsewhere after their last events. */
  const yieldEvacuatedRuns = (): void =>
    runs
      .getAll()
      .filter(({ upstream, abort }) => !abort.signal.aborted && view.isEvacuated(upstream))
      .forEach(({ job, pending, upstream, abort }) => {
        const { id, failureDomain } = upstream;
        const details = { upstream: id, events: pending.events, evacuated: failureDomain };
        log.info({ job: job.id, item: pending.item.id, ...details }, 'item yields');
        abort.abort();
      });

  /** Starts the most urgent items of a service, as far as the other gateways' items allow. */
  const startItems = (service: string, ready: readonly ReadyItem[]): void => {
    const nowMs = clock.monotonic();
    const peers = itemTracker.getWaiting(service, nowMs);
    const candidates = view.getBatchCandidates(service);
    const storeMs = jobCache.getStoreMs() ?? 0;
    fetcher.fetchNext(ready, storeMs);
    const own = ready.filter(fetcher.isInMemory);
    // What limits leave goes to the most urgent items of all gateways, which would else all take it.
    const itemsForLimits = new Set(
      getItemsToStart({ own, peers }, candidates.filter(isLimited), storeMs),
    );
    getPlacedItemsToStart({ own, peers }, candidates, storeMs)
      .slice(0, MAX_STARTS_PER_TICK)
      .forEach(({ item: next, place }, started) => {
        const mayUseLimits = itemsForLimits.has(next);
        // The slots of the items started before it are no longer free.
        const upstream = pickUpstream(service, next.pending, mayUseLimits, place - started);
        if (upstream === undefined) return;
        const { job, pending, dueMs, remainingMs } = next;
        const details = { upstream: upstream.id, events: pending.events, dueMs, remainingMs };
        log.info({ job: job.id, item: pending.item.id, ...details }, 'item starts');
        executeItem(next, upstream).catch((error: unknown) =>
          log.error({ reason: getErrorMessage(error) }, 'item run failed'),
        );
      });
  };

  /** Reports to the other gateways the items that run here and those that would start next. */
  const reportItems = (
    running: readonly RunningItem[],
    ready: ReadonlyMap<string, ReadyItem[]>,
  ): void => {
    const storeMs = jobCache.getStoreMs() ?? 0;
    const isAnyUsable = (service: string): boolean =>
      view.getBatchCandidates(service).some(({ weight }) => weight === 1);
    const waiting = [...ready]
      .filter(([service]) => isAnyUsable(service))
      .map(([service, own]) => {
        const mostUrgent = own
          .filter(({ pending }) => !pending.isRunning)
          .sort((a, b) => compareUrgency(a, b, storeMs));
        return [service, mostUrgent.slice(0, MAX_REPORTED_ITEMS)] as const;
      });
    itemTracker.setOwn({
      running: groupBy(running, ({ run }) => run.upstream.id),
      waiting: new Map(waiting),
    });
  };

  /**
   * Preempts this gateway's items at the upstreams where online requests need their slots. It is
   * called at each change of any gateway's load, so it visits only the upstreams of its own runs,
   * and ranks items only where there is more work than slots.
   */
  const preemptForOnlineRequests = (running: readonly RunningItem[]): void =>
    groupBy(running, ({ run }) => run.upstream.id).forEach((own, upstreamId) => {
      const candidate = view.getBatchCandidate(upstreamId);
      if (candidate !== undefined && isOverloaded(candidate)) preemptItems(candidate, own);
    });

  const stopTicking = (): void => {
    timer?.cancel();
    timer = undefined;
  };

  const tick = (): void => {
    preemptForOnlineRequests(getRunningItems());
    const nowMs = clock.monotonic();
    getRunningItems(nowMs).forEach((running) => moveIfSlow(running, nowMs));
    abortRunsAtRemovedUpstreams();
    yieldEvacuatedRuns();
    const ready = groupBy(getReadyItems(), ({ service }) => service);
    ready.forEach((own, service) => startItems(service, own));
    reportItems(getRunningItems(), ready);
    if (runs.getAll().length === 0 && claimer.getOwnedJobs().length === 0) stopTicking();
  };

  /** Ticks until no job and no run is left; most gateways of a large fleet own no job. */
  const startTicking = (): void => {
    if (!isStopped) timer ??= clock.every(TICK_INTERVAL_MS, tick);
  };

  /** Resolves once the store answers, or when this gateway owns no job. */
  const waitForStore = async (): Promise<void> => {
    let isUnavailable = false;
    for (;;) {
      const [job] = claimer.getOwnedJobs();
      if (job === undefined) return;
      const stored = await dependencies.store.read(job);
      if (stored.ok) return;
      if (!isUnavailable) {
        log.info({ jobs: claimer.getOwnedJobs().length }, 'jobs kept while the store is away');
      }
      isUnavailable = true;
      await sleep(clock, STORE_CHECK_INTERVAL_MS);
    }
  };

  return {
    onJobChange: (stored) => claimer.onJobChange(stored),
    getOwnedJobCount: () => claimer.getOwnedJobs().length,
    onLoadChange: () => {
      if (!isStopped && runs.getAll().length > 0) preemptForOnlineRequests(getRunningItems());
    },
    stop: async () => {
      claimer.stopClaiming();
      await waitForStore();
      isStopped = true;
      stopTicking();
      runs.getAll().forEach(({ abort }) => abort.abort());
      itemTracker.setOwn({ running: new Map(), waiting: new Map() });
      await claimer.handOver();
    },
  };
};
