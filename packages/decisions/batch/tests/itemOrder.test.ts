import fc from 'fast-check';
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import {
  compareUrgency,
  getUrgencyOrder,
  newRunTimeEstimator,
  type ItemTiming,
} from '../itemOrder';

interface Item {
  readonly dueMs: number;
  readonly leftMs: number;
}

const RUN_MS = 5000;
const TICK_MS = 100;
/** Load of the association's deployment: a peak of 2.8 s in each 6.6 s leaves almost no slots. */
const getSlots = (nowMs: number): number => (nowMs % 6600 < 3800 ? 30 : 3);

type Order = (a: Item, b: Item, nowMs: number) => number;

const byItemOrder: Order = (a, b, nowMs) => {
  const getTiming = ({ dueMs, leftMs }: Item): ItemTiming => ({ dueMs, remainingMs: leftMs });
  return compareUrgency(getTiming(a), getTiming(b), nowMs);
};

/** Naive order: by due time alone, items of a job in their given order. */
const byDue: Order = (a, b) => a.dueMs - b.dueMs;

const DUE_MS = 18_000;

const newJob = (dueMs: number, random: Random): Item[] =>
  Array.from({ length: 10 }, () => ({ dueMs, leftMs: RUN_MS * (0.7 + 0.6 * random()) }));

/**
 * Submits jobs of ten items faster than the slots between the peaks can run them; returns the
 * fraction of items that finish by their due time, 18 s after submission.
 */
const replay = (order: Order, seed: number): number => {
  const random = newSeededRandom(seed);
  let waiting: Item[] = [];
  let submitted = 0;
  let finishedInTime = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS) {
    if (random() < 0.05) {
      const job = newJob(nowMs + DUE_MS, random);
      submitted += job.length;
      waiting.push(...job);
    }
    const at = nowMs;
    const slots = getSlots(at);
    const next = [...waiting]
      .sort((a, b) => order(a, b, at))
      .map((item, place) => (place < slots ? { ...item, leftMs: item.leftMs - TICK_MS } : item));
    finishedInTime += next.filter(({ leftMs, dueMs }) => leftMs <= 0 && at <= dueMs).length;
    waiting = next.filter(({ leftMs }) => leftMs > 0);
  }
  return finishedInTime / submitted;
};

describe('order of batch items', () => {
  it('finishes more items in time under overload than ordering by due time alone', () => {
    const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
    const getMean = (order: Order): number =>
      seeds.reduce((sum, seed) => sum + replay(order, seed), 0) / seeds.length;

    expect(getMean(byItemOrder)).toBeGreaterThan(getMean(byDue));
  });

  it('is antisymmetric and transitive', () => {
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

  it('expects less remaining run time of an item with more events', () => {
    const estimator = newRunTimeEstimator();
    estimator.learnRun('r', 40, 2000);
    estimator.learnCompletion('r', 100);

    expect(estimator.getRemainingMs('r', 0)).toBe(5000);
    expect(estimator.getRemainingMs('r', 60)).toBe(2000);
    expect(estimator.getRemainingMs('r', 200)).toBe(500);
  });

  it('learns the time per event from preempted runs, but not from runs with few events', () => {
    const estimator = newRunTimeEstimator();
    const initialMs = estimator.getRemainingMs('r', 0);
    estimator.learnRun('r', 1, 400);
    expect(estimator.getRemainingMs('r', 0)).toBe(initialMs);

    estimator.learnRun('r', 50, 2000);
    expect(estimator.getRemainingMs('r', 0)).toBe(initialMs * 2);
  });
});

describe('order of items that are known to have begun or not', () => {
  const newItem = (dueMs: number, remainingMs: number, hasBegun?: boolean): ItemTiming => ({
    dueMs,
    remainingMs,
    ...(hasBegun === undefined ? {} : { hasBegun }),
  });

  it('is antisymmetric and transitive', () => {
    const item = fc.record({ dueMs: fc.nat(50), remainingMs: fc.nat(20), hasBegun: fc.boolean() });
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

  it('does not interrupt an item that is nearly done for one that is due earlier', () => {
    const nearlyDone = newItem(18_000, 500, true);
    expect(compareUrgency(nearlyDone, newItem(10_000, 4700, false), 0)).toBeLessThan(0);
    expect(compareUrgency(nearlyDone, newItem(10_000, 4000, true), 0)).toBeLessThan(0);
  });

  it('lets an item that can still be in time go before one that has begun and cannot', () => {
    expect(compareUrgency(newItem(18_000, 4700, false), newItem(400, 500, true), 0)).toBeLessThan(
      0,
    );
  });

  it('ranks fresh items by due time, not by the estimates of their gateways', () => {
    expect(
      compareUrgency(newItem(17_000, 4710, false), newItem(18_000, 4690, false), 0),
    ).toBeLessThan(0);
  });

  it('is by due time for all items if a gateway of an earlier version reports one of them', () => {
    const items = [newItem(18_000, 500, true), newItem(17_000, 4700, false), newItem(16_000, 4700)];
    const order = getUrgencyOrder(items);

    expect([...items].sort((a, b) => order(a, b, 0))).toEqual([...items].reverse());
  });
});
