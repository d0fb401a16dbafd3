import { newEventSequence, parseEventId, type RunPart } from '../eventSequence';

/** Takes the texts of a run one after the other. */
const takeAll = (resumeAfterId: string | undefined, texts: readonly string[]): RunPart[] => {
  const sequence = newEventSequence(resumeAfterId);
  return texts.map((text) => sequence.take(Buffer.from(text)));
};

const describePart = ({ events, bytes, fault }: RunPart) => ({
  events: events.map(({ id, data }) => [id, data]),
  bytes: bytes.toString(),
  fault,
});

const SOUND = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

describe('sequence of a run', () => {
  it('takes events with the next ids, and comments with them', () => {
    const texts = ['id: 1\ndata: a\ndata:b\n\n', ': alive\n\nid:2\ndata:  c\n\n', '\n\n'];

    expect(takeAll(undefined, texts).map(describePart)).toEqual([
      { events: [[1, 'a\nb']], bytes: texts[0], fault: undefined },
      { events: [[2, ' c']], bytes: texts[1], fault: undefined },
      { events: [], bytes: texts[2], fault: undefined },
    ]);
  });

  it.each([
    ['CRLF', '\r\n'],
    ['CR', '\r'],
    ['LF', '\n'],
  ])('reads events whose lines end with %s, and other fields', (_, end) => {
    const text = `weight-versions: 3${end}id: 1${end}event: token${end}data: a${end}${end}`;

    expect(takeAll(undefined, [text]).map(describePart)).toEqual([
      { events: [[1, 'a']], bytes: text, fault: undefined },
    ]);
  });

  it.each([
    ['without an id', 'data: no answer\n\n'],
    ['with an empty id', 'id:\ndata: no answer\n\n'],
    ['with an id that is no number', 'id: x3\ndata: no answer\n\n'],
    ['with an id that is no whole number', 'id: 3.0\ndata: no answer\n\n'],
    ['with an id that has a sign', 'id: +3\ndata: no answer\n\n'],
    ['with an id that has a zero before it', 'id: 03\ndata: no answer\n\n'],
    ['with an id that has an exponent', 'id: 3e0\ndata: no answer\n\n'],
    ['with two ids', 'id: 3\nid: 3\ndata: no answer\n\n'],
    ['with an id only after another line separator', 'data: no\u2028id: 3\n\n'],
    ['that repeats an id', 'id: 2\ndata: no answer\n\n'],
    ['whose id goes back', 'id: 1\ndata: no answer\n\n'],
    ['whose id jumps', 'id: 4\ndata: no answer\n\n'],
    ['with a huge id', 'id: 99999999999999999999\ndata: no answer\n\n'],
    ['without data', 'id: 3\n\n'],
    ['with a line that is no field', 'id: 3\ndata: half\nno answer\n\n'],
    ['that is no event at all', 'no answer\n\n'],
    ['that is the head of a response', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'],
  ])('ends before an event %s, whatever follows', (_, foreign) => {
    const following = 'id: 3\ndata: c\n\n';
    const [part, later] = takeAll(undefined, [`${SOUND}${foreign}${following}`, following]);

    expect(later).toEqual({ events: [], bytes: Buffer.alloc(0), fault: part?.fault });
    expect(part).toMatchObject({ fault: expect.any(String) as string });
    expect(part && describePart(part)).toMatchObject({
      events: [
        [1, 'a'],
        [2, 'b'],
      ],
      bytes: SOUND,
    });
  });

  it.each([
    [undefined, 1],
    ['0', 1],
    ['7', 8],
  ])('of a run that goes on after %s begins with event %s alone', (resumeAfterId, firstId) => {
    const getFaults = (id: number) =>
      takeAll(resumeAfterId, [`id: ${id}\ndata: a\n\n`]).map(({ fault }) => fault !== undefined);

    expect([firstId - 1, firstId, firstId + 1].map(getFaults)).toEqual([[true], [false], [true]]);
  });

  it('of a run that goes on after an id that is no number begins anywhere', () => {
    const texts = ['id: 5\ndata: a\n\n', 'id: 6\ndata: b\n\n', 'id: 8\ndata: c\n\n'];

    expect(takeAll('x', texts).map(({ fault }) => fault !== undefined)).toEqual([
      false,
      false,
      true,
    ]);
  });

  it('keeps the data of an event with another line separator', () => {
    expect(takeAll(undefined, ['id: 1\ndata: a\u2028id: 9\n\n'])[0]?.events[0]).toMatchObject({
      id: 1,
      data: 'a\u2028id: 9',
    });
  });
});

it('an event id is a decimal number', () => {
  expect(['0', '12', '', '-1', '1.5', '01', 'x', undefined].map(parseEventId)).toEqual([
    0,
    12,
    ...Array.from({ length: 6 }, () => undefined),
  ]);
});
