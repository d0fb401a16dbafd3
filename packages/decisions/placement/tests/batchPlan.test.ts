import fc from 'fast-check';
import { newSeededRandom } from '@anvilpaddle/common';
import { compareUrgency, type ItemTiming } from '../../batch/itemOrder';
import {
  getUpstreamForItem,
  getReservedSlots,
  getSpareSlots,
  getItemsToStart,
  getItemsToPreempt,
  type BatchCandidate,
} from '../batchPlan';

const newCandidate = (slots: number, online: number, batch: number): BatchCandidate => ({
  id: 'upstream',
  slots,
  load: { online, batch },
  weight: 1,
});

/** Items of up to five gateways, no two of them equally urgent. */
const itemsByGateway = fc
  .uniqueArray(fc.record({ dueMs: fc.nat(100), remainingMs: fc.nat(50) }), {
    selector: ({ dueMs, remainingMs }) => `${dueMs} ${remainingMs}`,
    maxLength: 20,
  })
  .chain((items) =>
    fc.tuple(...items.map((item) => fc.nat(4).map((gateway) => ({ ...item, gateway })))),
  );

/** An upstream and the items that run at it or wait for it. */
const situation = fc.record({
  slots: fc.integer({ min: 1, max: 16 }),
  online: fc.nat(20),
  items: itemsByGateway,
  nowMs: fc.nat(100),
});

type OwnedItem = ItemTiming & { readonly gateway: number };

/** What all gateways choose, each for itself with the others' items known. */
const chooseAll = (
  items: readonly OwnedItem[],
  choose: (own: readonly OwnedItem[], peers: readonly OwnedItem[]) => readonly OwnedItem[],
): OwnedItem[] =>
  [0, 1, 2, 3, 4].flatMap((self) =>
    choose(
      items.filter(({ gateway }) => gateway === self),
      items.filter(({ gateway }) => gateway !== self),
    ),
  );

const sortByUrgency = (items: readonly OwnedItem[], nowMs: number): OwnedItem[] =>
  [...items].sort((a, b) => compareUrgency(a, b, nowMs));

