/** Takeover of chunks whose owner was lost. */
import { CHUNK_STATE, type Chunk } from './chunk';

/** Number of lost owners after which an item of a chunk is suspected of crashing its owner. */
const LOSSES_BEFORE_SPLIT = 2;
/** Maximum number of pieces of a split. Two splits divide 256 items into single ones. */
const PIECES_PER_SPLIT = 16;

/** What to do with a chunk whose owner was lost. */
export type Takeover =
  /** The chunk is claimed as a whole. */
  | { readonly kind: 'claim'; readonly chunk: Chunk }
  /** The pieces replace the chunk. */
  | { readonly kind: 'split'; readonly pieces: readonly Chunk[] }
  /** A single item that has used up its attempts ends with an error result. */
  | { readonly kind: 'give_up'; readonly chunk: Chunk };

/**
 * Whether the chunk is a single item that may be what its earlier owners were lost to. Its owner runs
 * one such item at a time, and records that it does, so that the others are not blamed for its loss.
 */
export const isSuspectItem = ({ items, lost }: Chunk): boolean => items === 1 && lost > 0;

/** Number of lost owners, with the last one; it doesn't count if it had not begun to run a suspect. */
const getLossCount = (chunk: Chunk): number =>
  isSuspectItem(chunk) && !chunk.isRunning ? chunk.lost : chunk.lost + 1;

const getPieces = (chunk: Chunk): Chunk[] => {
  const size = Math.ceil(chunk.items / PIECES_PER_SPLIT);
  const count = Math.ceil(chunk.items / size);
  return Array.from({ length: count }, (_, pieceIndex) => {
    const offset = pieceIndex * size;
    const items = Math.min(size, chunk.items - offset);
    const startedInPiece = chunk.started.filter((item) => item >= offset && item < offset + items);
    return {
      ...chunk,
      piece: `${chunk.piece}/${String(pieceIndex).padStart(2, '0')}`,
      state: CHUNK_STATE.ready,
      owner: undefined,
      items,
      from: chunk.from + offset,
      started: startedInPiece.map((item) => item - offset),
      // One more lost owner splits this piece again; the other pieces are not affected.
      lost: LOSSES_BEFORE_SPLIT - 1,
    };
  });
};

/**
 * Decides what to do with a chunk whose owner was lost. The loss is counted before the next run, so
 * that an item that crashes its owner is isolated after a bounded number of losses.
 */
export const getTakeover = (chunk: Chunk, maxAttempts: number): Takeover => {
  const next = { ...chunk, lost: getLossCount(chunk) };
  if (chunk.items > 1) {
    return next.lost >= LOSSES_BEFORE_SPLIT
      ? { kind: 'split', pieces: getPieces(next) }
      : { kind: 'claim', chunk: next };
  }
  return next.lost >= maxAttempts
    ? { kind: 'give_up', chunk: next }
    : { kind: 'claim', chunk: next };
};
