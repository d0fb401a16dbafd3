import { decodeHeldSlots, encodeHeldSlots } from '../teamReport';

const HELD = [
  { service: 'models', team: 'one', priority: 0, slots: 3 },
  { service: 'models', team: 'two', priority: 1.5, slots: 1 },
];

describe('a report of the slots of teams', () => {
  it('is read as it was sent', () => {
    expect(decodeHeldSlots(JSON.parse(JSON.stringify(encodeHeldSlots(HELD))))).toEqual(HELD);
  });

  // Guards against bytes in each datagram where no configuration calls for shares.
  it('is left out of a datagram without any', () => {
    expect(JSON.stringify({ teams: encodeHeldSlots([]) })).toBe('{}');
  });

  it.each([
    ['no field, as of an earlier version', undefined],
    ['no list', { one: 1 }],
    ['null', null],
  ])('with %s is empty', (_, value) => {
    expect(decodeHeldSlots(value)).toEqual([]);
  });

  // Guards against one odd entry that costs the others, or whose count distorts the shares.
  it('loses its odd entries alone', () => {
    const entries = [
      ['models', 'one', 0, 3],
      null,
      5,
      ['models'],
      ['', 'one', 0, 1],
      ['models', 5, 0, 1],
      ['models', 'x'.repeat(257), 0, 1],
      ['models', 'one', 'urgent', 1],
      ['models', 'one', null, 1],
      ['models', 'one', 0, 0],
      ['models', 'one', 0, -1],
      ['models', 'one', 0, 0.5],
      ['models', 'one', 0, 1e300],
      ['models', 'two', 1.5, 1],
    ];

    expect(decodeHeldSlots(entries)).toEqual(HELD);
  });
});
