/** Writes of the chunk row that a sidecar has claimed. */
import { CHUNK_STATE, type Chunk, type Job } from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import type { TableService, TransactionOutcome } from '@anvilpaddle/platform';
import { getRetryDelayMs, commitAndVerify, wait } from './verifiedCommit';
import { getChunkRowKey, TABLE } from './tables';

/** A chunk that this sidecar has claimed. */
export interface Claim {
  readonly job: Job;
  /** Revision of the job's row when it was claimed; commits fail once it has changed. */
  readonly jobRevision: number;
  readonly chunk: Chunk;
  /** Revision of the chunk's row. */
  readonly revision: number;
  /** The chunk is a single item that has used up its attempts: it ends with an error result. */
  readonly isExhausted: boolean;
}

/**
 * Outcome of a write. `lost`: another sidecar has claimed the chunk. `ended`: the job was
 * cancelled. `closed`: this sidecar abandoned the chunk before the write, for example at its own end.
 */
export type WriteOutcome = 'written' | 'lost' | 'ended' | 'closed';

/** Writes the row of one claimed chunk, one write at a time. */
export interface ChunkRowWriter {
  readonly key: string;
  /** The chunk as last written. */
  getChunk(): Chunk;
  /** Renews the lease. */
  renew(leaseMs: number): Promise<WriteOutcome>;
  /** Records that the item of a suspect chunk is about to be sent. */
  markRunning(): Promise<WriteOutcome>;
  /** Records that a non-repeatable item is about to be sent; concurrent calls share one write. */
  markStarted(item: number): Promise<WriteOutcome>;
  /** Records the results and the end of the chunk, unless the job has ended. */
  commit(results: Pick<Chunk, 'output' | 'errors' | 'failed'>): Promise<WriteOutcome>;
  /** Ends the claim and records what is left to do; another sidecar can claim the chunk at once. */
  release(rest: Partial<Pick<Chunk, 'partial' | 'models' | 'started'>>): Promise<WriteOutcome>;
}

/** Creates a writer for a claim; a write that fails is repeated until the signal is aborted. */
export const newChunkRowWriter = (
  tables: TableService,
  claim: Claim,
  clock: Clock,
  signal: AbortSignal,
): ChunkRowWriter => {
  const key = getChunkRowKey(claim.chunk);
  const { job } = claim;
  let { chunk, revision } = claim;
  let lastWrite: Promise<unknown> = Promise.resolve();
  let pendingMarks:
    { readonly items: number[]; readonly outcome: Promise<WriteOutcome> } | undefined;

  const transact = (next: Chunk, checksJob: boolean) =>
    commitAndVerify(
      tables,
      {
        checks: [
          { table: TABLE.chunks, key, revision },
          ...(checksJob ? [{ table: TABLE.jobs, key: job.id, revision: claim.jobRevision }] : []),
        ],
        writes: [{ table: TABLE.chunks, key, value: next }],
      },
      {
        table: TABLE.chunks,
        key,
        isMine: (row) => {
          const found = row?.value as Chunk | undefined;
          return found?.epoch === next.epoch && found.writes === next.writes;
        },
      },
    );

  const getConflictOutcome = (
    commit: Extract<TransactionOutcome, { committed: false }>,
  ): WriteOutcome =>
    commit.conflicts.some(({ table }) => table === TABLE.chunks) ? 'lost' : 'ended';

  const write = async (change: Partial<Chunk>, checksJob: boolean): Promise<WriteOutcome> => {
    const next: Chunk = { ...chunk, ...change, writes: chunk.writes + 1 };
    for (let attempts = 0; !signal.aborted; attempts += 1) {
      const commit = await transact(next, checksJob);
      if (commit.ok && !commit.value.committed) return getConflictOutcome(commit.value);
      if (commit.ok && commit.value.committed) {
        chunk = next;
        revision = commit.value.revision;
        return 'written';
      }
      await wait(clock, getRetryDelayMs(attempts), signal);
    }
    return 'closed';
  };

  const enqueue = (action: () => Promise<WriteOutcome>): Promise<WriteOutcome> => {
    const done = lastWrite.then(action);
    lastWrite = done.catch(() => undefined);
    return done;
  };

  return {
    key,
    getChunk: () => chunk,
    renew: (leaseMs) =>
      enqueue(async () =>
        chunk.state === CHUNK_STATE.claimed ? write({ leaseMs }, false) : 'written',
      ),
    markRunning: () => enqueue(() => write({ isRunning: true }, true)),
    markStarted: (item) => {
      if (pendingMarks === undefined) {
        const items: number[] = [];
        const outcome = enqueue(() => {
          pendingMarks = undefined;
          return write({ started: [...chunk.started, ...items] }, true);
        });
        pendingMarks = { items, outcome };
      }
      pendingMarks.items.push(item);
      return pendingMarks.outcome;
    },
    commit: (results) => enqueue(() => write({ ...results, state: CHUNK_STATE.done }, true)),
    release: (rest) =>
      enqueue(() => write({ ...rest, state: CHUNK_STATE.ready, owner: undefined }, false)),
  };
};
