/** Effect of batch work on online requests. */
import { ReserveScheduler } from '../reserveScheduler';
import {
  getPercentile,
  simulateScheduling,
  type EngineModel,
  type SimulationResult,
  type TrafficSource,
} from '../schedulingSimulation';
import { SingleQueueScheduler } from '../singleQueueScheduler';
import { getFirstTokenTimes, getSpread, print, sum } from './report';
import { newProductScheduler, SEEDS, SLOTS, type Policy } from './schedulingSetup';

const BATCH_TEAMS = [
  { team: 'b1', tokens: 200 },
  { team: 'b2', tokens: 400 },
];

/** Ways to give online requests priority. */
export const PRIORITY_POLICIES: readonly Policy[] = [
  { name: 'no priority', newScheduler: () => new SingleQueueScheduler(SLOTS) },
  { name: 'reserve of 4 only', newScheduler: () => new ReserveScheduler(SLOTS, 4) },
  {
    name: 'yielding, no hold',
    newScheduler: () => newProductScheduler({ batchRestartDelayMs: 0 }),
  },
  { name: 'yielding', newScheduler: () => newProductScheduler() },
  { name: 'yielding, reserve 1', newScheduler: () => newProductScheduler({ reserve: 1 }) },
  {
    name: 'yielding, hold 100 ms',
    newScheduler: () => newProductScheduler({ batchRestartDelayMs: 100 }),
  },
  {
    name: 'yielding, items restart',
    newScheduler: () => newProductScheduler(),
    engine: { resumesPreemptedWork: false },
  },
  {
    name: 'yielding, slow cancel 20 ms',
    newScheduler: () => newProductScheduler(),
    engine: { cancelMs: 20 },
  },
];

/** Prints how batch work affects online requests, and how much of the spare slots it uses. */
export const measureBatchImpact = (
  title: string,
  sources: readonly TrafficSource[],
  engine: EngineModel,
  policies: readonly Policy[],
): void => {
  print(`\n${title}`);
  print(
    'policy | first token with/without batch p50, p95, p99 | between tokens p50, p95, p99 | batch/spare | redone/useful | preempted/s',
  );
  const durationMs = 60_000;
  policies.forEach((policy) => {
    const engineModel = { ...engine, ...policy.engine };
    const runs = SEEDS.map((seed) => {
      const setup = {
        engine: engineModel,
        newScheduler: policy.newScheduler,
        sources,
        durationMs,
        seed,
      };
      const without = simulateScheduling({ ...setup, batchTeams: [] });
      return { without, with: simulateScheduling({ ...setup, batchTeams: BATCH_TEAMS }) };
    });
    const getRatios = (
      getNumbers: (run: SimulationResult) => readonly number[],
      percent: number,
    ): string =>
      getSpread(
        runs.map(
          (run) =>
            getPercentile(getNumbers(run.with), percent) /
            getPercentile(getNumbers(run.without), percent),
        ),
      );
    const firstTokenRatios = [50, 95, 99].map((percent) => getRatios(getFirstTokenTimes, percent));
    const tokenGapRatios = [50, 95, 99].map((percent) =>
      getRatios(({ tokenGapsMs }) => tokenGapsMs, percent),
    );
    const spareFractions = runs.map((run) => {
      const stepMs = engineModel.stepMs + engineModel.stepMsPerRequest * engineModel.slots;
      const usedMs = BATCH_TEAMS.map(
        ({ team, tokens }) =>
          (run.with.batchTokens.get(team) ?? 0) * (stepMs + engineModel.prefillMs / tokens),
      );
      return sum(usedMs) / run.without.spareSlotMs;
    });
    const wastedRatios = runs.map(
      (run) => run.with.wastedTokens / sum(run.with.batchTokens.values()),
    );
    const preemptionRates = runs.map((run) => (run.with.preemptions * 1000) / durationMs);
    print(
      [
        policy.name,
        firstTokenRatios.join(', '),
        tokenGapRatios.join(', '),
        getSpread(spareFractions),
        getSpread(wastedRatios),
        getSpread(preemptionRates, 1),
      ].join(' | '),
    );
  });
};
