/** Properties of the sliding window limiter over several gateways, restarts and partitions. */
import fc from 'fast-check';
import { newSeededRandom } from '@anvilpaddle/common';
import {
  newSlidingWindowLimiter,
  type GatewayVisibility,
  type SlidingWindowLimiter,
} from '../slidingWindowLimiter';

const WINDOW_MS = 5000;
const RATE = { rate: 20, burst: 20 };
/** Admissions that the limit allows in one window. */
const ALLOWED = (RATE.rate * WINDOW_MS) / 1000 + RATE.burst;
/** Tolerance beyond the limit: a tenth of it and 20 requests. */
const TOLERANCE = { share: 0.1, count: 20 };
const BOUND = ALLOWED * (1 + TOLERANCE.share) + TOLERANCE.count;
const TEAM = 'team';

const newVisibility = (members: number, recentlySeen: number): GatewayVisibility => ({
  members,
  recentlySeen,
  oldestUptimeMs: Infinity,
});

/** Largest number of admission times in any one window. */
const getMaxInWindow = (times: readonly number[]): number => {
  const sorted = [...times].sort((a, b) => a - b);
  let firstInWindow = 0;
  return sorted.reduce((max, time, index) => {
    while ((sorted[firstInWindow] ?? time) <= time - WINDOW_MS) firstInWindow += 1;
    return Math.max(max, index - firstInWindow + 1);
  }, 0);
};

interface Scenario {
  readonly gateways: number;
  /** Time between two exchanges of reports, in milliseconds. */
  readonly exchangeMs: number;
  /** Requests per second of all callers together, far above the limit. */
  readonly demand: number;
  readonly seed: number;
}

const STEP_MS = 10;
const DURATION_MS = 20_000;
/** Age of the admissions that a process has stored when it ends. */
const STORED_AGE_MS = 400;

interface Gateway {
  readonly id: string;
  readonly limit: SlidingWindowLimiter;
}

const exchange = (gateways: readonly Gateway[], nowMs: number): void =>
  gateways.forEach((from) =>
    gateways
      .filter((to) => to !== from)
      .forEach((to) => to.limit.updatePeer(from.id, from.limit.getOwn(nowMs), nowMs)),
  );

/** New process that replaces another and knows only the admissions that the other has stored. */
const newReplacement = (old: Gateway, nowMs: number): Gateway => {
  const limit = newSlidingWindowLimiter(WINDOW_MS);
  limit.restore(old.limit.getAdmissions(nowMs - STORED_AGE_MS), STORED_AGE_MS, nowMs);
  return { id: `${old.id}+`, limit };
};

/**
 * Simulates gateways that exchange reports while they are replaced by new processes, one at a time.
 * Returns the times of all admissions.
 */
const simulate = (
  { gateways, exchangeMs, demand, seed }: Scenario,
  replaceEveryMs: number,
): number[] => {
  const random = newSeededRandom(seed);
  const fleet = Array.from({ length: gateways }, (_, index): Gateway => ({
    id: `g${index}`,
    limit: newSlidingWindowLimiter(WINDOW_MS),
  }));
  const visibility = newVisibility(gateways, gateways);
  const admitted: number[] = [];
  let nextReplaced = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    if (nowMs % exchangeMs < STEP_MS) exchange(fleet, nowMs);
    const old = fleet[nextReplaced];
    if (nowMs > 0 && nowMs % replaceEveryMs < STEP_MS && old !== undefined) {
      fleet[nextReplaced] = newReplacement(old, nowMs);
      nextReplaced = (nextReplaced + 1) % gateways;
    }
    for (let asked = 0; asked < (demand * STEP_MS) / 1000; asked += 1) {
      const chosen = fleet[Math.floor(random() * fleet.length)];
      if (chosen?.limit.take(TEAM, RATE, visibility, nowMs).admitted === true) admitted.push(nowMs);
    }
  }
  return admitted;
};

interface KillScenario extends Scenario {
  readonly storeMs: number;
  /** Time from the end of the gateways to their start. */
  readonly gapMs: number;
  readonly killsMs: readonly number[];
}

/** Admissions on their way to the store. */
interface StoreWrite {
  readonly admissions: ReturnType<SlidingWindowLimiter['getAdmissions']>;
  readonly atMs: number;
  readonly onStored: () => void;
}

