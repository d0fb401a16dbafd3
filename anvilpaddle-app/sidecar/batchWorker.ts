/** Claims chunks of batch jobs and runs their items in spare slots of the upstream. */
import { setMaxListeners } from 'node:events';
import { getLeaseMs, isSuspectItem, newMissingModels, type Config } from '@anvilpaddle/decisions';
import {
  BYTES_PER_MIB,
  newMailbox,
  type Clock,
  type Logger,
  type Random,
} from '@anvilpaddle/common';
import type { ObjectStore, TableService } from '@anvilpaddle/platform';
import { newChunkFinder, type ClaimCounts } from '../batch/chunkFinder';
import { newChunkRun, type ChunkRun, type PositionedItem } from '../batch/chunkRun';
import { newItemRunner } from '../batch/itemRunner';
import { newErrorResult, type ItemResult } from '../batch/itemResult';
import { newModelRegistry } from '../batch/modelRegistry';
import { newItemRate } from '../batch/itemRate';
import { wait } from '../batch/verifiedCommit';
import { newChunkSearchPace } from './chunkSearchPace';
import { newHeldChunks } from './heldChunks';
import { newHeldJobs } from './heldJobs';
import { getItemRules, newSettingsCache } from './jobSettings';
import type { UpstreamClient } from './upstreamClient';
import type { UpstreamDispatcher } from './upstreamDispatcher';

const TICK_INTERVAL_MS = 50;
const MAX_HELD_CHUNKS = 4;
/** Length of uncommitted results at which no further items start. */
const MAX_HELD_BYTES = 64 * BYTES_PER_MIB;
/** Time without a started item after which held chunks are released. */
const STALL_TIMEOUT_MS = 30_000;
/** Time limit of each step of a planned stop: running items, then commits and releases. */
const STOP_STEP_TIMEOUT_MS = 5000;

/** What the batch worker needs from its sidecar. */
export interface BatchWorkerDependencies {
  readonly owner: string;
  readonly group: string;
  readonly slots: number;
  readonly tables: TableService;
  readonly objects: ObjectStore;
  readonly dispatcher: UpstreamDispatcher;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly isStopping: () => boolean;
  readonly getWeight: (team: string) => number;
  readonly getConfig: () => Config;
  /** Models that this upstream serves. */
  readonly getModels: () => readonly string[];
  /** Number of live sidecars of the group, this one included. */
  readonly getSidecarCount: () => number;
}

/** Claims and runs chunks of batch jobs when the upstream has spare slots. */
export interface BatchWorker {
  /** Claims made so far, and those lost to another sidecar. */
  readonly counts: ClaimCounts;
  /** Reads a job at once, after a message that it has ended, and drops its chunks if so. */
  recheckJob(job: string): void;
  /**
   * Planned stop: withdraws queued items, waits a limited time for running ones, then commits or
   * releases the chunks.
   */
  close(): Promise<void>;
}

