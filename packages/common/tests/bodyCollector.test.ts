import { joinBlocks, newBodyCollector } from '../bodyCollector';

const BLOCK_BYTES = 65_536;

const collect = (chunks: readonly Buffer[]) => {
  const collector = newBodyCollector();
  chunks.forEach((chunk) => collector.append(chunk));
  return collector;
};

/** Chunk that has its memory for itself, as one that a socket has read. */
const newChunk = (length: number, fill: string): Buffer =>
  Buffer.from(new ArrayBuffer(length)).fill(fill);

describe('a collector of a body', () => {
  it.each([
    ['no chunk', []],
    ['small chunks', [1, 3, 0, 500]],
    ['more small chunks than a block has room for', Array.from({ length: 300 }, () => 999)],
    ['a large chunk alone', [5000]],
    ['large chunks between small ones', [3, 5000, 7, 7, 70_000, 1]],
  ])('has the bytes of %s in their order', (_, lengths) => {
    const chunks = lengths.map((length, index) => newChunk(length, String(index % 10)));
    const collector = collect(chunks);
    expect(joinBlocks(collector.getBlocks()).equals(Buffer.concat(chunks))).toBe(true);
    expect(collector.getLength()).toBe(Buffer.concat(chunks).length);
  });

  it.each([
    ['one byte', 1],
    ['some bytes', 100],
    ['many bytes', 60_000],
  ])('allocates at most twice what chunks of %s carry, and a block', (_, chunkBytes) => {
    const count = Math.ceil(1_000_000 / chunkBytes);
    const collector = collect(Array.from({ length: count }, () => newChunk(chunkBytes, 'x')));
    expect(collector.getCapacity()).toBeLessThan(2 * collector.getLength() + BLOCK_BYTES);
  });

  it('keeps no small part of a large read', () => {
    const read = newChunk(BLOCK_BYTES, 'x');
    const [block] = collect([read.subarray(0, 2000)]).getBlocks();
    expect(block?.buffer.byteLength).toBeLessThan(read.length / 2);
  });

  it('does not change blocks that were taken as more comes', () => {
    const collector = collect([Buffer.from('first')]);
    const taken = joinBlocks(collector.getBlocks());
    collector.append(Buffer.from(' second'));
    expect(taken.toString()).toBe('first');
    expect(joinBlocks(collector.getBlocks()).toString()).toBe('first second');
  });
});
