import fc from 'fast-check';
import { splitEvents, newEventSplitter } from '../eventSplitter';

const lineEnd = fc.constantFrom('\n', '\r\n', '\r');
const event = fc
  .tuple(fc.nat(999), fc.string({ unit: 'binary', maxLength: 20 }), lineEnd)
  .map(([id, data, end]) => `id: ${id}${end}data: ${data.replace(/[\r\n]/g, ' ')}${end}${end}`);

/** Splits bytes into chunks at the given positions, taken modulo the length. */
const cutAtPositions = (bytes: Buffer, cuts: readonly number[]): Buffer[] => {
  const positions = [...new Set([0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length])];
  positions.sort((a, b) => a - b);
  return positions.slice(1).map((end, index) => bytes.subarray(positions[index], end));
};

describe('event splitter', () => {
  it('returns the same bytes in complete events for any chunking', () => {
    fc.assert(
      fc.property(
        fc.array(event, { maxLength: 8 }),
        fc.string({ maxLength: 5 }).map((text) => text.replace(/[\r\n]/g, '')),
        fc.array(fc.nat(), { maxLength: 12 }),
        (events, rest, cuts) => {
          const bytes = Buffer.from(events.join('') + rest);
          const splitter = newEventSplitter();
          const relayed = cutAtPositions(bytes, cuts).map((piece) => splitter.feed(piece));

          expect(Buffer.concat(relayed).toString()).toBe(events.join(''));
          expect(splitter.rest().toString()).toBe(rest);
          relayed.forEach((part) => expect(events.join('').includes(part.toString())).toBe(true));
          const separate = relayed.flatMap(splitEvents).map((part) => part.toString());
          expect(separate).toEqual(events);
        },
      ),
      { seed: 11, numRuns: 400 },
    );
  });

  it('keeps blank lines between events', () => {
    const parts = splitEvents(Buffer.from('id: 3\ndata: a\n\n\n\n: b\n\n'));

    expect(parts.map(String)).toEqual(['id: 3\ndata: a\n\n', '\n\n', ': b\n\n']);
  });
});
