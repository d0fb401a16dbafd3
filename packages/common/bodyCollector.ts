/**
 * Collects the bytes of a body at a cost that follows from their number, whatever the chunks in which they come.
 * Nothing is copied to make room, so that a body leaves little garbage: large chunks are kept as they are, and
 * small ones are copied into blocks.
 */
import { newChunkMeter } from './chunkMeter';

/** Least size of a chunk that is kept: as a buffer of its own, it costs some hundred bytes. */
const MIN_KEPT_CHUNK_BYTES = 1024;
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes of one body. */
export interface BodyCollector {
  append(chunk: Buffer): void;
  /** Number of bytes. */
  getLength(): number;
  /** Number of bytes that are allocated for them. */
  getCapacity(): number;
  /** Whether the chunks so far cost far more than they carry. */
  isWasteful(): boolean;
  /** The bytes in order. */
  getBlocks(): Buffer[];
}

/** Whether a chunk has most of its memory for itself: several may be parts of one read. */
const isKeptAsItIs = (chunk: Buffer): boolean =>
  chunk.length >= MIN_KEPT_CHUNK_BYTES && 2 * chunk.length >= chunk.buffer.byteLength;

/** Creates a collector without bytes. */
export const newBodyCollector = (): BodyCollector => {
  const meter = newChunkMeter();
  const blocks: Buffer[] = [];
  /** Block into which small chunks are copied, and how much of it is used. */
  let open = Buffer.alloc(0);
  let usedBytes = 0;
  let length = 0;
  let capacity = 0;

  const closeBlock = (): void => {
    if (usedBytes > 0) blocks.push(open.subarray(0, usedBytes));
    open = open.subarray(usedBytes);
    usedBytes = 0;
  };

  const openBlock = (): void => {
    closeBlock();
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, length));
    open = Buffer.allocUnsafeSlow(size);
    capacity += size;
  };

  const copy = (chunk: Buffer): void => {
    let copiedBytes = 0;
    while (copiedBytes < chunk.length) {
      if (usedBytes === open.length) openBlock();
      const bytes = chunk.copy(open, usedBytes, copiedBytes);
      usedBytes += bytes;
      copiedBytes += bytes;
    }
  };

  return {
    append: (chunk) => {
      meter.add(chunk);
      if (isKeptAsItIs(chunk)) {
        closeBlock();
        blocks.push(chunk);
        capacity += chunk.buffer.byteLength;
      } else {
        copy(chunk);
      }
      length += chunk.length;
    },
    getLength: () => length,
    getCapacity: () => capacity,
    isWasteful: meter.isWasteful,
    getBlocks: () => [...blocks, ...(usedBytes > 0 ? [open.subarray(0, usedBytes)] : [])],
  };
};

/** Joins the blocks of a body; a single one is not copied. */
export const joinBlocks = (blocks: readonly Buffer[]): Buffer =>
  blocks.length === 1 && blocks[0] !== undefined ? blocks[0] : Buffer.concat(blocks);
