import { newSeededRandom } from '@anvilpaddle/common';
import { getOutageRetryAfterMs, OUTAGE, type Outage } from '../outageRetryAfter';

const BUDGET_MS = 5000;

/**
 * Replays the association's outage, in which keys can not be checked from 22.25 s until the store is back
 * about 25 s; gives the share of refused callers whose one return is served.
 */
const replayOutage = (getReturnMs: () => number, seed: number): number => {
  const random = newSeededRandom(seed);
  const endMs = 1000 + 4000 * random();
  const arrivals = Array.from({ length: 200 }, () => random() * endMs);
  const served = arrivals.filter((arrivedMs) => arrivedMs + getReturnMs() >= endMs);
  return served.length / arrivals.length;
};

describe('return after an outage', () => {
  it('serves more of the refused callers than a short wait does', () => {
    const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
    const getMean = (getReturnMs: () => number): number =>
      seeds.reduce((sum, seed) => sum + replayOutage(getReturnMs, seed), 0) / seeds.length;
    const getOurs = (): number =>
      getOutageRetryAfterMs({
        outage: OUTAGE.storeUnavailable,
        canOthersServe: false,
        budgetMs: BUDGET_MS,
      });

    expect(getMean(getOurs)).toBeGreaterThan(3 * getMean(() => 300));
  });

  it.each<[string, Outage, boolean, number | undefined, number]>([
    ['at once to a gateway that serves', OUTAGE.storeUnavailable, true, 5000, 20],
    ['soon when this one is just starting', OUTAGE.starting, false, 5000, 300],
    ['within what a short budget heeds', OUTAGE.starting, false, 600, 200],
    ['as late as a budget heeds', OUTAGE.storeUnavailable, false, 3000, 1000],
    ['not too late without a budget', OUTAGE.storeUnavailable, false, undefined, 1500],
  ])('is asked %s', (_, outage, canOthersServe, budgetMs, returnMs) => {
    expect(getOutageRetryAfterMs({ outage, canOthersServe, budgetMs })).toBe(returnMs);
  });
});
