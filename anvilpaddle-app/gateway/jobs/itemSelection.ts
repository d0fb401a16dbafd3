/** Selects the batch items that could start, and the upstreams at which they could. */
import {
  getIsolatedCandidates,
  getUpstreamForItem,
  isLimited,
  PART_STATE,
  type ItemTiming,
  type InputAssessment,
  type InputQuarantine,
} from '@anvilpaddle/decisions';
import type { Clock, Logger, Random } from '@anvilpaddle/common';
import type { ConfigWatch } from '../configWatch';
import type { FleetView } from '../fleetView';
import { pickService } from '../routeTable';
import type { Route, Upstream } from '../types';
import type { ItemRuns } from './itemRuns';
import type { JobCache } from './jobCache';
import type { OwnedJob, PendingItem } from './ownedJob';

/** An item that could start now. */
export interface ReadyItem extends ItemTiming {
  readonly job: OwnedJob;
  readonly pending: PendingItem;
  readonly service: string;
}

/** Dependencies of the selection. */
export interface ItemSelectionDependencies {
  readonly jobs: JobCache;
  readonly configWatch: ConfigWatch;
  readonly view: FleetView;
  readonly quarantine: InputQuarantine;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** State of the gateway from which items are selected. */
export interface ItemState {
  getOwnedJobs(): readonly OwnedJob[];
  readonly runs: ItemRuns;
  /** Estimated time that an item still needs at an upstream. */
  getRemainingMs(job: OwnedJob, pending: PendingItem): number;
}

/** Selection of items. */
export interface ItemSelection {
  /** Items that could start now; fails those of jobs that are too old or whose route is gone. */
  getReadyItems(): ReadyItem[];
  /**
   * Upstream for a further run of an item, other than those at which the item already runs; one with
   * a limit only if the item may use what limits leave. `place` is that of the item among the items
   * that start.
   */
  pickUpstream(
    service: string,
    pending: PendingItem,
    mayUseLimits: boolean,
    place: number,
  ): Upstream | undefined;
  /** Route of a job; undefined if the configuration doesn't have it. */
  getJobRoute(job: OwnedJob): Route | undefined;
}

/** Creates the selection. */
export const newItemSelection = (
  { getOwnedJobs, runs, getRemainingMs }: ItemState,
  { jobs: jobCache, configWatch, view, quarantine, clock, random, log }: ItemSelectionDependencies,
): ItemSelection => {
  /** Items that were logged as held in quarantine. */
  const heldItems = new WeakSet<PendingItem>();

  const getJobRoute = (job: OwnedJob): Route | undefined =>
    configWatch.current()?.routes.find(({ name }) => name === job.getRecord().route);

  /** Whether a job's route is gone; a configuration from before the job may not have it yet. */
  const isRouteGone = (job: OwnedJob): boolean => {
    const { configVersion = 0 } = job.getRecord();
    const config = configWatch.current();
    return config !== undefined && config.version >= configVersion && configWatch.areKeysFresh();
  };

  const assess = ({ item }: PendingItem): InputAssessment =>
    quarantine.assess({ promptParts: item.promptParts }, clock.monotonic());

  /** Whether an item must wait because a part of its prompt crashes upstreams. */
  const isHeld = (pending: PendingItem): boolean => {
    if (quarantine.parts.getQuarantinedCount() === 0) return false;
    const assessment = assess(pending);
    if (assessment.state !== PART_STATE.quarantined) return false;
    if (!heldItems.has(pending)) {
      heldItems.add(pending);
      log.info({ item: pending.item.id, ...assessment }, 'item held');
    }
    return true;
  };

  /** Adds an errored result for each pending item of a job, except those that are running. */
  const failPendingItems = (job: OwnedJob, reason: string): void => {
    log.info({ job: job.id, reason }, 'items given up');
    job
      .getPendingItems()
      .filter((pending) => runs.getRunsOf(pending).length === 0)
      .forEach((pending) =>
        job.addResult(pending, { id: pending.item.id, state: 'errored', output: '' }),
      );
  };

  const pickUpstream: ItemSelection['pickUpstream'] = (service, pending, mayUseLimits, place) => {
    const usedIds = new Set(runs.getRunsOf(pending).map(({ upstream }) => upstream.id));
    const candidates = view
      .getBatchCandidates(service)
      .filter(({ id }) => !usedIds.has(id))
      // A run that made way costs an upstream with a limit one more request if it goes on there.
      .filter(
        (candidate) =>
          !isLimited(candidate) || (mayUseLimits && candidate.id !== pending.yieldedAt),
      );
    const assessment = assess(pending);
    const allowed =
      assessment.state === PART_STATE.suspect
        ? getIsolatedCandidates(assessment.part, candidates)
        : candidates;
    const upstreamId = getUpstreamForItem(allowed, random, place);
    return upstreamId === undefined ? undefined : view.getUpstream(upstreamId);
  };

  /** Whether an item that runs at silent upstreams can start at another one as well. */
  const canRunElsewhere = (service: string, pending: PendingItem): boolean =>
    runs.canRunTwice(pending) && pickUpstream(service, pending, true, 0) !== undefined;

  /** Items that could start now; fails those of jobs that are too old or whose route is gone. */
  const getReadyItems = (): ReadyItem[] => {
    const nowMs = clock.monotonic();
    const storeMs = jobCache.getStoreMs() ?? 0;
    const itemsWithRuns = new Set(runs.getAll().map(({ pending }) => pending));
    return getOwnedJobs().flatMap((job) => {
      const route = getJobRoute(job);
      if (route === undefined) {
        if (isRouteGone(job)) failPendingItems(job, 'the route is gone');
        return [];
      }
      const { submittedMs } = job.getRecord();
      if (storeMs - submittedMs > route.jobs.expiryMs) {
        failPendingItems(job, 'too old');
        return [];
      }
      const service = pickService(route, random);
      if (service === undefined) return [];
      const dueMs = submittedMs + route.jobs.dueMs;
      return job
        .getPendingItems()
        .filter(({ isRunning, notBeforeMs }) => !isRunning && notBeforeMs <= nowMs)
        .filter((pending) => !isHeld(pending))
        .filter((pending) => !itemsWithRuns.has(pending) || canRunElsewhere(service, pending))
        .map((pending) => {
          const remainingMs = getRemainingMs(job, pending);
          return { job, pending, service, dueMs, remainingMs, hasBegun: pending.events > 0 };
        });
    });
  };

  return { getReadyItems, pickUpstream, getJobRoute };
};
