/** Runs of items at upstreams; an item whose upstream falls silent may run at another one as well. */
import { ATTEMPT_RESULT, type Health, type RunPace } from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import type { Upstream } from '../types';
import type { OwnedJob, PendingItem } from './ownedJob';
import { SUPERSEDED, type RunObserver } from './runItem';

/** Maximum number of runs of one item at a time: all but the newest are silent. */
const MAX_RUNS_PER_ITEM = 2;

/** A run of an item at an upstream. */
export interface Run {
  readonly job: OwnedJob;
  readonly pending: PendingItem;
  readonly upstream: Upstream;
  readonly dueMs: number;
  readonly abort: AbortController;
  readonly pace: RunPace;
}

/** The runs of a gateway; each item has at most one run whose upstream is not silent. */
export interface ItemRuns {
  /** Adds a run that starts; the observer is told of its silence and data. */
  add(run: Run): RunObserver;
  /** Removes a run that has ended. */
  remove(run: Run): void;
  getAll(): Run[];
  getRunsOf(pending: PendingItem): Run[];
  /** Whether all runs of an item are silent and it may have another one. */
  canRunTwice(pending: PendingItem): boolean;
  /** Aborts all runs of an item that has its result. */
  abortRunsOf(pending: PendingItem): void;
}

/** Creates an empty set of runs. */
export const newItemRuns = (
  health: Health,
  isCold: (upstream: Upstream) => boolean,
  clock: Clock,
): ItemRuns => {
  const runs = new Set<Run>();
  const silentRuns = new Set<Run>();

  const getRunsOf = (pending: PendingItem): Run[] =>
    [...runs].filter((run) => run.pending === pending);

  const updateIsRunning = (pending: PendingItem): void => {
    pending.isRunning = getRunsOf(pending).some((run) => !silentRuns.has(run));
  };

  /** Aborts a run because another one has gone on with the item. */
  const supersede = (run: Run): void => {
    const nowMs = clock.monotonic();
    if (silentRuns.has(run) && !isCold(run.upstream)) {
      health.record(run.upstream.id, ATTEMPT_RESULT.failed, 0, nowMs);
    }
    run.abort.abort(SUPERSEDED);
  };

  return {
    add: (run) => {
      runs.add(run);
      updateIsRunning(run.pending);
      return {
        onSilence: () => {
          silentRuns.add(run);
          updateIsRunning(run.pending);
        },
        onData: (completesEvent) => {
          // A byte now and then is no sign that a silent upstream goes on.
          if (silentRuns.has(run) && !completesEvent) return;
          silentRuns.delete(run);
          getRunsOf(run.pending)
            .filter((other) => other !== run)
            .forEach(supersede);
          updateIsRunning(run.pending);
        },
      };
    },
    remove: (run) => {
      runs.delete(run);
      silentRuns.delete(run);
      updateIsRunning(run.pending);
    },
    getAll: () => [...runs],
    getRunsOf,
    canRunTwice: (pending) => !pending.isRunning && getRunsOf(pending).length < MAX_RUNS_PER_ITEM,
    abortRunsOf: (pending) => getRunsOf(pending).forEach(({ abort }) => abort.abort(SUPERSEDED)),
  };
};
