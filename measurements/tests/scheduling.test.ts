/** Tests of the scheduler against a model of an inference engine, beside a first-come scheduler. */
import { FirstComeScheduler, PreemptiveScheduler, type Scheduler } from '@anvilpaddle/decisions';
import {
  simulateScheduling,
  getPercentile,
  type SimulationResult,
  type EngineModel,
  type TrafficSource,
} from '../schedulingSimulation';

const SLOTS = 16;
const RESPONSE_TOKENS = 60;
const ITEM_TOKENS = 200;
const ENGINE: EngineModel = {
  slots: SLOTS,
  prefillMs: 60,
  cachedPrefillMs: 10,
  stepMs: 10,
  stepMsPerRequest: 0,
  cancelMs: 2,
  resumesPreemptedWork: true,
};
const CAPACITY = (SLOTS * 1000) / (ENGINE.prefillMs + RESPONSE_TOKENS * ENGINE.stepMs);
const DURATION_MS = 60_000;
const SEEDS = [1, 2];
const OTHER_TEAMS = ['t1', 't2', 't3', 't4', 't5', 't6', 't7'];

const newProductScheduler = (): Scheduler =>
  new PreemptiveScheduler({ slots: SLOTS, reserve: 0, getMaxWaitMs: () => 5000 });
const newBaselineScheduler = (): Scheduler => new FirstComeScheduler(SLOTS);

const newSource = (
  team: string,
  rate: number,
  part: Partial<TrafficSource> = {},
): TrafficSource => ({
  team,
  serviceClass: 'online',
  getRate: () => rate,
  peakRate: rate,
  getTokens: (random) => Math.round(RESPONSE_TOKENS * (0.5 + random())),
  timeoutMs: 10_000,
  ...part,
});

const run = (part: {
  newScheduler: () => Scheduler;
  sources: readonly TrafficSource[];
  seed: number;
  withBatch?: boolean;
}): SimulationResult =>
  simulateScheduling({
    engine: ENGINE,
    durationMs: DURATION_MS,
    batchTeams: part.withBatch === true ? [{ team: 'nightly', tokens: ITEM_TOKENS }] : [],
    ...part,
  });

const getMean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0) / numbers.length;

const getFirstTokenP99 = ({ samples }: SimulationResult): number =>
  getPercentile(
    samples.flatMap(({ firstTokenMs, arrivedMs }) =>
      firstTokenMs === undefined ? [] : [firstTokenMs - arrivedMs],
    ),
    99,
  );

/** Effect of batch work on the time to the first token, and the fraction of spare slots it uses. */
const getBatchImpact = (newScheduler: () => Scheduler) => {
  const sources = OTHER_TEAMS.map((team) => newSource(team, (CAPACITY * 0.5) / OTHER_TEAMS.length));
  const runs = SEEDS.map((seed) => ({
    without: run({ newScheduler, sources, seed }),
    with: run({ newScheduler, sources, seed, withBatch: true }),
  }));
  return {
    firstTokenRatio: getMean(
      runs.map((pair) => getFirstTokenP99(pair.with) / getFirstTokenP99(pair.without)),
    ),
    share: getMean(
      runs.map((pair) => {
        const tokens = pair.with.batchTokens.get('nightly') ?? 0;
        const items = tokens / ITEM_TOKENS;
        return (tokens * ENGINE.stepMs + items * ENGINE.prefillMs) / pair.without.spareSlotMs;
      }),
    ),
  };
};

const getServedTokens = ({ samples }: SimulationResult, team: string): number =>
  samples
    .filter((sample) => sample.team === team && sample.isInTime)
    .reduce((sum, { tokens }) => sum + tokens, 0);

/** Tokens of the worst-served other team, as a fraction of those it gets without the heavy team. */
const getWorstServed = (newScheduler: () => Scheduler, heavy: TrafficSource): number =>
  getMean(
    SEEDS.map((seed) => {
      const sources = OTHER_TEAMS.map((team) => newSource(team, (CAPACITY / 8) * 0.8));
      const without = run({ newScheduler, sources, seed });
      const withHeavy = run({ newScheduler, sources: [...sources, heavy], seed });
      return Math.min(
        ...OTHER_TEAMS.map((t) => getServedTokens(withHeavy, t) / getServedTokens(without, t)),
      );
    }),
  );

/** Mean number of responses in time at a multiple of the capacity. */
const getGoodput = (newScheduler: () => Scheduler, load: number): number =>
  getMean(
    SEEDS.map((seed) => {
      const rate = (CAPACITY * load) / OTHER_TEAMS.length;
      const sources = OTHER_TEAMS.map((team) => newSource(team, rate, { timeoutMs: 2000 }));
      const { samples } = run({ newScheduler, sources, seed });
      return samples.filter((s) => s.isInTime && (s.finishedMs ?? 0) <= DURATION_MS).length;
    }),
  );

const TEAM_RATE = CAPACITY / 8;
const HEAVY_TEAMS: readonly (readonly [string, TrafficSource])[] = [
  ['sends 10 times its rate', newSource('heavy', TEAM_RATE * 10)],
  ['asks for huge answers', newSource('heavy', TEAM_RATE * 10, { maxTokens: 100_000 })],
  [
    'sends wide bursts',
    newSource('heavy', TEAM_RATE * 40, {
      getRate: (ms) => (ms % 10_000 < 3000 ? TEAM_RATE * 40 : 0),
    }),
  ],
  [
    'has answers ten times as long',
    newSource('heavy', TEAM_RATE * 3, {
      getTokens: (random) => Math.round(600 * (0.5 + random())),
    }),
  ],
];

describe('scheduling in front of an engine model', () => {
  it('keeps the time to the first token of online requests while batch work uses the spare slots', () => {
    const { firstTokenRatio, share } = getBatchImpact(newProductScheduler);

    expect(firstTokenRatio).toBeLessThanOrEqual(1.05);
    expect(share).toBeGreaterThanOrEqual(0.9);
  });

  it('finds a later first token with the scheduler that does not preempt', () => {
    expect(getBatchImpact(newBaselineScheduler).firstTokenRatio).toBeGreaterThan(1.05);
  });

  it.each(HEAVY_TEAMS)('serves the other teams when one %s', (_name, heavy) => {
    expect(getWorstServed(newProductScheduler, heavy)).toBeGreaterThanOrEqual(0.95);
    expect(getWorstServed(newBaselineScheduler, heavy)).toBeLessThan(0.95);
  });

  it('keeps its peak goodput at three times the capacity', () => {
    const getFractionOfPeak = (newScheduler: () => Scheduler): number =>
      getGoodput(newScheduler, 3) /
      Math.max(...[1, 1.5, 2].map((load) => getGoodput(newScheduler, load)));

    expect(getFractionOfPeak(newProductScheduler)).toBeGreaterThanOrEqual(0.95);
    expect(getFractionOfPeak(newBaselineScheduler)).toBeLessThan(0.95);
  });
});
