import { setMaxListeners } from 'node:events';
import {
  getEffectiveSettings,
  getLeaseMs,
  getRenewalMs,
  newMissingModels,
  JOB_STATE,
  type Config,
  type EffectiveSettings,
  type ItemRules,
  type Job,
} from '@anvilpaddle/decisions';
import {
  BYTES_PER_MIB,
  MS_PER_SECOND,
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
import { readJob } from '../batch/jobEnd';
import { newModelRegistry } from '../batch/modelRegistry';
import { newItemRate } from '../batch/itemRate';
import { wait } from '../batch/verifiedCommit';
import type { UpstreamClient } from './upstreamClient';
import type { UpstreamDispatcher } from './upstreamDispatcher';

const TICK_MS = 50;
const MAX_HELD_CHUNKS = 4;
const MAX_HELD_BYTES = 64 * BYTES_PER_MIB;
const FIRST_IDLE_MS = 100;
const MAX_IDLE_MS = 1500;
const LOOKS_PER_LEASE = 4;
/** Reads a second that all sidecars together may spend on looking for work. */
const LOOKS_PER_SECOND = 300;
/** Least time between two looks at the jobs of the held chunks. */
const JOB_CHECK_MS = 1500;
/** Reads a second that all sidecars together may spend on looking at their jobs. */
const JOB_CHECKS_PER_SECOND = 500;
/** Time without progress after which held chunks are given back. */
const STALL_MS = 30_000;
const STOP_GRACE_MS = 5000;
const MAX_CACHED_JOBS = 100;

/** Parts of the sidecar that the batch worker works with. */
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
  /** Live sidecars of the group, this one included. */
  readonly getSidecarCount: () => number;
}

/** Pulls chunks of batch jobs when the upstream has spare slots. */
export interface BatchWorker {
  readonly counts: ClaimCounts;
  /** Looks at a job at once, because it is said to have ended. */
  recheckJob(job: string): void;
  /** Planned stop: finishes or takes back what runs and gives the chunks back. */
  close(): Promise<void>;
}

const newSettingsCache = (getConfig: () => Config): ((job?: Job) => EffectiveSettings) => {
  let config = getConfig();
  let cache = new Map<string, EffectiveSettings>();
  return (job) => {
    if (getConfig() !== config) {
      config = getConfig();
      cache = new Map();
    }
    const id = job?.id ?? '';
    const known = cache.get(id);
    if (known !== undefined) return known;
    const subject = { route: job?.route, team: job?.team, job: job?.id };
    const settings = getEffectiveSettings(config.settingsByLevel, subject);
    if (cache.size >= MAX_CACHED_JOBS) cache.clear();
    cache.set(id, settings);
    return settings;
  };
};

const getRules = (config: Config, job: Job): ItemRules => ({
  endpoint: job.endpoint,
  route: config.routes.find(({ name }) => name === job.route),
  routeName: job.route,
  team: config.teams.get(job.team),
});

