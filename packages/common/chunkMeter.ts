/** Tells when received chunks cost far more than they carry: each costs as much as some hundred bytes. */

/** Chunks after which their mean size must show that they carry something. */
const MIN_JUDGED_CHUNKS = 8192;
/** Least mean size of the chunks of a body, in bytes. */
const MIN_MEAN_CHUNK_BYTES = 8;

/** Meter of the chunks of one message. */
export interface ChunkMeter {
  add(chunk: Buffer): void;
  isWasteful(): boolean;
}

/** Creates a meter for a new message. */
export const newChunkMeter = (): ChunkMeter => {
  let chunkCount = 0;
  let byteCount = 0;
  return {
    add: ({ length }) => {
      chunkCount += 1;
      byteCount += length;
    },
    isWasteful: () =>
      chunkCount > MIN_JUDGED_CHUNKS && byteCount < chunkCount * MIN_MEAN_CHUNK_BYTES,
  };
};
