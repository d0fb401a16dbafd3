import fc from 'fast-check';
import { newSeededRandom } from '@anvilpaddle/common';
import {
  newSlidingWindowLimiter,
  type GatewayVisibility,
  type SlidingWindowLimiter,
} from '../slidingWindowLimiter';

const WINDOW_MS = 5000;
const RATE = { rate: 20, burst: 20 };
/** Admissions that one window may hold. */
const ALLOWED = (RATE.rate * WINDOW_MS) / 1000 + RATE.burst;
/** What the users' bound adds: a tenth and 20 requests. */
const TOLERANCE = { share: 0.1, count: 20 };
const BOUND = ALLOWED * (1 + TOLERANCE.share) + TOLERANCE.count;
const TEAM = 'team';

const getSharing = (members: number, heard: number): GatewayVisibility => ({
  members,
  recentlySeen: heard,
  oldestUptimeMs: Infinity,
});

/** Most admissions in any window of the times. */
const getMost = (times: readonly number[]): number => {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  return sorted.reduce((most, time, index) => {
    while ((sorted[first] ?? time) <= time - WINDOW_MS) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
};

interface Plan {
  readonly gateways: number;
  /** Time between two exchanges, in milliseconds. */
  readonly exchangeMs: number;
  /** Requests a second of all callers, far over the limit. */
  readonly demand: number;
  readonly seed: number;
}

const STEP_MS = 10;
const DURATION_MS = 20_000;
/** Age of what a process had stored of its admissions when it ended. */
const STORED_AGE_MS = 400;

interface Node {
  readonly id: string;
  readonly limit: SlidingWindowLimiter;
}

const exchange = (nodes: readonly Node[], nowMs: number): void =>
  nodes.forEach((from) =>
    nodes
      .filter((to) => to !== from)
      .forEach((to) => to.limit.updatePeer(from.id, from.limit.getOwn(nowMs), nowMs)),
  );

/** New process in the place of another, which knows only what that one had stored. */
const getSuccessor = (old: Node, nowMs: number): Node => {
  const limit = newSlidingWindowLimiter(WINDOW_MS);
  limit.restore(old.limit.getAdmissions(nowMs - STORED_AGE_MS), STORED_AGE_MS, nowMs);
  return { id: `${old.id}+`, limit };
};

/** Gateways that exchange what they admitted while one after the other is replaced by a new process. */
const play = ({ gateways, exchangeMs, demand, seed }: Plan, restartEveryMs: number): number[] => {
  const random = newSeededRandom(seed);
  const nodes = Array.from({ length: gateways }, (_, index): Node => ({
    id: `g${index}`,
    limit: newSlidingWindowLimiter(WINDOW_MS),
  }));
  const sharing = getSharing(gateways, gateways);
  const admitted: number[] = [];
  let next = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    if (nowMs % exchangeMs < STEP_MS) exchange(nodes, nowMs);
    const old = nodes[next];
    if (nowMs > 0 && nowMs % restartEveryMs < STEP_MS && old !== undefined) {
      nodes[next] = getSuccessor(old, nowMs);
      next = (next + 1) % gateways;
    }
    for (let asked = 0; asked < (demand * STEP_MS) / 1000; asked += 1) {
      const node = nodes[Math.floor(random() * nodes.length)];
      if (node?.limit.take(TEAM, RATE, sharing, nowMs).admitted === true) admitted.push(nowMs);
    }
  }
  return admitted;
};

const plan = fc.record({
  gateways: fc.integer({ min: 1, max: 8 }),
  exchangeMs: fc.constantFrom(20, 50, 100),
  demand: fc.integer({ min: 50, max: 300 }),
  seed: fc.nat(),
});

describe('window limit', () => {
  it('stays within the bound over all gateways, also while they are replaced', () => {
    fc.assert(
      fc.property(plan, (drawn) => {
        expect(getMost(play(drawn, 3000))).toBeLessThanOrEqual(BOUND);
      }),
      { seed: 3, numRuns: 40 },
    );
  });

  it('gives a team nearly all of its limit when the gateways stay', () => {
    fc.assert(
      fc.property(plan, (drawn) => {
        const admitted = play(drawn, Infinity);
        const owed = (RATE.rate * 20_000) / 1000;

        expect(admitted.length).toBeGreaterThanOrEqual(owed * 0.9);
      }),
      { seed: 4, numRuns: 30 },
    );
  });

  it('agrees with a naive list of times for one gateway', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 120 }), { maxLength: 400 }), (gaps) => {
        const limit = newSlidingWindowLimiter(WINDOW_MS);
        const times: number[] = [];
        let nowMs = 0;
        gaps.forEach((gap) => {
          nowMs += gap;
          if (limit.take(TEAM, RATE, getSharing(1, 1), nowMs).admitted) times.push(nowMs);
        });

        expect(getMost(times)).toBeLessThanOrEqual(ALLOWED);
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  const fill = (limit: SlidingWindowLimiter, count: number, nowMs: number): number =>
    Array.from({ length: count }).filter(
      () => limit.take(TEAM, RATE, getSharing(1, 1), nowMs).admitted,
    ).length;

  it('counts what the store and a peer both tell only once after a restart', () => {
    const peer = newSlidingWindowLimiter(WINDOW_MS);
    fill(peer, 60, 1000);
    const restarted = newSlidingWindowLimiter(WINDOW_MS);
    restarted.restore(peer.getAdmissions(1000), 0, 1000);
    restarted.updatePeer('peer', peer.getOwn(1000), 1000);

    expect(fill(restarted, 200, 1000)).toBe(ALLOWED - 60);
  });

  it('leaves their part of the limit to gateways that are not heard', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, getSharing(4, 1), 0).admitted,
    );

    expect(admitted).toHaveLength(ALLOWED / 4);
  });

  it('gives all of the limit while one of many gateways is not heard', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS, TOLERANCE);
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, getSharing(11, 10), 0).admitted,
    );

    expect(admitted).toHaveLength(ALLOWED);
  });

  it('stays within the bound when the gateways fall into groups that do not hear each other', () => {
    const groups = fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 1, maxLength: 4 });
    fc.assert(
      fc.property(groups, fc.constantFrom(20, 50), fc.nat(), (sizes, exchangeMs, seed) => {
        const members = sizes.reduce((sum, size) => sum + size, 0);
        const random = newSeededRandom(seed);
        const nodes = sizes.map((size, group) =>
          Array.from({ length: size }, (_, index): Node => ({
            id: `g${group}-${index}`,
            limit: newSlidingWindowLimiter(WINDOW_MS, TOLERANCE),
          })),
        );
        const admitted: number[] = [];
        for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
          if (nowMs % exchangeMs < STEP_MS) nodes.forEach((group) => exchange(group, nowMs));
          nodes.forEach((group) => {
            const node = group[Math.floor(random() * group.length)];
            const sharing = getSharing(members, group.length);
            if (node?.limit.take(TEAM, RATE, sharing, nowMs).admitted === true) {
              admitted.push(nowMs);
            }
          });
        }

        expect(getMost(admitted)).toBeLessThanOrEqual(BOUND);
      }),
      { seed: 6, numRuns: 40 },
    );
  });

  it('admits only what the rate has earned while nothing is known of before the start', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    const sharing = { members: 1, recentlySeen: 1, oldestUptimeMs: 1000 };
    const admitted = Array.from({ length: 500 }).filter(
      () => limit.take(TEAM, RATE, sharing, 1000).admitted,
    );

    expect(admitted.length).toBeLessThanOrEqual(RATE.rate * 1.25);
  });

  it('tells a time to come back at which there is room', () => {
    const limit = newSlidingWindowLimiter(WINDOW_MS);
    fill(limit, ALLOWED, 100);
    const refusal = limit.take(TEAM, RATE, getSharing(1, 1), 300);

    expect(refusal.admitted).toBe(false);
    const retryAfterMs = refusal.admitted ? 0 : refusal.retryAfterMs;
    expect(limit.take(TEAM, RATE, getSharing(1, 1), 300 + retryAfterMs).admitted).toBe(true);
  });
});