/** Starts the worker. */
export const newBatchWorker = (services: BatchWorkerDependencies): BatchWorker => {
  const { tables, dispatcher, clock, log, random } = services;
  const registry = newModelRegistry(services);
  const finder = newChunkFinder(tables, clock, random);
  const runner = newItemRunner(services);
  const pace = newItemRate(clock);
  const drain = new AbortController();
  setMaxListeners(0, drain.signal);
  const held = new Set<ChunkRun>();
  const ending = new Set<Promise<void>>();
  const renewedMs = new Map<ChunkRun, number>();
  let wake = (): void => undefined;
  let isFinding = false;
  let idleMs = FIRST_IDLE_MS;
  let nextFindMs = 0;
  let checkedMs = 0;
  let progressMs = clock.monotonic();

  // A part of the slots more than there are, so that a free slot need not wait for this worker.
  const window = services.slots + Math.ceil(services.slots / 2);

  const getSettings = newSettingsCache(services.getConfig);
  const getLease = (): number =>
    getLeaseMs(getSettings()['batch.lease'], services.getSidecarCount());
  const sum = (count: (run: ChunkRun) => number): number =>
    [...held].reduce((total, run) => total + count(run), 0);
  const isServed = (model: string): boolean => services.getModels().includes(model);
  const missing = newMissingModels((model) => isServed(model) || registry.isServed(model));
  const isUnserved = (model: string): boolean =>
    missing.isMissingFor(model, getSettings()['batch.model_wait'], clock.monotonic());
  const canRun = (model: string): boolean => isServed(model) || isUnserved(model);

  const drop = (run: ChunkRun): void => {
    held.delete(run);
    renewedMs.delete(run);
    run.abandon();
  };

  const end = (run: ChunkRun, how: () => Promise<unknown>): void => {
    const done = how()
      .catch((fault: unknown) => log.error({ err: fault }, 'chunk failed'))
      .then(() => {
        drop(run);
        finder.refresh(run.job.id);
        ending.delete(done);
        wake();
      });
    ending.add(done);
  };

  const runItem = async (
    run: ChunkRun,
    { item, position: place }: PositionedItem,
  ): Promise<void> => {
    if (item.model !== undefined && isUnserved(item.model)) {
      const message = `no upstream serves model ${item.model}`;
      const error = { code: 'model_not_found', message, param: 'body.model' };
      run.endItem(place, newErrorResult(item.customId, error));
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
        drainSignal: drain.signal,
        markStarted: async () => (await run.rowWriter.markStarted(place)) === 'written',
        onStart: () => {
          progressMs = clock.monotonic();
        },
      });
    } finally {
      run.endItem(place, result);
    }
    if (result !== undefined) pace.recordFinished();
  };

  const launch = (run: ChunkRun, placed: PositionedItem): void => {
    runItem(run, placed)
      .catch((fault: unknown) => log.error({ err: fault }, 'item failed'))
      .finally(() => wake());
  };

  const startItems = (): void => {
    let free = window - sum((run) => run.running());
    for (const run of held) {
      while (free > 0 && sum((each) => each.heldBytes()) < MAX_HELD_BYTES) {
        const placed = run.next();
        if (placed === undefined) break;
        free -= 1;
        launch(run, placed);
      }
    }
  };

  const loading = new Set<ChunkRun>();
  const finishing = new Set<ChunkRun>();
  const finishRuns = (): void => {
    [...held]
      .filter((run) => run.isFinished() && !loading.has(run) && !finishing.has(run))
      .forEach((run) => {
        finishing.add(run);
        end(run, () => run.finish().finally(() => finishing.delete(run)));
      });
  };

  const find = async (): Promise<void> => {
    const claim = await finder.find({
      owner: services.owner,
      group: services.group,
      leaseMs: getLease(),
      maxAttempts: getSettings()['batch.max_attempts'],
      revision: services.getConfig().revision,
      itemsPerSecond: pace.getPerSecond() * services.getSidecarCount(),
      getWeight: services.getWeight,
      canRun: (models) => models.length === 0 || models.some(canRun),
      isHeld: (key) => [...held].some((run) => run.key === key),
    });
    if (claim === undefined) {
      const spreadMs = (services.getSidecarCount() * MS_PER_SECOND) / LOOKS_PER_SECOND;
      nextFindMs = clock.monotonic() + Math.max(idleMs, spreadMs) * (0.5 + random());
      // A lapse is judged over several looks, so that they are to be closer than the lease.
      idleMs = Math.min(MAX_IDLE_MS, getLease() / LOOKS_PER_LEASE, idleMs * 2);
      return;
    }
    idleMs = FIRST_IDLE_MS;
    const run = newChunkRun(services, claim, canRun);
    held.add(run);
    loading.add(run);
    renewedMs.set(run, clock.monotonic());
    if (sum((each) => each.running()) === 0) progressMs = clock.monotonic();
    void run.load(getRules(services.getConfig(), claim.job)).then(() => {
      loading.delete(run);
      wake();
    });
  };

  const isWorkWanted = (): boolean => {
    if (services.isStopping() || drain.signal.aborted || isFinding) return false;
    if (!getSettings()['batch.enabled'] || clock.monotonic() < nextFindMs) return false;
    if (held.size >= MAX_HELD_CHUNKS || loading.size > 0) return false;
    const isBusy = sum((run) => run.running()) > 0;
    // While the last items drain, the next chunk is fetched; a slot never waits for the store.
    return sum((run) => run.pending()) < window && (isBusy || dispatcher.spareSlots() > 0);
  };

  const startFinding = (): void => {
    if (!isWorkWanted()) return;
    isFinding = true;
    find()
      .catch((fault: unknown) => log.error({ err: fault }, 'no chunk found'))
      .finally(() => {
        isFinding = false;
        wake();
      });
  };

  const renewLeases = (): void => {
    const nowMs = clock.monotonic();
    held.forEach((run) => {
      const leaseMs = getLease();
      if (nowMs - (renewedMs.get(run) ?? 0) < getRenewalMs(leaseMs)) return;
      renewedMs.set(run, nowMs);
      void run.rowWriter.renew(leaseMs).then((outcome) => {
        if (outcome === 'lost') drop(run);
      });
    });
  };

  const checkJob = async (id: string): Promise<void> => {
    const found = await readJob(tables, id);
    if (!found.ok || found.value?.job.state === JOB_STATE.inProgress) return;
    [...held].filter(({ job }) => job.id === id).forEach(drop);
  };

  const checkJobs = (): void => {
    const nowMs = clock.monotonic();
    const spreadMs = (services.getSidecarCount() * MS_PER_SECOND) / JOB_CHECKS_PER_SECOND;
    if (nowMs - checkedMs < Math.max(JOB_CHECK_MS, spreadMs)) return;
    checkedMs = nowMs;
    new Set([...held].map(({ job }) => job.id)).forEach((id) => {
      checkJob(id).catch((fault: unknown) => log.error({ err: fault }, 'job not read'));
    });
  };

  /** Chunks that can't go on behind online work or an upstream that is away are given back. */
  const releaseStalled = (): void => {
    const nowMs = clock.monotonic();
    if (nowMs - progressMs < STALL_MS || held.size === 0) return;
    progressMs = nowMs;
    nextFindMs = nowMs + STALL_MS;
    [...held]
      .filter((run) => !finishing.has(run) && !loading.has(run))
      .forEach((run) => {
        finishing.add(run);
        end(run, () => run.release().finally(() => finishing.delete(run)));
      });
  };

  const mailbox = newMailbox<'pump' | 'tick'>(
    (message) => {
      if (message === 'tick') {
        missing.refresh();
        renewLeases();
        checkJobs();
        releaseStalled();
      }
      startItems();
      finishRuns();
      startFinding();
    },
    (fault) => log.error({ err: fault }, 'batch worker failed'),
  );
  wake = () => {
    mailbox.post('pump');
  };
  const timer = clock.every(TICK_MS, () => mailbox.post('tick'));

  const awaitIdle = async (limitMs: number): Promise<void> => {
    const endMs = clock.monotonic() + limitMs;
    const isBusy = (): boolean => sum((run) => run.running()) + loading.size > 0;
    while (isBusy() && clock.monotonic() < endMs) await wait(clock, TICK_MS);
  };

  const releaseAll = async (): Promise<void> => {
    const left = [...held].filter((run) => !finishing.has(run));
    await Promise.all(left.map((run) => (run.isFinished() ? run.finish() : run.release())));
  };

  return {
    counts: finder.counts,
    recheckJob: (id) => {
      if (![...held].some(({ job }) => job.id === id)) return;
      checkJob(id).catch((fault: unknown) => log.error({ err: fault }, 'job not read'));
    },
    close: async () => {
      drain.abort();
      await awaitIdle(STOP_GRACE_MS);
      timer.cancel();
      await Promise.race([Promise.all([releaseAll(), ...ending]), wait(clock, STOP_GRACE_MS)]);
      held.forEach(drop);
      await registry.close();
      await mailbox.close();
    },
  };
};
