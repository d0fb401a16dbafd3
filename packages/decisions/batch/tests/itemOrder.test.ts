import fc from 'fast-check';
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import { compareUrgency, newRunTimeEstimator, type ItemTiming } from '../itemOrder';

interface Item {
  readonly dueMs: number;
  readonly leftMs: number;
}

const RUN_MS = 5000;
const TICK_MS = 100;
/** The association's day: 2.8 s of peak in each 6.6 s leave next to no slots for batch work. */
const getSlots = (nowMs: number): number => (nowMs % 6600 < 3800 ? 30 : 3);

type Order = (a: Item, b: Item, nowMs: number) => number;

const byItemOrder: Order = (a, b, nowMs) => {
  const getWaiting = ({ dueMs, leftMs }: Item): ItemTiming => ({ dueMs, remainingMs: leftMs });
  return compareUrgency(getWaiting(a), getWaiting(b), nowMs);
};

/** Naive: earliest due first, items of a job as they come. */
const byDue: Order = (a, b) => a.dueMs - b.dueMs;

const DUE_MS = 18_000;

const newJob = (dueMs: number, random: Random): Item[] =>
  Array.from({ length: 10 }, () => ({ dueMs, leftMs: RUN_MS * (0.7 + 0.6 * random()) }));

/** Jobs of ten items arrive faster than the valleys take them; gives the share done by 18 s. */
const replay = (order: Order, seed: number): number => {
  const random = newSeededRandom(seed);
  let waiting: Item[] = [];
  let asked = 0;
  let inTime = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS) {
    if (random() < 0.05) {
      const job = newJob(nowMs + DUE_MS, random);
      asked += job.length;
      waiting.push(...job);
    }
    const at = nowMs;
    const slots = getSlots(at);
    const next = [...waiting]
      .sort((a, b) => order(a, b, at))
      .map((item, place) => (place < slots ? { ...item, leftMs: item.leftMs - TICK_MS } : item));
    inTime += next.filter(({ leftMs, dueMs }) => leftMs <= 0 && at <= dueMs).length;
    waiting = next.filter(({ leftMs }) => leftMs > 0);
  }
  return inTime / asked;
};

describe('order of batch items', () => {
  it('gets more items done in time than the due time alone when there are too many', () => {
    const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
    const getMean = (order: Order): number =>
      seeds.reduce((sum, seed) => sum + replay(order, seed), 0) / seeds.length;

    expect(getMean(byItemOrder)).toBeGreaterThan(getMean(byDue));
  });

  it('is an order', () => {
    const item = fc.record({ dueMs: fc.nat(50), remainingMs: fc.nat(20) });
    fc.assert(
      fc.property(item, item, item, fc.nat(60), (a, b, c, nowMs) => {
        expect(Math.sign(compareUrgency(a, b, nowMs))).toBe(
          -Math.sign(compareUrgency(b, a, nowMs)) + 0,
        );
        if (compareUrgency(a, b, nowMs) <= 0 && compareUrgency(b, c, nowMs) <= 0) {
          expect(compareUrgency(a, c, nowMs)).toBeLessThanOrEqual(0);
        }
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  it('expects less of an item that has come further', () => {
    const estimate = newRunTimeEstimator();
    estimate.learnRun('r', 40, 2000);
    estimate.learnCompletion('r', 100);

    expect(estimate.getRemainingMs('r', 0)).toBe(5000);
    expect(estimate.getRemainingMs('r', 60)).toBe(2000);
    expect(estimate.getRemainingMs('r', 200)).toBe(500);
  });

  it('learns the speed from runs that yielded, not from those that hardly began', () => {
    const estimate = newRunTimeEstimator();
    const firstMs = estimate.getRemainingMs('r', 0);
    estimate.learnRun('r', 1, 400);
    expect(estimate.getRemainingMs('r', 0)).toBe(firstMs);

    estimate.learnRun('r', 50, 2000);
    expect(estimate.getRemainingMs('r', 0)).toBe(firstMs * 2);
  });
});
