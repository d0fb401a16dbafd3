import { newSeededRandom, type Random } from '@anvilpaddle/common';
import { newHedging } from '../hedging';

const MEAN_MS = 60;
const SLOW_FACTOR = 2.5;
const REQUEST_INTERVAL_MS = 250;
/** Above the fraction of slow responses: a smaller share leaves some of them unhedged. */
const SHARE = 0.2;

/** Duration of an attempt at an upstream of which 15% of the responses are slow by noise. */
const drawNoisyMs = (random: Random): number =>
  MEAN_MS * (0.7 + 0.6 * random()) * (random() < 0.15 ? SLOW_FACTOR : 1);

const getPercentile = (values: readonly number[], percentile: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) * (percentile / 100))] ?? 0;

/** Durations of requests that one gateway hedges, one after the other, and the number of hedges. */
const replay = (
  maxShare: number,
  drawMs: (random: Random, nowMs: number) => number,
  seed: number,
  requestCount = 4000,
) => {
  const random = newSeededRandom(seed);
  const hedging = newHedging(maxShare);
  let hedges = 0;
  const durations = Array.from({ length: requestCount }, (_, index) => {
    const nowMs = index * REQUEST_INTERVAL_MS;
    hedging.recordRequest();
    const delayMs = hedging.getDelayMs('safe', nowMs) ?? Infinity;
    const firstMs = drawMs(random, nowMs);
    const isHedged = firstMs > delayMs && hedging.tryTake();
    if (isHedged) hedges += 1;
    const durationMs = isHedged ? Math.min(firstMs, delayMs + drawMs(random, nowMs)) : firstMs;
    hedging.learn('safe', durationMs, nowMs + durationMs);
    return durationMs;
  });
  return { durations, hedges };
};

describe('hedging', () => {
  it.each([1, 2, 3])(
    'cuts the slowest responses of noisy upstreams within its share, seed %i',
    (seed) => {
      const without = replay(0, drawNoisyMs, seed);
      const withHedges = replay(SHARE, drawNoisyMs, seed);

      expect(without.hedges).toBe(0);
      expect(withHedges.hedges).toBeLessThanOrEqual(SHARE * 4000);
      expect(withHedges.hedges).toBeGreaterThan(0.1 * 4000);
      [95, 99].forEach((percentile) =>
        expect(getPercentile(withHedges.durations, percentile)).toBeLessThan(
          getPercentile(without.durations, percentile),
        ),
      );
    },
  );

  it('keeps the share when all responses become slow at once, as they do in an overload', () => {
    const drawMs = (random: Random, nowMs: number): number =>
      drawNoisyMs(random) * (nowMs > 500_000 ? 10 : 1);

    expect(replay(0.05, drawMs, 1).hedges).toBeLessThanOrEqual(0.05 * 4000);
  });

  it('starts with an empty budget, so that restarts do not add to the extra requests', () => {
    const hedging = newHedging(0.5);

    expect(hedging.tryTake()).toBe(false);
    hedging.recordRequest();
    expect(hedging.tryTake()).toBe(false);
    hedging.recordRequest();
    expect([hedging.tryTake(), hedging.tryTake()]).toEqual([true, false]);
  });

  it('hedges nothing while too little is known or what is known is old', () => {
    const hedging = newHedging(0.05);
    const learnMany = (nowMs: number): void =>
      Array.from({ length: 30 }).forEach(() => hedging.learn('safe', 50, nowMs));

    expect(hedging.getDelayMs('safe', 0)).toBeUndefined();
    learnMany(0);
    expect(hedging.getDelayMs('safe', 1)).toBe(50);
    expect(hedging.getDelayMs('stream', 1)).toBeUndefined();
    expect(hedging.getDelayMs('safe', 31_000)).toBe(50);
    expect(hedging.getDelayMs('safe', 95_000)).toBeUndefined();
  });

  it('does nothing with a share of 0', () => {
    const hedging = newHedging(0);
    Array.from({ length: 100 }).forEach(() => {
      hedging.recordRequest();
      hedging.learn('safe', 50, 0);
    });

    expect([hedging.getDelayMs('safe', 0), hedging.tryTake()]).toEqual([undefined, false]);
  });
});