/**
 * Simulates gateways that are all killed at some moments. The first one stores what the fleet has admitted as
 * soon as it is told to; what is on its way to the store is lost with it.
 */
const simulateKills = ({
  gateways,
  exchangeMs,
  demand,
  storeMs,
  gapMs,
  killsMs,
  seed,
}: KillScenario): number[] => {
  const random = newSeededRandom(seed);
  const admitted: number[] = [];
  const startedMs: number[] = [];
  let stored: StoreWrite | undefined;
  let life = 0;

  const startFleet = (nowMs: number): Gateway[] =>
    Array.from({ length: gateways }, (_, index) => {
      const limit = newSlidingWindowLimiter(WINDOW_MS, TOLERANCE);
      if (stored !== undefined) limit.restore(stored.admissions, nowMs - stored.atMs, nowMs);
      return { id: `g${index}.${life}`, limit };
    });

  let fleet = startFleet(0);
  let onItsWay: StoreWrite | undefined;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const killMs = killsMs.find((atMs) => nowMs >= atMs && nowMs < atMs + Math.max(gapMs, STEP_MS));
    if (killMs !== undefined) {
      fleet = [];
      onItsWay = undefined;
    } else if (fleet.length === 0) {
      life += 1;
      fleet = startFleet(nowMs);
      startedMs.push(nowMs);
    }
    if (nowMs % exchangeMs < STEP_MS) exchange(fleet, nowMs);
    if (onItsWay !== undefined && nowMs - onItsWay.atMs >= storeMs) {
      stored = onItsWay;
      onItsWay.onStored();
      onItsWay = undefined;
    }
    const [writer] = fleet;
    if (writer !== undefined && onItsWay === undefined) {
      const { limit } = writer;
      if (nowMs % 1000 < STEP_MS || limit.getUnstoredTeams(nowMs).length > 0) {
        const mark = limit.getMark();
        const onStored = (): void => limit.setStored(mark);
        onItsWay = { admissions: limit.getAdmissions(nowMs), atMs: nowMs, onStored };
      }
    }
    const restarts = startedMs.filter((atMs) => nowMs - atMs < WINDOW_MS).length;
    const visibility = { ...newVisibility(gateways, gateways), restarts };
    for (let asked = 0; asked < (demand * STEP_MS) / 1000; asked += 1) {
      const chosen = fleet[Math.floor(random() * fleet.length)];
      if (chosen?.limit.take(TEAM, RATE, visibility, nowMs).admitted === true) admitted.push(nowMs);
    }
  }
  return admitted;
};

const scenarioArbitrary = fc.record({
  gateways: fc.integer({ min: 1, max: 8 }),
  exchangeMs: fc.constantFrom(20, 50, 100),
  demand: fc.integer({ min: 50, max: 300 }),
  seed: fc.nat(),
});

