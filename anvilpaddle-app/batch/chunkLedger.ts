import { CHUNK_STATE, type Chunk, type Job } from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import type { TransactionOutcome, TableService } from '@anvilpaddle/platform';
import { getRetryDelayMs, settleCommit, wait } from './settledCommit';
import { getKeyOfChunk, TABLE } from './tables';

/** A chunk that this sidecar has claimed. */
export interface Claim {
  readonly job: Job;
  /** Revision of the job's row; a commit under another one is refused. */
  readonly jobRevision: number;
  readonly chunk: Chunk;
  /** Revision of the chunk's row. */
  readonly revision: number;
  /** The item has used up its attempts and ends with an error result. */
  readonly isExhausted: boolean;
}

/**
 * Outcome of a write. `lost`: another sidecar has the chunk. `ended`: the job was cancelled.
 * `closed`: given up because this process ends.
 */
export type LedgerOutcome = 'written' | 'lost' | 'ended' | 'closed';

/** Keeps the row of one claimed chunk; its writes follow one another. */
export interface ChunkLedger {
  readonly key: string;
  chunk(): Chunk;
  /** Shows that the owner is alive. */
  renew(leaseMs: number): Promise<LedgerOutcome>;
  /** Notes that items are about to be sent that must not be repeated; coalesces calls. */
  markStarted(item: number): Promise<LedgerOutcome>;
  /** Makes the results count, unless the job has ended. */
  commit(results: Pick<Chunk, 'output' | 'errors' | 'failed'>): Promise<LedgerOutcome>;
  /** Gives the chunk up, so that another takes it at once. */
  release(rest: Partial<Pick<Chunk, 'partial' | 'models' | 'started'>>): Promise<LedgerOutcome>;
}

/** Ledger of a claim; a write without a clear outcome is repeated until the signal is aborted. */
export const newChunkLedger = (
  tables: TableService,
  claim: Claim,
  clock: Clock,
  signal: AbortSignal,
): ChunkLedger => {
  const key = getKeyOfChunk(claim.chunk);
  const { job } = claim;
  let { chunk, revision } = claim;
  let tail: Promise<unknown> = Promise.resolve();
  let marks: { readonly items: number[]; readonly outcome: Promise<LedgerOutcome> } | undefined;

  const transact = (next: Chunk, needsJob: boolean) =>
    settleCommit(
      tables,
      {
        checks: [
          { table: TABLE.chunks, key, revision },
          ...(needsJob ? [{ table: TABLE.jobs, key: job.id, revision: claim.jobRevision }] : []),
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

  const getRefusal = (commit: Extract<TransactionOutcome, { committed: false }>): LedgerOutcome =>
    commit.conflicts.some(({ table }) => table === TABLE.chunks) ? 'lost' : 'ended';

  const write = async (change: Partial<Chunk>, needsJob: boolean): Promise<LedgerOutcome> => {
    const next: Chunk = { ...chunk, ...change, writes: chunk.writes + 1 };
    for (let tries = 0; !signal.aborted; tries += 1) {
      const commit = await transact(next, needsJob);
      if (commit.ok && !commit.value.committed) return getRefusal(commit.value);
      if (commit.ok && commit.value.committed) {
        chunk = next;
        revision = commit.value.revision;
        return 'written';
      }
      await wait(clock, getRetryDelayMs(tries), signal);
    }
    return 'closed';
  };

  const enqueue = (action: () => Promise<LedgerOutcome>): Promise<LedgerOutcome> => {
    const done = tail.then(action);
    tail = done.catch(() => undefined);
    return done;
  };

  return {
    key,
    chunk: () => chunk,
    renew: (leaseMs) =>
      enqueue(async () =>
        chunk.state === CHUNK_STATE.claimed ? write({ leaseMs }, false) : 'written',
      ),
    markStarted: (item) => {
      if (marks === undefined) {
        const items: number[] = [];
        const outcome = enqueue(() => {
          marks = undefined;
          return write({ started: [...chunk.started, ...items] }, true);
        });
        marks = { items, outcome };
      }
      marks.items.push(item);
      return marks.outcome;
    },
    commit: (results) => enqueue(() => write({ ...results, state: CHUNK_STATE.done }, true)),
    release: (rest) =>
      enqueue(() => write({ ...rest, state: CHUNK_STATE.ready, owner: undefined }, false)),
  };
};
