import { loadHashing, newSeededRandom } from '@anvilpaddle/common';
import { simulateGroups, type GroupResult, type GroupScenario } from './groupSimulation';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const LATE_ARRIVALS = 3;
/** Time of the first group or power cut. */
const FIRST_MS = 6000;

const CALM: GroupScenario = {
  gateways: 3,
  upstreams: 6,
  durationMs: 48_000,
  soundPerSecond: 25,
  subjects: 40,
  answerMs: 200,
  groupsMs: [],
  groupSize: 0,
  cutsMs: [],
  cutSize: 0,
  burstSize: 0,
};

beforeAll(loadHashing);

const runAll = (scenario: Partial<GroupScenario>): (GroupResult & { seed: number })[] =>
  SEEDS.map((seed) => ({
    seed,
    ...simulateGroups({ ...CALM, ...scenario }, newSeededRandom(seed)),
  }));

/** Times after these pauses, from the first one on. */
const getTimes = (pausesMs: readonly number[]): number[] =>
  pausesMs.reduce<number[]>(
    (times, pauseMs) => [...times, (times.at(-1) ?? 0) + pauseMs],
    [FIRST_MS],
  );

const PACES = {
  'every 5 s': getTimes([5000, 5000, 5000, 5000, 5000, 5000]),
  'every 3.5 s': getTimes([3500, 3500, 3500, 3500, 3500, 3500, 3500]),
  'every second': getTimes(Array.from({ length: 25 }, () => 1000)),
  'at a changing pace': getTimes([7000, 2600, 11_000, 400, 3300, 5100, 8000]),
};

// Guards against review/14: crashes at one moment counted once, though the part was aboard at each.
describe('a harmful part that comes in groups', () => {
  it.each(
    [2, 3, 5, 10].flatMap((groupSize) =>
      Object.entries(PACES).flatMap(([pace, groupsMs]) =>
        [1, 3].map((gateways) => ({ groupSize, pace, groupsMs, gateways })),
      ),
    ),
  )(
    'of $groupSize $pace at $gateways gateways is kept out in time, and no sound request',
    ({ groupSize, groupsMs, gateways }) => {
      const results = runAll({ groupSize, groupsMs, gateways });

      expect(results.filter(({ lateArrivals }) => lateArrivals > LATE_ARRIVALS)).toEqual([]);
      expect(results.filter(({ soundRefused }) => soundRefused > 0)).toEqual([]);
    },
  );
});

describe('power cuts of several upstreams under sound traffic', () => {
  it.each(
    [2, 3, 5, 6].flatMap((cutSize) =>
      Object.entries(PACES).flatMap(([pace, cutsMs]) =>
        [1, 3].flatMap((gateways) =>
          [3, 25, 80].map((soundPerSecond) => ({
            cutSize,
            pace,
            cutsMs,
            gateways,
            soundPerSecond,
          })),
        ),
      ),
    ),
  )(
    'of $cutSize $pace, at $gateways gateways and $soundPerSecond requests a second, keep no sound part out',
    ({ pace: _, ...scenario }) => {
      const results = runAll(scenario);

      expect(results.filter(({ soundRefused }) => soundRefused > 0)).toEqual([]);
    },
  );

  it.each([
    ['few subjects', { subjects: 4, soundPerSecond: 10 }],
    ['many subjects', { subjects: 1000 }],
    ['long answers', { answerMs: 3000, soundPerSecond: 10 }],
    ['long answers of few subjects', { answerMs: 3000, soundPerSecond: 10, subjects: 4 }],
    ['hardly any traffic', { soundPerSecond: 1, subjects: 4 }],
  ])('under %s keep no sound part out', (_, scenario) => {
    const results = [2, 3, 6].flatMap((cutSize) =>
      Object.values(PACES).flatMap((cutsMs) => runAll({ cutSize, cutsMs, ...scenario })),
    );

    expect(results.filter(({ soundRefused }) => soundRefused > 0)).toEqual([]);
  });

  it.each(
    [2, 3, 5, 6].flatMap((cutSize) =>
      [2, 5, 10].flatMap((burstSize) =>
        [1, 3].map((gateways) => ({ cutSize, burstSize, gateways })),
      ),
    ),
  )(
    'of $cutSize that break off $burstSize requests with a new part at $gateways gateways keep it out for seconds at most',
    (scenario) => {
      const results = runAll({ ...scenario, cutsMs: getTimes([15_000, 15_000]) });

      expect(results.filter(({ soundRefusedForLong }) => soundRefusedForLong > 0)).toEqual([]);
    },
  );
});
