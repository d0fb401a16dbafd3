/** Chunks that a batch worker holds, each from its claim until it is committed, released or lost. */
import { getRenewalMs } from '@anvilpaddle/decisions';
import type { Clock, Logger } from '@anvilpaddle/common';
import type { ChunkRun } from '../batch/chunkRun';

/** Held chunks of one worker. */
export interface HeldChunks {
  getAll(): ChunkRun[];
  /** Sum of a number over all chunks. */
  sum(count: (run: ChunkRun) => number): number;
  /** Holds a chunk whose items are about to load; resolves when they have. */
  load(run: ChunkRun, loaded: Promise<unknown>): Promise<void>;
  isLoading(): boolean;
  /** Renews the leases that are due, and drops the chunks whose lease is lost. */
  renewLeases(leaseMs: number): void;
  /** Commits the chunks whose items have all ended. */
  finishRuns(): void;
  /** Gives up the chunks whose items have loaded and that are not being committed. */
  releaseLoaded(): void;
  /** Drops the chunks of a job at once, without a commit. */
  dropJob(job: string): void;
  /** Commits or releases all chunks; resolves when that and what was under way has ended. */
  endAll(): Promise<void>;
  dropAll(): void;
}

/** Creates the holder of no chunks; `onEnded` is called after each commit or release. */
export const newHeldChunks = (
  onEnded: (run: ChunkRun) => void,
  clock: Clock,
  log: Logger,
): HeldChunks => {
  const held = new Set<ChunkRun>();
  const loading = new Set<ChunkRun>();
  const ending = new Set<ChunkRun>();
  const endPromises = new Set<Promise<void>>();
  const lastRenewalMs = new Map<ChunkRun, number>();

  const drop = (run: ChunkRun): void => {
    held.delete(run);
    lastRenewalMs.delete(run);
    run.abandon();
  };

  const end = (run: ChunkRun, action: () => Promise<unknown>): void => {
    ending.add(run);
    const done = action()
      .finally(() => ending.delete(run))
      .catch((error: unknown) => log.error({ err: error }, 'commit or release of a chunk failed'))
      .then(() => {
        drop(run);
        endPromises.delete(done);
        onEnded(run);
      });
    endPromises.add(done);
  };

  const getIdle = (): ChunkRun[] =>
    [...held].filter((run) => !loading.has(run) && !ending.has(run));

  return {
    getAll: () => [...held],
    sum: (count) => [...held].reduce((total, run) => total + count(run), 0),
    load: async (run, loaded) => {
      held.add(run);
      loading.add(run);
      lastRenewalMs.set(run, clock.monotonic());
      await loaded;
      loading.delete(run);
    },
    isLoading: () => loading.size > 0,
    renewLeases: (leaseMs) => {
      const nowMs = clock.monotonic();
      held.forEach((run) => {
        if (nowMs - (lastRenewalMs.get(run) ?? 0) < getRenewalMs(leaseMs)) return;
        lastRenewalMs.set(run, nowMs);
        void run.rowWriter.renew(leaseMs).then((outcome) => {
          if (outcome === 'lost') drop(run);
        });
      });
    },
    finishRuns: () =>
      getIdle()
        .filter((run) => run.isFinished())
        .forEach((run) => end(run, () => run.finish())),
    releaseLoaded: () => getIdle().forEach((run) => end(run, () => run.release())),
    dropJob: (id) => [...held].filter(({ job }) => job.id === id).forEach(drop),
    endAll: async () => {
      const unfinished = [...held].filter((run) => !ending.has(run));
      await Promise.all([
        ...unfinished.map((run) => (run.isFinished() ? run.finish() : run.release())),
        ...endPromises,
      ]);
    },
    dropAll: () => held.forEach(drop),
  };
};
