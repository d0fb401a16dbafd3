/** Goodput of the scheduler under overload. */
import type { Random } from '@anvilpaddle/common';
import { CountBoundedScheduler } from '../countBoundedScheduler';
import { simulateScheduling } from '../schedulingSimulation';
import { getMean, getSpread, print } from './report';
import {
  CAPACITY,
  ENGINE,
  FIFO,
  newSource,
  PRODUCT,
  SEEDS,
  SLOTS,
  type Policy,
} from './schedulingSetup';

const OVERLOAD_POLICIES: readonly Policy[] = [
  FIFO,
  {
    name: 'first come, at most 100 wait',
    newScheduler: () => new CountBoundedScheduler(SLOTS, 100),
  },
  PRODUCT,
];

/** Prints goodput, the responses in time per second, at multiples of the capacity. */
export const measureOverload = (timeoutMs: number, getTokens: (random: Random) => number): void => {
  print(
    `\ngoodput over that at capacity, deadline ${timeoutMs} ms; share of refusals after a wait of 50 ms and more`,
  );
  OVERLOAD_POLICIES.forEach(({ name, newScheduler }) => {
    const columns = [0.5, 1, 1.5, 2, 3].map((load) => {
      const runs = SEEDS.map((seed) => {
        const sources = Array.from({ length: 8 }, (_, index) =>
          newSource(`t${index}`, (CAPACITY * load) / 8, { timeoutMs, getTokens }),
        );
        return simulateScheduling({
          engine: ENGINE,
          newScheduler,
          sources,
          durationMs: 60_000,
          batchTeams: [],
          seed,
        });
      });
      const goodput = runs.map(
        (run) =>
          run.samples.filter((s) => s.isInTime && (s.finishedMs ?? 0) <= 60_000).length /
          60 /
          CAPACITY,
      );
      const lateRefusalFractions = runs.map((run) => {
        const refused = run.samples.filter((s) => s.refusedMs !== undefined);
        const waited = refused.filter((s) => (s.refusedMs ?? 0) - s.arrivedMs >= 50);
        return refused.length === 0 ? 0 : waited.length / refused.length;
      });
      return `${load}x ${getSpread(goodput)} late ${getMean(lateRefusalFractions).toFixed(2)}`;
    });
    print(`${name} | ${columns.join(' | ')}`);
  });
};
