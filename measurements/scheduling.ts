/** Measurement of the scheduler in simulated time, beside baseline schedulers. */
import { measureBatchImpact, PRIORITY_POLICIES } from './scheduling/batchImpact';
import { measureFairness } from './scheduling/fairness';
import { measureOverload } from './scheduling/overload';
import { measureScaling } from './scheduling/scaling';
import {
  CAPACITY,
  ENGINE,
  newBurstyRate,
  newProductScheduler,
  newSource,
  newTokenSampler,
} from './scheduling/schedulingSetup';

/**
 * Prints the effect of batch work on online requests, fairness, goodput under overload, and cost by
 * queue size.
 */
export const measureScheduling = async (): Promise<void> => {
  const steady = [0, 1, 2, 3].map((index) => newSource(`t${index}`, (CAPACITY * 0.5) / 4));
  measureBatchImpact(
    'the same, each decoded request adds 0.3 ms to a step of 6 ms',
    steady,
    { ...ENGINE, stepMs: 6, stepMsPerRequest: 0.3 },
    [
      { name: 'yielding', newScheduler: () => newProductScheduler() },
      {
        name: 'yielding, at most 8 items',
        newScheduler: () => newProductScheduler({ batchSlots: 8 }),
      },
      {
        name: 'yielding, at most 4 items',
        newScheduler: () => newProductScheduler({ batchSlots: 4 }),
      },
      {
        name: 'yielding, at most 2 items',
        newScheduler: () => newProductScheduler({ batchSlots: 2 }),
      },
    ],
  );
  const bursts = [0, 1, 2, 3].map((index) =>
    newSource(`t${index}`, 0, newBurstyRate((CAPACITY * 0.2) / 4, (CAPACITY * 0.9) / 4)),
  );
  const policies = PRIORITY_POLICIES;
  measureBatchImpact('online at half of the capacity', steady, ENGINE, policies);
  measureBatchImpact(
    'online in bursts of 3 s: 0.2 and 0.9 of the capacity',
    bursts,
    ENGINE,
    policies,
  );
  measureFairness();
  measureOverload(10_000, newTokenSampler(60));
  measureOverload(2000, newTokenSampler(60));
  measureScaling();
};