/** Starts a batch worker. */
export const newBatchWorker = (dependencies: BatchWorkerDependencies): BatchWorker => {
  const { tables, dispatcher, clock, log, random } = dependencies;
  const registry = newModelRegistry(dependencies);
  const finder = newChunkFinder(tables, clock, random);
  const runner = newItemRunner(dependencies);
  const itemRate = newItemRate(clock);
  const drainController = new AbortController();
  setMaxListeners(0, drainController.signal);
  let wake = (): void => undefined;
  const held = newHeldChunks(
    ({ job }) => {
      finder.refresh(job.id);
      wake();
    },
    clock,
    log,
  );
  let isSearching = false;
  const searchPace = newChunkSearchPace(clock, random);
  let lastProgressMs = clock.monotonic();

  // Half as many items again as slots are in flight, so that a slot that becomes free finds a
  // queued item and need not wait for this worker.
  const maxInFlight = dependencies.slots + Math.ceil(dependencies.slots / 2);

  const getSettings = newSettingsCache(dependencies.getConfig);
  const getCurrentLeaseMs = (): number =>
    getLeaseMs(getSettings()['batch.lease'], dependencies.getSidecarCount());
  const isServed = (model: string): boolean => dependencies.getModels().includes(model);
  const unservedModels = newMissingModels((model) => isServed(model) || registry.isServed(model));
  /** Whether no upstream has served the model for the time `batch.model_wait`. */
  const isUnserved = (model: string): boolean =>
    unservedModels.isMissingFor(model, getSettings()['batch.model_wait'], clock.monotonic());
  // An item of an unserved model can run here as well: it ends with an error.
  const canRun = (model: string): boolean => isServed(model) || isUnserved(model);

  const runItem = async (run: ChunkRun, { item, position }: PositionedItem): Promise<void> => {
    if (item.model !== undefined && isUnserved(item.model)) {
      const message = `no upstream serves model ${item.model}`;
      const error = { code: 'model_not_found', message, param: 'body.model' };
      run.endItem(position, newErrorResult(item.customId, error));
      return;
    }
    const settings = getSettings(run.job);
    let result: ItemResult | undefined;
    try {
      result = await runner.run(item, {
        job: run.job,
        maxAttempts: Math.max(1, settings['batch.max_attempts']),
        timeoutMs: settings['batch.item_timeout'],
        maxResponseBytes: settings['request.max_answer'],
        signal: run.signal,
        drainSignal: drainController.signal,
        isSuspect: isSuspectItem(run.rowWriter.getChunk()),
        markRunning: async () => (await run.rowWriter.markRunning()) === 'written',
        markStarted: async () => (await run.rowWriter.markStarted(position)) === 'written',
        onStart: () => {
          lastProgressMs = clock.monotonic();
        },
      });
    } finally {
      run.endItem(position, result);
    }
    if (result !== undefined) itemRate.recordFinished();
  };

  const startItem = (run: ChunkRun, positioned: PositionedItem): void => {
    runItem(run, positioned)
      .catch((error: unknown) => log.error({ err: error }, 'item failed'))
      .finally(() => wake());
  };

  const startItems = (): void => {
    let freeItems = maxInFlight - held.sum((run) => run.running());
    for (const run of held.getAll()) {
      while (freeItems > 0 && held.sum((each) => each.heldBytes()) < MAX_HELD_BYTES) {
        const positioned = run.next();
        if (positioned === undefined) break;
        freeItems -= 1;
        startItem(run, positioned);
      }
    }
  };

  const claimChunk = async (): Promise<void> => {
    const claim = await finder.find({
      owner: dependencies.owner,
      group: dependencies.group,
      leaseMs: getCurrentLeaseMs(),
      maxAttempts: getSettings()['batch.max_attempts'],
      revision: dependencies.getConfig().revision,
      itemsPerSecond: itemRate.getPerSecond() * dependencies.getSidecarCount(),
      getWeight: dependencies.getWeight,
      canRun: (models) => models.length === 0 || models.some(canRun),
      isHeld: (key) => held.getAll().some((run) => run.key === key),
    });
    if (claim === undefined) {
      searchPace.recordNone(getCurrentLeaseMs(), dependencies.getSidecarCount());
      return;
    }
    searchPace.recordFound();
    const run = newChunkRun(dependencies, claim, canRun);
    if (held.sum((each) => each.running()) === 0) lastProgressMs = clock.monotonic();
    const rules = getItemRules(dependencies.getConfig(), claim.job);
    void held.load(run, run.load(rules)).then(() => wake());
  };

  const shouldSearch = (): boolean => {
    if (dependencies.isStopping() || drainController.signal.aborted || isSearching) return false;
    if (!getSettings()['batch.enabled'] || !searchPace.isDue()) return false;
    if (held.getAll().length >= MAX_HELD_CHUNKS || held.isLoading()) return false;
    const isBusy = held.sum((run) => run.running()) > 0;
    // The next chunk is claimed while the last items run, so that no slot waits for the store.
    return (
      held.sum((run) => run.pending()) < maxInFlight && (isBusy || dispatcher.spareSlots() > 0)
    );
  };

  const startSearch = (): void => {
    if (!shouldSearch()) return;
    isSearching = true;
    claimChunk()
      .catch((error: unknown) => log.error({ err: error }, 'search for a chunk failed'))
      .finally(() => {
        isSearching = false;
        wake();
      });
  };

  const heldJobs = newHeldJobs({
    tables,
    clock,
    log,
    getIds: () => held.getAll().map(({ job }) => job.id),
    onEnded: held.dropJob,
    getSidecarCount: dependencies.getSidecarCount,
  });

  /** Releases chunks that make no progress behind online work or at an unreachable upstream. */
  const releaseStalled = (): void => {
    const nowMs = clock.monotonic();
    if (nowMs - lastProgressMs < STALL_TIMEOUT_MS || held.getAll().length === 0) return;
    lastProgressMs = nowMs;
    searchPace.postpone(STALL_TIMEOUT_MS);
    held.releaseLoaded();
  };

  const mailbox = newMailbox<'pump' | 'tick'>(
    (message) => {
      if (message === 'tick') {
        unservedModels.refresh();
        held.renewLeases(getCurrentLeaseMs());
        heldJobs.checkIfDue();
        releaseStalled();
      }
      startItems();
      held.finishRuns();
      startSearch();
    },
    (error) => log.error({ err: error }, 'batch worker failed'),
  );
  wake = () => {
    mailbox.post('pump');
  };
  const timer = clock.every(TICK_INTERVAL_MS, () => mailbox.post('tick'));

  const waitUntilIdle = async (timeoutMs: number): Promise<void> => {
    const endMs = clock.monotonic() + timeoutMs;
    const isBusy = (): boolean => held.isLoading() || held.sum((run) => run.running()) > 0;
    while (isBusy() && clock.monotonic() < endMs) await wait(clock, TICK_INTERVAL_MS);
  };

  return {
    counts: finder.counts,
    recheckJob: heldJobs.recheck,
    close: async () => {
      drainController.abort();
      await waitUntilIdle(STOP_STEP_TIMEOUT_MS);
      timer.cancel();
      await Promise.race([held.endAll(), wait(clock, STOP_STEP_TIMEOUT_MS)]);
      held.dropAll();
      await registry.close();
      await mailbox.close();
    },
  };
};
