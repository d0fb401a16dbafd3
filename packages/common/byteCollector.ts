/**
 * Collects received bytes that are looked at while they come, in one growing buffer: a chunk that is kept as a
 * buffer of its own costs some hundred bytes, even if it carries one.
 */
import { newChunkMeter } from './chunkMeter';

/** Chunks of this size are kept as they are if nothing is pending; copying them would cost more. */
const MIN_KEPT_CHUNK_BYTES = 1024;
const MIN_CAPACITY_BYTES = 512;

const EMPTY: Buffer = Buffer.alloc(0);

/** Bytes that have been received and not taken. */
export interface ByteCollector {
  append(chunk: Buffer): void;
  /** Number of bytes. */
  getLength(): number;
  /** Number of bytes that are allocated for them. */
  getCapacity(): number;
  /** The bytes, which stay; valid until the next call of `append`. */
  peek(): Buffer;
  /** Removes the first bytes and returns them. */
  take(length: number): Buffer;
  /** Whether the chunks so far cost far more than they carry. */
  isWasteful(): boolean;
}

/** Creates a collector without bytes. */
export const newByteCollector = (): ByteCollector => {
  const meter = newChunkMeter();
  let content = EMPTY;
  let length = 0;
  /** Whether `content` was allocated here, so that more can be written into it. */
  let isOwned = false;

  /** Makes room, so that the content is copied a few times at most, however many chunks come. */
  const grow = (neededBytes: number): void => {
    if (isOwned && content.length >= neededBytes) return;
    const grown = Buffer.allocUnsafe(Math.max(MIN_CAPACITY_BYTES, 2 * neededBytes));
    content.copy(grown, 0, 0, length);
    content = grown;
    isOwned = true;
  };

  return {
    append: (chunk) => {
      meter.add(chunk);
      if (length === 0 && chunk.length >= MIN_KEPT_CHUNK_BYTES) {
        content = chunk;
        isOwned = false;
        length = chunk.length;
        return;
      }
      grow(length + chunk.length);
      chunk.copy(content, length);
      length += chunk.length;
    },
    getLength: () => length,
    getCapacity: () => content.length,
    peek: () => content.subarray(0, length),
    take: (taken) => {
      const bytes = content.subarray(0, taken);
      // What was taken may be kept for long and must not change.
      content = taken < length ? Buffer.from(content.subarray(taken, length)) : EMPTY;
      length -= taken;
      isOwned = false;
      return bytes;
    },
    isWasteful: meter.isWasteful,
  };
};
