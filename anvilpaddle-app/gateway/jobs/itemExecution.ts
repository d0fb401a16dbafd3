/** Runs batch items at upstreams, and adds their results to their jobs. */
import { HELD_FOR, type Logger, type Random } from '@anvilpaddle/common';
import { newRunPace, type RunTimeEstimator } from '@anvilpaddle/decisions';
import type { Route, Upstream } from '../types';
import type { ItemRuns, Run } from './itemRuns';
import type { ReadyItem } from './itemSelection';
import type { OwnedJob, PendingItem } from './ownedJob';
import type { JobStore } from './jobStoreTypes';
import {
  BREAK_CAUSE,
  runItem,
  SUPERSEDED,
  type RunItemDependencies,
  type RunObserver,
  type RunOutcome,
} from './runItem';
import type { ItemResult } from './types';

/** Minimum pause of an item after a run that broke, failed or was refused; jitter can double it. */
const MIN_RESTART_PAUSE_MS = 150;

/** Dependencies of the execution. */
export interface ItemExecutionDependencies extends RunItemDependencies {
  readonly store: JobStore;
  readonly random: Random;
  readonly log: Logger;
}

/** State of the gateway that runs change. */
export interface ItemExecutionState {
  readonly runs: ItemRuns;
  readonly runTimeEstimator: RunTimeEstimator;
  getJobRoute(job: OwnedJob): Route | undefined;
}

/** Runs an item at an upstream until the run ends, and handles its outcome. */
export type ExecuteItem = (ready: ReadyItem, upstream: Upstream) => Promise<void>;

/** Creates the function that runs items. */
export const newItemExecution = (
  { runs, runTimeEstimator, getJobRoute }: ItemExecutionState,
  dependencies: ItemExecutionDependencies,
): ExecuteItem => {
  const { store, view, byteBudget, clock, random, log } = dependencies;

  /** Adds an item's result and aborts the runs of the item that are left. */
  const addResult = (job: OwnedJob, pending: PendingItem, result: ItemResult): void => {
    job.addResult(pending, result);
    runs.abortRunsOf(pending);
  };

  /** Adds an item's result after a run, or lets it run again later. */
  const handleOutcome = (job: OwnedJob, pending: PendingItem, outcome: RunOutcome): void => {
    const { item } = pending;
    const route = getJobRoute(job);
    const addErroredResult = (): void =>
      addResult(job, pending, { id: item.id, state: 'errored', output: '' });
    if (outcome.kind === 'done') {
      runTimeEstimator.learnCompletion(job.getRecord().route, pending.events);
      const output = pending.texts.join('\n');
      addResult(job, pending, { id: item.id, state: 'succeeded', output });
      return;
    }
    if (outcome.kind === 'impossible') {
      log.info({ job: job.id, item: item.id }, 'item cannot succeed at any upstream');
      addErroredResult();
      return;
    }
    pending.notBeforeMs = clock.monotonic() + MIN_RESTART_PAUSE_MS * (1 + random());
    if (outcome.kind !== 'failed') return;
    const failures = job.countFailure(pending);
    log.info({ job: job.id, item: item.id, failures, detail: outcome.detail }, 'item failed');
    if (route !== undefined && failures >= route.maxAttempts) addErroredResult();
  };

  /** Runs an item that is in memory, whose bytes are held meanwhile. */
  const runHeldItem = async (
    { job, pending, upstream, abort }: Run,
    observer: RunObserver,
  ): Promise<RunOutcome> => {
    const item = store.getItemInMemory(pending.item);
    const holder = byteBudget.newHolder(HELD_FOR.item);
    if (item === undefined || !holder.hold(item.body.length)) {
      return { kind: 'broken', detail: 'no memory for the item', cause: BREAK_CAUSE.notSent };
    }
    const target = { upstream, host: job.getRecord().host, team: job.team };
    return runItem(item, target, pending, abort.signal, dependencies, observer).finally(
      holder.release,
    );
  };

  return async ({ job, pending, dueMs }: ReadyItem, upstream: Upstream): Promise<void> => {
    const abort = new AbortController();
    const run: Run = { job, pending, upstream, dueMs, abort, pace: newRunPace(pending.events) };
    const observer = runs.add(run);
    const before = { events: pending.events, startedMs: clock.monotonic() };
    const wasCold = view.isCold(upstream);
    // A run that throws must not keep the item's place.
    const outcome = await runHeldItem(run, observer).finally(() => runs.remove(run));
    if (abort.signal.reason === SUPERSEDED) return;
    const events = pending.events - before.events;
    const runMs = clock.monotonic() - before.startedMs;
    // A cold upstream is slower than the others.
    if (!wasCold) runTimeEstimator.learnRun(job.getRecord().route, events, runMs);
    if (abort.signal.aborted && outcome.kind !== 'done') return;
    if (outcome.kind === 'broken') {
      log.info(
        {
          job: job.id,
          item: pending.item.id,
          upstream: upstream.id,
          detail: outcome.detail,
          hasContent: events > 0,
          promptParts: pending.item.promptParts,
          ...outcome.responseEnd,
        },
        'run broken',
      );
    }
    handleOutcome(job, pending, outcome);
  };
};
