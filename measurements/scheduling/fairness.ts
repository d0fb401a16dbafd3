/** Fairness of the scheduler towards the other teams of a heavy one. */
import {
  getPercentile,
  simulateScheduling,
  type SimulationResult,
  type TrafficSource,
} from '../schedulingSimulation';
import { getSpread, print, sum } from './report';
import {
  CAPACITY,
  ENGINE,
  FIFO,
  newBurstyRate,
  newSource,
  newTokenSampler,
  PRODUCT,
  SEEDS,
  SLOTS,
  type Policy,
} from './schedulingSetup';

const FAIRNESS_POLICIES: readonly Policy[] = [FIFO, PRODUCT];

/** Tokens of the responses that a team got in time. */
const getServedTokens = (run: SimulationResult, team: string): number =>
  sum(run.samples.filter((s) => s.team === team && s.isInTime).map(({ tokens }) => tokens));

/**
 * Prints the tokens of the worst-served other team as a fraction of those it gets without the heavy
 * team.
 */
export const measureFairness = (): void => {
  const others = Array.from({ length: 7 }, (_, index) => `t${index + 1}`);
  const share = CAPACITY / 8;
  const steadySources = others.map((team) => newSource(team, share * 0.8));
  const burstySources = others.map((team) =>
    newSource(team, share * 0.8, newBurstyRate(share * 0.4, share * 1.6)),
  );
  const cases: readonly (readonly [string, readonly TrafficSource[], TrafficSource])[] = [
    ['10 times its rate', steadySources, newSource('heavy', share * 10)],
    ['10 times, others in bursts', burstySources, newSource('heavy', share * 10)],
    [
      'huge allowances, same answers',
      steadySources,
      newSource('heavy', share * 10, { maxTokens: 100_000 }),
    ],
    ['wide bursts', steadySources, newSource('heavy', share * 10, newBurstyRate(0, share * 40))],
    [
      'answers 10 times as long',
      steadySources,
      newSource('heavy', share * 3, { getTokens: newTokenSampler(600) }),
    ],
    [
      'long answers in wide bursts',
      steadySources,
      newSource('heavy', share * 10, {
        ...newBurstyRate(0, share * 30),
        getTokens: newTokenSampler(600),
      }),
    ],
  ];
  print(
    '\nworst-served other team, tokens in time over those without the heavy team; p95 of first token with/without',
  );
  cases.forEach(([title, sources, heavy]) => {
    FAIRNESS_POLICIES.forEach(({ name, newScheduler }) => {
      const runs = SEEDS.map((seed) => {
        const setup = { engine: ENGINE, newScheduler, durationMs: 60_000, batchTeams: [], seed };
        return {
          without: simulateScheduling({ ...setup, sources }),
          with: simulateScheduling({ ...setup, sources: [...sources, heavy] }),
        };
      });
      const worstServed = runs.map((run) =>
        Math.min(
          ...others.map(
            (team) => getServedTokens(run.with, team) / getServedTokens(run.without, team),
          ),
        ),
      );
      const utilizations = runs.map(
        (run) =>
          (sum(run.with.samples.filter((s) => s.isInTime).map((s) => s.tokens)) * 10) /
          60_000 /
          SLOTS,
      );
      const firstTokenRatios = runs.map((run) => {
        const getP95 = ({ samples }: SimulationResult): number =>
          getPercentile(
            samples.flatMap(({ team, firstTokenMs, arrivedMs }) =>
              team === 'heavy' || firstTokenMs === undefined ? [] : [firstTokenMs - arrivedMs],
            ),
            95,
          );
        return getP95(run.with) / getP95(run.without);
      });
      print(
        `${title} | ${name} | ${getSpread(worstServed, 3)} | ${getSpread(firstTokenRatios)} | ${getSpread(utilizations, 3)}`,
      );
    });
  });
};
