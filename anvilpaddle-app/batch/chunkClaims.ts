import {
  CHUNK_STATE,
  chunkSchema,
  getTakeover,
  JOB_STATE,
  type Chunk,
  type Job,
} from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import type { Row, TableService, RowWrite } from '@anvilpaddle/platform';
import type { Claim } from './chunkLedger';
import { readJob } from './jobEnd';
import { retryCall, settleCommit } from './settledCommit';
import { getKeyOfChunk, TABLE } from './tables';

const MAX_TRIES = 3;

/** Why a chunk is free for this sidecar. */
export type Vacancy = 'ready' | 'own' | 'lapsed';

/** How a claim went. */
export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'split' }
  /** Another sidecar was faster. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'job_ended' }
  | { readonly kind: 'unavailable' };

/** Terms of a sidecar's claims. */
export interface ClaimTerms {
  readonly owner: string;
  readonly leaseMs: number;
  readonly maxAttempts: number;
}

/** Claims chunks by conditional commits; at most one sidecar gets an epoch. */
export interface ChunkClaims {
  claim(jobId: string, row: Row, vacancy: Vacancy, terms: ClaimTerms): Promise<ClaimOutcome>;
}

const getClaimed = (chunk: Chunk, terms: ClaimTerms): Chunk => ({
  ...chunk,
  state: CHUNK_STATE.claimed,
  owner: terms.owner,
  epoch: chunk.epoch + 1,
  writes: 0,
  leaseMs: terms.leaseMs,
});

/** Claims on the platform's table service. */
export const newChunkClaims = (tables: TableService, clock: Clock): ChunkClaims => {
  const commitTo = async (
    row: Row,
    job: { readonly row: Row; readonly job: Job },
    next: Chunk,
    isExhausted: boolean,
  ): Promise<ClaimOutcome> => {
    const transaction = {
      checks: [
        { table: TABLE.chunks, key: row.key, revision: row.revision },
        { table: TABLE.jobs, key: job.job.id, revision: job.row.revision },
      ],
      writes: [{ table: TABLE.chunks, key: row.key, value: next }],
    };
    const probe = {
      table: TABLE.chunks,
      key: row.key,
      isMine: (found: Row | undefined): boolean => {
        const chunk = found?.value as Chunk | undefined;
        return chunk?.owner === next.owner && chunk?.epoch === next.epoch;
      },
    };
    const commit = await retryCall(
      () => settleCommit(tables, transaction, probe),
      clock,
      MAX_TRIES,
    );
    // A claim that took effect after all is found as this sidecar's own by a later look.
    if (!commit.ok) return { kind: 'unavailable' };
    if (!commit.value.committed) return { kind: 'conflict' };
    const { revision } = commit.value;
    const jobRevision = job.row.revision;
    return {
      kind: 'claimed',
      claim: { job: job.job, jobRevision, chunk: next, revision, isExhausted },
    };
  };

  const split = async (row: Row, pieces: readonly Chunk[]): Promise<ClaimOutcome> => {
    const writes: RowWrite[] = [
      { table: TABLE.chunks, key: row.key, value: null },
      ...pieces.map((piece) => ({
        table: TABLE.chunks,
        key: getKeyOfChunk(piece),
        value: piece,
      })),
    ];
    const commit = await tables.transact({
      checks: [{ table: TABLE.chunks, key: row.key, revision: row.revision }],
      writes,
    });
    // Whatever the answer was, the next look finds either the chunk or its pieces.
    if (!commit.ok) return { kind: 'unavailable' };
    return { kind: commit.value.committed ? 'split' : 'conflict' };
  };

  return {
    claim: async (jobId, row, vacancy, terms) => {
      const job = await readJob(tables, jobId);
      if (!job.ok) return { kind: 'unavailable' };
      if (job.value?.job.state !== JOB_STATE.inProgress) return { kind: 'job_ended' };
      const chunk = chunkSchema.parse(row.value);
      if (vacancy !== 'lapsed') {
        return commitTo(row, job.value, getClaimed(chunk, terms), false);
      }
      const takeover = getTakeover(chunk, terms.maxAttempts);
      if (takeover.kind === 'split') return split(row, takeover.pieces);
      const isExhausted = takeover.kind === 'give_up';
      return commitTo(row, job.value, getClaimed(takeover.chunk, terms), isExhausted);
    },
  };
};
