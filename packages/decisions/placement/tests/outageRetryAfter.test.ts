import { newSeededRandom } from '@anvilpaddle/common';
import { getOutageRetryAfterMs, OUTAGE, type Outage } from '../outageRetryAfter';

const BUDGET_MS = 5000;

/**
 * Replays the store outage of the association's deployment, in which API keys can't be checked from
 * 22.25 s until the store answers again at about 25 s. Returns the fraction of refused callers
 * whose single retry is served.
 */
const replayOutage = (getRetryAfterMs: () => number, seed: number): number => {
  const random = newSeededRandom(seed);
  const endMs = 1000 + 4000 * random();
  const arrivals = Array.from({ length: 200 }, () => random() * endMs);
  const served = arrivals.filter((arrivedMs) => arrivedMs + getRetryAfterMs() >= endMs);
  return served.length / arrivals.length;
};

describe('retry-after time in an outage', () => {
  it('serves more of the refused callers than a short retry-after time', () => {
    const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
    const getMean = (getRetryAfterMs: () => number): number =>
      seeds.reduce((sum, seed) => sum + replayOutage(getRetryAfterMs, seed), 0) / seeds.length;
    const getScheduledMs = (): number =>
      getOutageRetryAfterMs({
        outage: OUTAGE.storeUnavailable,
        canOthersServe: false,
        budgetMs: BUDGET_MS,
      });

    expect(getMean(getScheduledMs)).toBeGreaterThan(3 * getMean(() => 300));
  });

  it.each<[string, Outage, boolean, number | undefined, number]>([
    ['short if another gateway serves', OUTAGE.storeUnavailable, true, 5000, 20],
    ['the usual start time if this gateway is starting', OUTAGE.starting, false, 5000, 300],
    ['limited by a short budget while this gateway is starting', OUTAGE.starting, false, 600, 200],
    ['as late as the budget allows', OUTAGE.storeUnavailable, false, 3000, 1000],
    ['limited to the maximum without a budget', OUTAGE.storeUnavailable, false, undefined, 1500],
  ])('is %s', (_, outage, canOthersServe, budgetMs, retryAfterMs) => {
    expect(getOutageRetryAfterMs({ outage, canOthersServe, budgetMs })).toBe(retryAfterMs);
  });
});
