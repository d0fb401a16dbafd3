import { newByteCollector } from '../byteCollector';

const collect = (chunks: readonly Buffer[]) => {
  const collector = newByteCollector();
  chunks.forEach((chunk) => collector.append(chunk));
  return collector;
};

const newTinyChunks = (count: number): Buffer[] =>
  Array.from({ length: count }, () => Buffer.from('x'));

describe('a collector of bytes', () => {
  it.each([
    ['no chunk', []],
    ['one small chunk', ['ab']],
    ['small chunks', ['ab', 'c', '', 'def']],
    ['a large chunk alone', ['x'.repeat(5000)]],
    ['a large chunk before small ones', ['x'.repeat(5000), 'a', 'b']],
    ['a large chunk after small ones', ['a', 'b', 'x'.repeat(5000)]],
  ])('has the bytes of %s', (_, texts) => {
    const collector = collect(texts.map((text) => Buffer.from(text)));
    expect(collector.peek().toString()).toBe(texts.join(''));
    expect(collector.getLength()).toBe(texts.join('').length);
  });

  it('gives bytes away that later ones don’t change', () => {
    const collector = collect([Buffer.from('first|sec')]);
    const taken = collector.take('first|'.length);
    collector.append(Buffer.from('ond'));
    expect([taken.toString(), collector.peek().toString()]).toEqual(['first|', 'second']);
  });

  it('does not change chunks that it was given', () => {
    const chunk = Buffer.from('x'.repeat(2000));
    const collector = collect([chunk]);
    collector.append(Buffer.from('more'));
    collector.take(1);
    collector.append(Buffer.from('more'));
    expect(chunk.toString()).toBe('x'.repeat(2000));
  });

  it('takes memory by the bytes, not by the chunks', () => {
    const chunks = newTinyChunks(300_000);
    const before = process.memoryUsage();
    const collector = collect(chunks);
    const after = process.memoryUsage();
    expect(collector.getLength()).toBe(chunks.length);
    // Twice the bytes at most, and the smaller buffers before that one.
    expect(after.arrayBuffers - before.arrayBuffers).toBeLessThan(5 * chunks.length);
  });

  it.each([
    ['a few tiny chunks', newTinyChunks(1000), false],
    ['many tiny chunks', newTinyChunks(10_000), true],
    ['many chunks of a small event', Array(10_000).fill(Buffer.from('id: 1\ndata: a\n\n')), false],
    ['one large chunk', [Buffer.alloc(1_000_000)], false],
  ] as [string, Buffer[], boolean][])(
    'knows whether %s cost more than they carry',
    (_, chunks, isWasteful) => {
      expect(collect(chunks).isWasteful()).toBe(isWasteful);
    },
  );
});
