/** Claims chunks of batch jobs for a sidecar. */
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
import type { Claim } from './chunkRowWriter';
import { readJob } from './jobEnd';
import { retryCall, commitAndVerify } from './verifiedCommit';
import { getChunkRowKey, TABLE } from './tables';

const MAX_COMMIT_ATTEMPTS = 3;

/**
 * Why a sidecar may claim a chunk. `ready`: it has no owner. `own`: this sidecar is recorded as the
 * owner but does not run it. `lapsed`: the lease of its owner has expired.
 */
export type ClaimReason = 'ready' | 'own' | 'lapsed';

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  /** The chunk has lost too many owners: it was split into smaller chunks instead. */
  | { readonly kind: 'split' }
  /** The chunk or its job was changed first, mostly by another sidecar's claim. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'job_ended' }
  /** The table service failed or the outcome is unknown. */
  | { readonly kind: 'unavailable' };

/** Owner and limits that a sidecar writes into its claims. */
export interface ClaimOptions {
  readonly owner: string;
  readonly leaseMs: number;
  readonly maxAttempts: number;
}

/** Claims chunks by conditional commits; each epoch of a chunk has at most one owner. */
export interface ChunkClaims {
  /** Claims a chunk, or splits it when it has lost too many owners. */
  claim(jobId: string, row: Row, reason: ClaimReason, options: ClaimOptions): Promise<ClaimOutcome>;
}

const getClaimedChunk = (chunk: Chunk, options: ClaimOptions): Chunk => ({
  ...chunk,
  state: CHUNK_STATE.claimed,
  owner: options.owner,
  epoch: chunk.epoch + 1,
  writes: 0,
  isRunning: false,
  leaseMs: options.leaseMs,
});

/** Creates claims on the platform's table service. */
export const newChunkClaims = (tables: TableService, clock: Clock): ChunkClaims => {
  const commitClaim = async (
    row: Row,
    job: { readonly row: Row; readonly job: Job },
    claimedChunk: Chunk,
    isExhausted: boolean,
  ): Promise<ClaimOutcome> => {
    const transaction = {
      checks: [
        { table: TABLE.chunks, key: row.key, revision: row.revision },
        { table: TABLE.jobs, key: job.job.id, revision: job.row.revision },
      ],
      writes: [{ table: TABLE.chunks, key: row.key, value: claimedChunk }],
    };
    const probe = {
      table: TABLE.chunks,
      key: row.key,
      isMine: (found: Row | undefined): boolean => {
        const chunk = found?.value as Chunk | undefined;
        return chunk?.owner === claimedChunk.owner && chunk?.epoch === claimedChunk.epoch;
      },
    };
    const commit = await retryCall(
      () => commitAndVerify(tables, transaction, probe),
      clock,
      MAX_COMMIT_ATTEMPTS,
    );
    // If the claim took effect after all, a later search finds the chunk as this sidecar's own.
    if (!commit.ok) return { kind: 'unavailable' };
    if (!commit.value.committed) return { kind: 'conflict' };
    const { revision } = commit.value;
    const jobRevision = job.row.revision;
    return {
      kind: 'claimed',
      claim: { job: job.job, jobRevision, chunk: claimedChunk, revision, isExhausted },
    };
  };

  const split = async (row: Row, pieces: readonly Chunk[]): Promise<ClaimOutcome> => {
    const writes: RowWrite[] = [
      { table: TABLE.chunks, key: row.key, value: null },
      ...pieces.map((piece) => ({
        table: TABLE.chunks,
        key: getChunkRowKey(piece),
        value: piece,
      })),
    ];
    const commit = await tables.transact({
      checks: [{ table: TABLE.chunks, key: row.key, revision: row.revision }],
      writes,
    });
    // After an unknown outcome, the next search finds either the chunk or its pieces.
    if (!commit.ok) return { kind: 'unavailable' };
    return { kind: commit.value.committed ? 'split' : 'conflict' };
  };

  return {
    claim: async (jobId, row, reason, options) => {
      const job = await readJob(tables, jobId);
      if (!job.ok) return { kind: 'unavailable' };
      if (job.value?.job.state !== JOB_STATE.inProgress) return { kind: 'job_ended' };
      const chunk = chunkSchema.parse(row.value);
      if (reason !== 'lapsed') {
        return commitClaim(row, job.value, getClaimedChunk(chunk, options), false);
      }
      const takeover = getTakeover(chunk, options.maxAttempts);
      if (takeover.kind === 'split') return split(row, takeover.pieces);
      const isExhausted = takeover.kind === 'give_up';
      return commitClaim(row, job.value, getClaimedChunk(takeover.chunk, options), isExhausted);
    },
  };
};
