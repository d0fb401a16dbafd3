import {
  decodeItems,
  encodeItems,
  getRelayedContent,
  markForRelay,
  parseDatagram,
} from '../datagram';

const DATAGRAM = {
  from: 'gw_1',
  vm: 'vm-1',
  ageMs: 5,
  loads: [],
  spent: [],
  running: [],
  waiting: [],
};

const parse = (overrides: object): unknown =>
  parseDatagram(Buffer.from(JSON.stringify({ ...DATAGRAM, ...overrides })));

describe('a datagram', () => {
  it.each([
    ['its sender’s address', { address: { host: '10.1.0.31', port: 7780 } }],
    ['no address, as of an earlier version', {}],
  ])('with %s is read', (_, overrides) => {
    expect(parse(overrides)).toMatchObject(DATAGRAM);
  });

  it.each([
    ['a name for an address', { address: { host: 'gateway.example', port: 7780 } }],
    ['a host that is no text', { address: { host: 5, port: 7780 } }],
    ['no port', { address: { host: '10.1.0.31' } }],
    ['a port beyond the last one', { address: { host: '10.1.0.31', port: 70_000 } }],
    ['an age that is no number', { ageMs: 'old' }],
    ['loads that are no list', { loads: {} }],
    ['a negative age', { ageMs: -1 }],
    ['an empty name', { from: '' }],
    ['an address of null', { address: null }],
  ])('with %s is dropped', (_, overrides) => {
    expect(parse(overrides)).toBeUndefined();
  });

  it.each([
    ['loads', [['u1', 1, 0], 5, null, ['u2'], ['u3', -1, 0], ['u4', 1e300, 0], ['', 1, 1]], 1],
    [
      'spent',
      [
        ['one', 3, 2],
        ['two', 'x', 1],
        ['three', 0.5, 1],
        [['one'], 1, 1],
      ],
      1,
    ],
    [
      'running',
      [
        ['u1', [[18_000, 300]]],
        ['u2', 5],
        ['u3', [null]],
        ['u4', [['x', 1]]],
      ],
      1,
    ],
    ['waiting', [['models', []], [null, []], {}, []], 1],
  ])('with odd entries among its %s keeps the sound ones', (field, entries, soundCount) => {
    expect(parse({ [field]: entries })).toMatchObject({ [field]: entries.slice(0, soundCount) });
  });

  it('that is cut is dropped, whether or not it is marked for a relay', () => {
    const cut = Buffer.from(JSON.stringify(DATAGRAM)).subarray(0, -3);

    expect(parseDatagram(cut)).toBeUndefined();
    expect(parseDatagram(getRelayedContent(markForRelay(cut)) ?? cut)).toBeUndefined();
  });

  it('is the same after a relay', () => {
    const content = Buffer.from(JSON.stringify(DATAGRAM));

    expect(getRelayedContent(content)).toBeUndefined();
    expect(getRelayedContent(markForRelay(content))).toEqual(content);
  });
});

// Guards against admissions that are lost because they look known, or that each peer reads again.
describe('the admissions of a datagram', () => {
  const SPENT = [
    ['a "],"running":[ b', 30, 2],
    ['one', 70, 9],
  ];
  const RECENT = [['one', 70]];
  const { from: sender, ...rest } = DATAGRAM;
  const CONTENT = { from: sender, admitted: 100, recent: RECENT, ...rest, spent: SPENT };
  const parseKnown = (content: object, known: number | undefined): unknown =>
    parseDatagram(Buffer.from(JSON.stringify(content)), (from) =>
      from === sender ? known : undefined,
    )?.spent;

  it.each([
    ['are the recent ones when all others are known', CONTENT, 96, [['one', 70, 0]]],
    ['are all when more than the recent ones are new', CONTENT, 95, SPENT],
    ['are all when more are known', CONTENT, 101, SPENT],
    ['are all for a sender that is not known', CONTENT, undefined, SPENT],
    ['are all for another sender', { ...CONTENT, from: 'gw_2' }, 100, SPENT],
    ['are all for an earlier version', { ...DATAGRAM, spent: SPENT }, 100, SPENT],
    ['are without odd recent ones', { ...CONTENT, recent: [['one', -1], ['', 1], 5] }, 100, []],
    ['are none when the recent ones are no list', { ...CONTENT, recent: 5 }, 100, []],
  ])('%s', (_, content, known, spent) => {
    expect(parseKnown(content, known)).toEqual(spent);
  });
});

describe('batch items in a datagram', () => {
  it('keep whether they have begun', () => {
    const items = new Map([
      ['u1', [{ dueMs: 18_000, remainingMs: 300, hasBegun: true }]],
      ['u2', [{ dueMs: 18_000, remainingMs: 4700, hasBegun: false }]],
    ]);
    expect(decodeItems(encodeItems(items))).toEqual(items);
  });

  it('are read without it from a peer of an earlier version, or with an invalid value', () => {
    const datagram = parseDatagram(
      Buffer.from(
        JSON.stringify({
          ...DATAGRAM,
          running: [
            [
              'u1',
              [
                [1, 2],
                [3, 4, 'x'],
              ],
            ],
          ],
        }),
      ),
    );
    expect(decodeItems(datagram?.running ?? []).get('u1')).toEqual([
      { dueMs: 1, remainingMs: 2 },
      { dueMs: 3, remainingMs: 4 },
    ]);
  });
});