describe('plan for batch items', () => {
  it('yields the least urgent of all gateways, just as many as online requests need', () => {
    fc.assert(
      fc.property(situation, ({ slots, online, items, nowMs }) => {
        const candidate = newCandidate(slots, online, items.length);
        const yielded = chooseAll(items, (own, peers) =>
          getItemsToPreempt({ own, peers }, candidate, nowMs),
        );
        const needed = Math.min(items.length, Math.max(0, online + items.length - slots));
        const leastUrgent = sortByUrgency(items, nowMs).slice(items.length - needed);

        expect(sortByUrgency(yielded, nowMs)).toEqual(leastUrgent);
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  it('starts the most urgent of all gateways, as many as there are spare slots', () => {
    fc.assert(
      fc.property(situation, ({ slots, online, items, nowMs }) => {
        const candidate = newCandidate(slots, online, 0);
        const started = chooseAll(items, (own, peers) =>
          getItemsToStart({ own, peers }, [candidate], nowMs),
        );
        const mostUrgent = sortByUrgency(items, nowMs).slice(
          0,
          Math.max(0, Math.max(0, getSpareSlots(candidate)) - getReservedSlots([candidate])),
        );

        expect(sortByUrgency(started, nowMs)).toEqual(mostUrgent);
      }),
      { seed: 3, numRuns: 500 },
    );
  });

  it('starts an item only where a slot is spare, and at the upstream with the most', () => {
    const candidate = fc
      .tuple(fc.integer({ min: 1, max: 16 }), fc.nat(20), fc.nat(8), fc.boolean())
      .map(([slots, online, batch, isHealthy]): Omit<BatchCandidate, 'id'> => ({
        slots,
        load: { online, batch },
        weight: isHealthy ? 1 : 0.5,
      }));
    fc.assert(
      fc.property(fc.array(candidate, { maxLength: 8 }), fc.nat(), (drawn, seed) => {
        const candidates = drawn.map((entry, index) => ({ ...entry, id: `u${index}` }));
        const place = getUpstreamForItem(candidates, newSeededRandom(seed));
        const most = Math.max(0, ...candidates.map(getSpareSlots));
        const chosen = candidates.find(({ id }) => id === place);

        expect(chosen === undefined ? 0 : getSpareSlots(chosen)).toBe(most);
      }),
      { seed: 2, numRuns: 500 },
    );
  });
});

const RUN_MS = 5000;
const TICK_MS = 100;
const DUE_MS = 18_000;
const DAY_MS = 60_000;
const GATEWAYS = 4;
/** Part of the jobs that the first gateway accepts: the balancer spreads connections unevenly. */
const FIRST_SHARE = 0.5;

/** The association's day: 2.8 s of peak in each 6.6 s leave next to no slots for batch work. */
const getOnline = (nowMs: number): number => (nowMs % 6600 < 3800 ? 18 : 45);
const SLOTS = 48;

interface Item extends ItemTiming {
  readonly gateway: number;
  readonly isRunning: boolean;
}

/** Which of the items of all gateways start or yield. */
interface Plan {
  getStarts(waiting: readonly Item[], spare: number, nowMs: number): Item[];
  getYields(running: readonly Item[], excess: number, nowMs: number): Item[];
}

const getByGateway = (items: readonly Item[], self: number) => ({
  own: items.filter(({ gateway }) => gateway === self),
  peers: items.filter(({ gateway }) => gateway !== self),
});

const ALL = Array.from({ length: GATEWAYS }, (_, index) => index);

const ACROSS_GATEWAYS: Plan = {
  getStarts: (waiting, spare, nowMs) => {
    const candidates = [newCandidate(SLOTS, SLOTS - spare, 0)];
    return ALL.flatMap((self) => getItemsToStart(getByGateway(waiting, self), candidates, nowMs));
  },
  getYields: (running, excess, nowMs) => {
    const candidate = newCandidate(SLOTS, SLOTS + excess - running.length, running.length);
    return ALL.flatMap((self) => getItemsToPreempt(getByGateway(running, self), candidate, nowMs));
  },
};

/** Naive: each gateway orders only its own items; the first ones named yield first. */
const EACH_FOR_ITSELF: Plan = {
  getStarts: (waiting, spare, nowMs) => {
    const reserved = getReservedSlots([newCandidate(SLOTS, SLOTS - spare, 0)]);
    const startable = Math.max(0, spare - reserved);
    return ALL.flatMap((self) =>
      getByGateway(waiting, self)
        .own.sort((a, b) => compareUrgency(a, b, nowMs))
        .slice(0, Math.ceil(startable / GATEWAYS)),
    ).slice(0, startable);
  },
  getYields: (running, excess, nowMs) =>
    ALL.flatMap((self) =>
      getByGateway(running, self).own.sort((a, b) => compareUrgency(b, a, nowMs)),
    ).slice(0, excess),
};

/** Jobs of ten items, as many as the valleys just take; gives the share done by their due time. */
const replay = (plan: Plan, seed: number): number => {
  const random = newSeededRandom(seed);
  let items: Item[] = [];
  let asked = 0;
  let inTime = 0;
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += TICK_MS) {
    if (random() < 0.032) {
      const gateway = random() < FIRST_SHARE ? 0 : 1 + Math.floor(random() * (GATEWAYS - 1));
      const job = Array.from({ length: 10 }, () => {
        const remainingMs = RUN_MS * (0.7 + 0.6 * random());
        return { gateway, dueMs: nowMs + DUE_MS, remainingMs, isRunning: false };
      });
      asked += job.length;
      items.push(...job);
    }
    const running = items.filter(({ isRunning }) => isRunning);
    const spare = SLOTS - getOnline(nowMs) - running.length;
    const yields = new Set(plan.getYields(running, Math.max(0, -spare), nowMs));
    const waiting = items.filter((item) => !item.isRunning || yields.has(item));
    const starts = new Set(plan.getStarts(waiting, Math.max(0, spare), nowMs));
    const next = items.map((item): Item => {
      const isRunning = starts.has(item) || (item.isRunning && !yields.has(item));
      return { ...item, isRunning, remainingMs: item.remainingMs - (isRunning ? TICK_MS : 0) };
    });
    const done = next.filter(({ remainingMs }) => remainingMs <= 0);
    inTime += done.filter(({ dueMs }) => nowMs <= dueMs).length;
    items = next.filter(({ remainingMs }) => remainingMs > 0);
  }
  return inTime / asked;
};

const getMean = (plan: Plan): number => {
  const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
  return seeds.reduce((sum, seed) => sum + replay(plan, seed), 0) / seeds.length;
};

describe('plan for batch items on the day with the fewest slots', () => {
  it('gets more done in time over all gateways than each for itself', () => {
    const across = getMean(ACROSS_GATEWAYS);
    const each = getMean(EACH_FOR_ITSELF);

    expect(across).toBeGreaterThan(each);
  });
});

/** Online requests come and go at random about a number; gives runs that yield at once, and slot time used. */
const replayTurnover = (getReserve: (online: number) => number, mean: number, seed: number) => {
  const random = newSeededRandom(seed);
  const stepMs = 10;
  const serviceMs = 800;
  let online = mean;
  let startedAtMs: number[] = [];
  let yieldedAtOnce = 0;
  let usedMs = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += stepMs) {
    const ended = Array.from({ length: online }).filter(() => random() < stepMs / serviceMs).length;
    const arrived = Array.from({ length: mean }).filter(() => random() < stepMs / serviceMs).length;
    online += arrived - ended;
    const excess = Math.max(0, online + startedAtMs.length - SLOTS);
    const at = nowMs;
    yieldedAtOnce += startedAtMs
      .slice(startedAtMs.length - excess)
      .filter((t) => at - t < 200).length;
    startedAtMs = startedAtMs.slice(0, Math.max(0, startedAtMs.length - excess));
    const spare = SLOTS - online - startedAtMs.length - getReserve(online);
    startedAtMs.push(...new Array<number>(Math.max(0, spare)).fill(nowMs));
    usedMs += startedAtMs.length * stepMs;
  }
  return { yieldedAtOnce, usedMs };
};

describe('slots that items leave free', () => {
  const reserveBySpread = (online: number): number =>
    getReservedSlots([newCandidate(SLOTS, online, 0)]);
  const sum = (getReserve: (online: number) => number, mean: number) =>
    Array.from({ length: 5 }, (_, index) => replayTurnover(getReserve, mean, index + 1)).reduce(
      (a, b) => ({
        yieldedAtOnce: a.yieldedAtOnce + b.yieldedAtOnce,
        usedMs: a.usedMs + b.usedMs,
      }),
    );

  it('spare most starts that would yield at once, near the peak', () => {
    const none = sum(() => 0, 42);
    const ours = sum(reserveBySpread, 42);

    expect(ours.yieldedAtOnce).toBeLessThan(none.yieldedAtOnce / 2);
  });

  it('leave more to items in the valley than one slot an upstream does', () => {
    const fixed = sum(() => 6, 11);
    const ours = sum(reserveBySpread, 11);

    expect(ours.usedMs).toBeGreaterThan(fixed.usedMs);
  });
});