describe('sliding window limiter', () => {
  it('keeps the admissions of all gateways within the bound while gateways are replaced', () => {
    fc.assert(
      fc.property(scenarioArbitrary, (scenario) => {
        expect(getMaxInWindow(simulate(scenario, 3000))).toBeLessThanOrEqual(BOUND);
      }),
      { seed: 3, numRuns: 40 },
    );
  });

  it('admits nearly the whole limit of a team while no gateway is replaced', () => {
    fc.assert(
      fc.property(scenarioArbitrary, (scenario) => {
        const admitted = simulate(scenario, Infinity);
        const entitled = (RATE.rate * 20_000) / 1000;

        expect(admitted.length).toBeGreaterThanOrEqual(entitled * 0.9);
      }),
      { seed: 4, numRuns: 30 },
    );
  });

  it('never admits more than the limit in any window with a single gateway', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 120 }), { maxLength: 400 }), (gaps) => {
        const limit = newSlidingWindowLimiter(WINDOW_MS);
        const times: number[] = [];
        let nowMs = 0;
        gaps.forEach((gap) => {
          nowMs += gap;
          if (limit.take(TEAM, RATE, newVisibility(1, 1), nowMs).admitted) times.push(nowMs);
        });

        expect(getMaxInWindow(times)).toBeLessThanOrEqual(ALLOWED);
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  // Guards against review/3: admissions after the last stored count came back as free.
  it('keeps the admissions within the bound while all gateways are killed again and again', () => {
    const killArbitrary = fc.record({
      gateways: fc.constantFrom(1, 3, 8, 20),
      exchangeMs: fc.constantFrom(20, 50, 100),
      demand: fc.integer({ min: 20, max: 150 }),
      /** Time that the store takes to hold what a gateway writes. */
      storeMs: fc.constantFrom(10, 20, 50),
      gapMs: fc.constantFrom(0, 300, 1000),
      killsMs: fc.uniqueArray(fc.integer({ min: 100, max: 9000 }), {
        minLength: 1,
        maxLength: 4,
        comparator: (a, b) => Math.abs(a - b) < 1500,
      }),
      seed: fc.nat(),
    });
    fc.assert(
      fc.property(killArbitrary, (scenario) => {
        expect(getMaxInWindow(simulateKills(scenario))).toBeLessThanOrEqual(BOUND);
      }),
      { seed: 6, numRuns: 30 },
    );
  });

  it.each([
    [0, 120],
    [1, 105],
    [3, 76],
  ])('after %d restarts of all gateways in the window, admits %d of 120', (restarts, expected) => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    const visibility = { ...newVisibility(1, 1), restarts };
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, visibility, 0).admitted,
    );

    expect(admitted).toHaveLength(expected);
  });

  const countAdmitted = (limit: SlidingWindowLimiter, attempts: number, nowMs: number): number =>
    Array.from({ length: attempts }).filter(
      () => limit.take(TEAM, RATE, newVisibility(1, 1), nowMs).admitted,
    ).length;

  it('counts admissions once that both the store and a peer report after a restart', () => {
    const peer = newSlidingWindowLimiter(WINDOW_MS);
    countAdmitted(peer, 60, 1000);
    const restarted = newSlidingWindowLimiter(WINDOW_MS);
    restarted.restore(peer.getAdmissions(1000), 0, 1000);
    restarted.updatePeer('peer', peer.getOwn(1000), 1000);

    expect(countAdmitted(restarted, 200, 1000)).toBe(ALLOWED - 60);
  });

  it('reserves a fraction of the limit for gateways that were not seen recently', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, newVisibility(4, 1), 0).admitted,
    );

    expect(admitted).toHaveLength(ALLOWED / 4);
  });

  it('admits the whole limit while one of many gateways was not seen recently', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS, TOLERANCE);
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, newVisibility(11, 10), 0).admitted,
    );

    expect(admitted).toHaveLength(ALLOWED);
  });

  it('keeps the admissions within the bound when a partition splits the gateways into groups', () => {
    const groupSizes = fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 1, maxLength: 4 });
    fc.assert(
      fc.property(groupSizes, fc.constantFrom(20, 50), fc.nat(), (sizes, exchangeMs, seed) => {
        const members = sizes.reduce((sum, size) => sum + size, 0);
        const random = newSeededRandom(seed);
        const groups = sizes.map((size, group) =>
          Array.from({ length: size }, (_, index): Gateway => ({
            id: `g${group}-${index}`,
            limit: newSlidingWindowLimiter(WINDOW_MS, TOLERANCE),
          })),
        );
        const admitted: number[] = [];
        for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
          if (nowMs % exchangeMs < STEP_MS) groups.forEach((group) => exchange(group, nowMs));
          groups.forEach((group) => {
            const gateway = group[Math.floor(random() * group.length)];
            const visibility = newVisibility(members, group.length);
            if (gateway?.limit.take(TEAM, RATE, visibility, nowMs).admitted === true) {
              admitted.push(nowMs);
            }
          });
        }

        expect(getMaxInWindow(admitted)).toBeLessThanOrEqual(BOUND);
      }),
      { seed: 6, numRuns: 40 },
    );
  });

  it('admits only what the rate has earned since the start while earlier admissions are unknown', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    const visibility = { members: 1, recentlySeen: 1, oldestUptimeMs: 1000 };
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, visibility, 1000).admitted,
    );

    expect(admitted.length).toBeLessThanOrEqual(RATE.rate * 1.25);
  });

  it('returns a retry time at which a request is admitted', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    countAdmitted(limit, ALLOWED, 100);
    const refusal = limit.take(TEAM, RATE, newVisibility(1, 1), 300);

    expect(refusal.admitted).toBe(false);
    const retryAfterMs = refusal.admitted ? 0 : refusal.retryAfterMs;
    expect(limit.take(TEAM, RATE, newVisibility(1, 1), 300 + retryAfterMs).admitted).toBe(true);
  });
});
