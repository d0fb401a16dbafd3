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
  spareTokens: Infinity,
  isCold: false,
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

/** An upstream and the items that run at it or wait for a slot of it. */
const scenario = fc.record({
  slots: fc.integer({ min: 1, max: 16 }),
  online: fc.nat(20),
  items: itemsByGateway,
  nowMs: fc.nat(100),
});

type OwnedItem = ItemTiming & { readonly gateway: number };

/** Items that all gateways choose, each among its own items with those of the others known. */
const chooseForAllGateways = (
  items: readonly OwnedItem[],
  getChoice: (own: readonly OwnedItem[], peers: readonly OwnedItem[]) => readonly OwnedItem[],
): OwnedItem[] =>
  [0, 1, 2, 3, 4].flatMap((self) =>
    getChoice(
      items.filter(({ gateway }) => gateway === self),
      items.filter(({ gateway }) => gateway !== self),
    ),
  );

const sortByUrgency = (items: readonly OwnedItem[], nowMs: number): OwnedItem[] =>
  [...items].sort((a, b) => compareUrgency(a, b, nowMs));

describe('plan for batch items', () => {
  it('preempts the least urgent items of all gateways, exactly as many as online requests need', () => {
    fc.assert(
      fc.property(scenario, ({ slots, online, items, nowMs }) => {
        const candidate = newCandidate(slots, online, items.length);
        const preempted = chooseForAllGateways(items, (own, peers) =>
          getItemsToPreempt({ own, peers }, candidate, nowMs),
        );
        const needed = Math.min(items.length, Math.max(0, online + items.length - slots));
        const leastUrgent = sortByUrgency(items, nowMs).slice(items.length - needed);

        expect(sortByUrgency(preempted, nowMs)).toEqual(leastUrgent);
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  it('starts the most urgent items of all gateways, as many as there are spare slots', () => {
    fc.assert(
      fc.property(scenario, ({ slots, online, items, nowMs }) => {
        const candidate = newCandidate(slots, online, 0);
        const started = chooseForAllGateways(items, (own, peers) =>
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

  it('starts an item only if a slot is spare, and at the upstream with the most spare slots', () => {
    const candidate = fc
      .tuple(fc.integer({ min: 1, max: 16 }), fc.nat(20), fc.nat(8), fc.boolean())
      .map(([slots, online, batch, isHealthy]): Omit<BatchCandidate, 'id'> => ({
        slots,
        load: { online, batch },
        weight: isHealthy ? 1 : 0.5,
        spareTokens: Infinity,
        isCold: false,
      }));
    fc.assert(
      fc.property(fc.array(candidate, { maxLength: 8 }), fc.nat(), (drawn, seed) => {
        const candidates = drawn.map((entry, index) => ({ ...entry, id: `u${index}` }));
        const upstream = getUpstreamForItem(candidates, newSeededRandom(seed));
        const mostSpareSlots = Math.max(0, ...candidates.map(getSpareSlots));
        const chosen = candidates.find(({ id }) => id === upstream);

        expect(chosen === undefined ? 0 : getSpareSlots(chosen)).toBe(mostSpareSlots);
      }),
      { seed: 2, numRuns: 500 },
    );
  });

  it('starts an item where a limit leaves a token and a slot is free, before other upstreams', () => {
    const pick = (spareTokens: number, batch: number): string | undefined =>
      getUpstreamForItem(
        [
          { ...newCandidate(8, 0, 0), id: 'unlimited' },
          { ...newCandidate(8, 2, batch), id: 'limited', spareTokens },
        ],
        () => 0.5,
      );

    expect([pick(1, 0), pick(0, 0), pick(1, 6)]).toEqual(['limited', 'unlimited', 'unlimited']);
  });

  it('starts an item at a cold upstream only if no warm one has a free slot, and with a token', () => {
    const pick = (online: number, spareTokens: number): string | undefined =>
      getUpstreamForItem(
        [
          { ...newCandidate(8, online, 0), id: 'warm' },
          { ...newCandidate(8, 0, 0), id: 'cold', isCold: true, spareTokens },
        ],
        () => 0.5,
      );

    expect([pick(7, 1), pick(8, 1), pick(8, 0)]).toEqual(['warm', 'cold', undefined]);
  });

  it('keeps no slots for online requests that limits keep away', () => {
    const limited = { ...newCandidate(8, 4, 0), spareTokens: 1 };

    expect(getReservedSlots([limited, newCandidate(8, 6, 0)])).toBe(
      getReservedSlots([newCandidate(8, 6, 0)]),
    );
  });
});

const RUN_MS = 5000;
const TICK_MS = 100;
const DUE_MS = 18_000;
const REPLAY_MS = 60_000;
const GATEWAYS = 4;
/** Fraction of the jobs at the first gateway: the load balancer spreads connections unevenly. */
const FIRST_GATEWAY_FRACTION = 0.5;

/** Load of the association's deployment: a peak of 2.8 s in each 6.6 s leaves almost no slots. */
const getOnline = (nowMs: number): number => (nowMs % 6600 < 3800 ? 18 : 45);
const SLOTS = 48;

interface Item extends ItemTiming {
  readonly gateway: number;
  readonly isRunning: boolean;
}

/** Chooses which items of all gateways start and which are preempted. */
interface Policy {
  getStarts(waiting: readonly Item[], spare: number, nowMs: number): Item[];
  getPreemptions(running: readonly Item[], excess: number, nowMs: number): Item[];
}

const getByGateway = (items: readonly Item[], self: number) => ({
  own: items.filter(({ gateway }) => gateway === self),
  peers: items.filter(({ gateway }) => gateway !== self),
});

const GATEWAY_INDEXES = Array.from({ length: GATEWAYS }, (_, index) => index);

/** Policy under test: each gateway ranks the items of all gateways. */
const ALL_ITEMS: Policy = {
  getStarts: (waiting, spare, nowMs) => {
    const candidates = [newCandidate(SLOTS, SLOTS - spare, 0)];
    return GATEWAY_INDEXES.flatMap((self) =>
      getItemsToStart(getByGateway(waiting, self), candidates, nowMs),
    );
  },
  getPreemptions: (running, excess, nowMs) => {
    const candidate = newCandidate(SLOTS, SLOTS + excess - running.length, running.length);
    return GATEWAY_INDEXES.flatMap((self) =>
      getItemsToPreempt(getByGateway(running, self), candidate, nowMs),
    );
  },
};

/** Naive policy: each gateway ranks only its own items; the first gateway's are preempted first. */
const OWN_ITEMS_ONLY: Policy = {
  getStarts: (waiting, spare, nowMs) => {
    const reserved = getReservedSlots([newCandidate(SLOTS, SLOTS - spare, 0)]);
    const startable = Math.max(0, spare - reserved);
    return GATEWAY_INDEXES.flatMap((self) =>
      getByGateway(waiting, self)
        .own.sort((a, b) => compareUrgency(a, b, nowMs))
        .slice(0, Math.ceil(startable / GATEWAYS)),
    ).slice(0, startable);
  },
  getPreemptions: (running, excess, nowMs) =>
    GATEWAY_INDEXES.flatMap((self) =>
      getByGateway(running, self).own.sort((a, b) => compareUrgency(b, a, nowMs)),
    ).slice(0, excess),
};

/**
 * Submits jobs of ten items, about as many as the slots between the peaks can run; returns the
 * fraction of items that finish by their due time.
 */
const replay = (policy: Policy, seed: number): number => {
  const random = newSeededRandom(seed);
  let items: Item[] = [];
  let submitted = 0;
  let finishedInTime = 0;
  for (let nowMs = 0; nowMs < REPLAY_MS; nowMs += TICK_MS) {
    if (random() < 0.032) {
      const gateway =
        random() < FIRST_GATEWAY_FRACTION ? 0 : 1 + Math.floor(random() * (GATEWAYS - 1));
      const job = Array.from({ length: 10 }, () => {
        const remainingMs = RUN_MS * (0.7 + 0.6 * random());
        return { gateway, dueMs: nowMs + DUE_MS, remainingMs, isRunning: false };
      });
      submitted += job.length;
      items.push(...job);
    }
    const running = items.filter(({ isRunning }) => isRunning);
    const spare = SLOTS - getOnline(nowMs) - running.length;
    const preemptions = new Set(policy.getPreemptions(running, Math.max(0, -spare), nowMs));
    const waiting = items.filter((item) => !item.isRunning || preemptions.has(item));
    const starts = new Set(policy.getStarts(waiting, Math.max(0, spare), nowMs));
    const next = items.map((item): Item => {
      const isRunning = starts.has(item) || (item.isRunning && !preemptions.has(item));
      return { ...item, isRunning, remainingMs: item.remainingMs - (isRunning ? TICK_MS : 0) };
    });
    const done = next.filter(({ remainingMs }) => remainingMs <= 0);
    finishedInTime += done.filter(({ dueMs }) => nowMs <= dueMs).length;
    items = next.filter(({ remainingMs }) => remainingMs > 0);
  }
  return finishedInTime / submitted;
};

const getMean = (policy: Policy): number => {
  const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
  return seeds.reduce((sum, seed) => sum + replay(policy, seed), 0) / seeds.length;
};

describe('plan for batch items with few slots', () => {
  it('finishes more items in time than gateways that rank only their own items', () => {
    const allItems = getMean(ALL_ITEMS);
    const ownItemsOnly = getMean(OWN_ITEMS_ONLY);

    expect(allItems).toBeGreaterThan(ownItemsOnly);
  });
});

/**
 * Replays online requests that start and end at random around a mean number; returns the number of
 * items that are preempted within 200 ms of their start, and the slot time that items use.
 */
const replayTurnover = (getReserve: (online: number) => number, mean: number, seed: number) => {
  const random = newSeededRandom(seed);
  const stepMs = 10;
  const serviceMs = 800;
  let online = mean;
  let itemStartsMs: number[] = [];
  let preemptedEarly = 0;
  let usedMs = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += stepMs) {
    const ended = Array.from({ length: online }).filter(() => random() < stepMs / serviceMs).length;
    const arrived = Array.from({ length: mean }).filter(() => random() < stepMs / serviceMs).length;
    online += arrived - ended;
    const excess = Math.max(0, online + itemStartsMs.length - SLOTS);
    const at = nowMs;
    preemptedEarly += itemStartsMs
      .slice(itemStartsMs.length - excess)
      .filter((startedMs) => at - startedMs < 200).length;
    itemStartsMs = itemStartsMs.slice(0, Math.max(0, itemStartsMs.length - excess));
    const spare = SLOTS - online - itemStartsMs.length - getReserve(online);
    itemStartsMs.push(...new Array<number>(Math.max(0, spare)).fill(nowMs));
    usedMs += itemStartsMs.length * stepMs;
  }
  return { preemptedEarly, usedMs };
};

describe('reserved slots', () => {
  const getReserveByLoad = (online: number): number =>
    getReservedSlots([newCandidate(SLOTS, online, 0)]);
  const sumReplays = (getReserve: (online: number) => number, mean: number) =>
    Array.from({ length: 5 }, (_, index) => replayTurnover(getReserve, mean, index + 1)).reduce(
      (a, b) => ({
        preemptedEarly: a.preemptedEarly + b.preemptedEarly,
        usedMs: a.usedMs + b.usedMs,
      }),
    );

  it('avoid most starts that would be preempted at once, near the peak', () => {
    const withoutReserve = sumReplays(() => 0, 42);
    const withReserve = sumReplays(getReserveByLoad, 42);

    expect(withReserve.preemptedEarly).toBeLessThan(withoutReserve.preemptedEarly / 2);
  });

  it('leave more slot time to items at low load than one reserved slot per upstream', () => {
    const withFixedReserve = sumReplays(() => 6, 11);
    const withReserve = sumReplays(getReserveByLoad, 11);

    expect(withReserve.usedMs).toBeGreaterThan(withFixedReserve.usedMs);
  });
});
