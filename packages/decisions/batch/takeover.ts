import { CHUNK_STATE, type Chunk } from './chunk';

/** Lost owners after which a chunk is suspected to hold an item that kills its worker. */
const LOSSES_BEFORE_SPLIT = 2;
/** Pieces of a split chunk. Two splits bring 256 items down to single ones. */
const PIECES_PER_SPLIT = 16;

/** What to do with a chunk whose owner is lost. */
export type Takeover =
  | { readonly kind: 'claim'; readonly chunk: Chunk }
  /** The pieces replace the chunk. */
  | { readonly kind: 'split'; readonly pieces: readonly Chunk[] }
  /** A single item that has used up its attempts ends with an error result. */
  | { readonly kind: 'give_up'; readonly chunk: Chunk };

const getPieces = (chunk: Chunk): Chunk[] => {
  const size = Math.ceil(chunk.items / PIECES_PER_SPLIT);
  const count = Math.ceil(chunk.items / size);
  return Array.from({ length: count }, (_, place) => {
    const offset = place * size;
    const items = Math.min(size, chunk.items - offset);
    const inPiece = chunk.started.filter((item) => item >= offset && item < offset + items);
    return {
      ...chunk,
      piece: `${chunk.piece}/${String(place).padStart(2, '0')}`,
      state: CHUNK_STATE.ready,
      owner: undefined,
      items,
      from: chunk.from + offset,
      started: inPiece.map((item) => item - offset),
      // One more loss of a piece splits it again; its neighbours go on without it.
      lost: LOSSES_BEFORE_SPLIT - 1,
    };
  });
};

/**
 * Decides on a chunk whose owner is lost. Losses are counted before the next run, so that an item
 * that kills its worker is isolated after a bounded number of them.
 */
export const getTakeover = (chunk: Chunk, maxAttempts: number): Takeover => {
  const next = { ...chunk, lost: chunk.lost + 1 };
  if (chunk.items > 1) {
    return next.lost >= LOSSES_BEFORE_SPLIT
      ? { kind: 'split', pieces: getPieces(next) }
      : { kind: 'claim', chunk: next };
  }
  return next.lost >= maxAttempts
    ? { kind: 'give_up', chunk: next }
    : { kind: 'claim', chunk: next };
};
