import { parsePartReports } from '../partReport';

const REPORT = {
  part: 'part',
  position: 1,
  isQuarantined: true,
  survivals: 2,
  served: { withPart: 3, all: 40 },
  crashes: [['upstream', 120]],
};

describe('reports of prompt parts', () => {
  it('are read as they were sent', () => {
    expect(parsePartReports(JSON.parse(JSON.stringify([REPORT])))).toEqual([REPORT]);
  });

  it.each([
    ['no list', undefined],
    ['another type', 'reports'],
    ['nothing', [null]],
    ['an empty part', [{ ...REPORT, part: '' }]],
    ['a long part', [{ ...REPORT, part: 'p'.repeat(65) }]],
    ['a negative count', [{ ...REPORT, survivals: -1 }]],
    ['a fraction', [{ ...REPORT, served: { withPart: 0.5, all: 1 } }]],
    ['no counts', [{ ...REPORT, served: null }]],
    ['a crash without a time', [{ ...REPORT, crashes: [['upstream', null]] }]],
    ['a crash without an upstream', [{ ...REPORT, crashes: [[1, 2]] }]],
    ['too many crashes', [{ ...REPORT, crashes: Array.from({ length: 65 }, () => ['u', 1]) }]],
  ])('are left out with %s', (_, value) => {
    expect(parsePartReports(value)).toEqual([]);
  });
});
