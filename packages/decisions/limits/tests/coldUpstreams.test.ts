import fc from 'fast-check';
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import { getPlacement, type Candidate } from '../../placement/placement';
import { newColdUpstreams, type ColdRecord, type ColdUpstreams } from '../coldUpstreams';
import { URGENCY } from '../sharedBucket';
import { DEFAULT_COLD_BOUND, newUpstreamLimits, type UpstreamLimits } from '../upstreamLimits';

const SERVICE = 's';
const DOMAIN = 'd';
const COLD_START_MS = 3000;
const RATE = 29;
const WINDOW_MS = 1000;
/** Time for which callers press in a replay; the upstreams are cold for all of it. */
const DURATION_MS = 6000;
/** Time within which all gateways learn that an upstream is cold. */
const LEARNED_MS = 250;
/** Time after which gateways notice that a peer is silent. */
const NOTICED_MS = 700;
const IDLE_SEND_INTERVAL_MS = 250;
const REVISION = 5;

/** What happens to the first gateway. */
const TROUBLE = { none: 'none', restart: 'restart', cut: 'cut', freeze: 'freeze' } as const;
const TROUBLE_START_MS = 2000;
const TROUBLE_END_MS = 4000;

/** Gateways whose callers press on upstreams that return from an evacuation together. */
interface Scenario {
  readonly gateways: number;
  readonly upstreams: number;
  readonly rate: number;
  /** Requests per second of all callers, as a multiple of what the cold upstreams take. */
  readonly demand: number;
  readonly sendIntervalMs: number;
  readonly delayMs: number;
  /** Fraction of the datagrams that are lost; with 1, no gateway sees another. */
  readonly loss: number;
  /** Maximum time that a request needs to arrive. */
  readonly arrivalMs: number;
  readonly trouble: (typeof TROUBLE)[keyof typeof TROUBLE];
  readonly seed: number;
}

interface Gateway {
  readonly id: string;
  readonly limits: UpstreamLimits;
  readonly cold: ColdUpstreams;
  readonly learnsMs: number;
  hasLearned: boolean;
  lastSentMs: number;
  isDirty: boolean;
}

const newRecord = (changes: Partial<ColdRecord> = {}): ColdRecord => ({
  id: 'u0',
  incarnation: 'u0/1',
  service: SERVICE,
  failureDomain: DOMAIN,
  coldLeftMs: undefined,
  revision: 1,
  ...changes,
});

const newServices = (coldStartMs: number, requestsPerSecond: number) =>
  new Map([[SERVICE, { coldStartMs, requestsPerSecond }]]);

const newGateway = (
  id: string,
  { gateways, upstreams, rate }: Scenario,
  learnsMs: number,
  getSeen: () => number,
  random: Random,
): Gateway => {
  const limits = newUpstreamLimits({
    getVisibility: () => ({ members: gateways, recentlySeen: getSeen() }),
    random,
  });
  const cold = newColdUpstreams({
    onCold: ({ incarnation, untilMs, requestsPerSecond = Infinity }) =>
      limits.setColdRate(incarnation, { requestsPerSecond, untilMs }, learnsMs),
    onWarm: () => undefined,
  });
  cold.setServices(newServices(2 * DURATION_MS, rate), 0);
  Array.from({ length: upstreams }, (_, index) =>
    cold.applyRecord(newRecord({ id: `u${index}`, incarnation: `u${index}/1` }), 0),
  );
  return { id, limits, cold, learnsMs, hasLearned: false, lastSentMs: 0, isDirty: false };
};

/** Times at which requests arrive at each upstream, after the end of the evacuation at 0. */
const replay = (scenario: Scenario): Map<string, number[]> => {
  const { gateways: count, upstreams, rate, demand, sendIntervalMs, delayMs, loss } = scenario;
  const random = newSeededRandom(scenario.seed);
  const arrivals = new Map<string, number[]>();
  let nowMs = 0;
  const isTroubled = (noticeMs: number): boolean =>
    (scenario.trouble === TROUBLE.cut || scenario.trouble === TROUBLE.freeze) &&
    nowMs >= TROUBLE_START_MS + noticeMs &&
    nowMs < TROUBLE_END_MS + noticeMs;
  const getSeen = (index: number): number => {
    if (loss === 1) return nowMs < NOTICED_MS ? count : 1;
    if (!isTroubled(NOTICED_MS)) return count;
    return index === 0 ? 1 : count - 1;
  };
  const start = (id: string, index: number): Gateway =>
    newGateway(id, scenario, nowMs + random() * LEARNED_MS, () => getSeen(index), random);
  const gateways = Array.from({ length: count }, (_, index) => start(`g${index}`, index));
  let sendings: { atMs: number; from: string; to: number; reports: unknown }[] = [];

  const request = (): void => {
    const chosen = Math.floor(random() * count);
    const isFrozen = chosen === 0 && scenario.trouble === TROUBLE.freeze && isTroubled(0);
    const gateway = gateways[isFrozen ? 1 : chosen];
    if (gateway?.hasLearned !== true) return;
    const { limits, cold } = gateway;
    const candidates = Array.from({ length: upstreams }, (_, index): Candidate => {
      const incarnation = `u${index}/1`;
      return {
        id: incarnation,
        slots: 64,
        load: { online: 0, batch: 0 },
        weight: 1,
        isSameFailureDomain: false,
        upstreamMeanMs: 100,
        serviceMeanMs: 100,
        limitWaitMs: limits.getWaitMs(incarnation, URGENCY.online, nowMs),
        isCold: cold.isCold(incarnation, nowMs),
      };
    });
    const timing = { objectiveLeftMs: 300, timeLeftMs: 4000 };
    const placement = getPlacement(candidates, timing, random);
    if (placement.kind === 'refuse') return;
    limits.recordSend(placement.upstream, nowMs);
    gateway.isDirty = true;
    const atMs = nowMs + random() * scenario.arrivalMs;
    arrivals.set(placement.upstream, [...(arrivals.get(placement.upstream) ?? []), atMs]);
  };

  const gossip = (gateway: Gateway, index: number): void => {
    const silentMs = nowMs - gateway.lastSentMs;
    if (silentMs < sendIntervalMs || (index === 0 && isTroubled(0))) return;
    if (!gateway.isDirty && silentMs < IDLE_SEND_INTERVAL_MS) return;
    const reports = gateway.limits.getReports(nowMs);
    gateways.forEach((_, to) => {
      if (to === index || random() < loss || (to === 0 && isTroubled(0))) return;
      sendings.push({ atMs: nowMs + delayMs * (0.5 + random()), from: gateway.id, to, reports });
    });
    Object.assign(gateway, { lastSentMs: nowMs, isDirty: false });
  };

  const deliver = (): void => {
    const due = sendings.filter(({ atMs }) => atMs <= nowMs);
    sendings = sendings.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ from, to, reports }) =>
      gateways[to]?.limits.updatePeer(
        from,
        reports as ReturnType<UpstreamLimits['getReports']>,
        nowMs,
      ),
    );
  };

  const learn = (gateway: Gateway): void => {
    if (gateway.hasLearned || nowMs < gateway.learnsMs) return;
    Object.assign(gateway, { hasLearned: true });
    gateway.cold.applyEvacuationEnd(DOMAIN, REVISION, gateway.learnsMs);
  };

  let waiting = 0;
  for (; nowMs < DURATION_MS; nowMs += 1) {
    if (nowMs === TROUBLE_START_MS && scenario.trouble === TROUBLE.restart) {
      gateways[0] = start('g0-new', 0);
    }
    gateways.forEach(learn);
    deliver();
    waiting += (demand * rate * upstreams) / 1000;
    for (; waiting >= 1; waiting -= 1) request();
    gateways.forEach(gossip);
  }
  return arrivals;
};

const getMaxInWindow = (arrivalsMs: readonly number[]): number => {
  const sorted = [...arrivalsMs].sort((a, b) => a - b);
  let first = 0;
  return sorted.reduce((max, endMs, index) => {
    while ((sorted[first] ?? endMs) <= endMs - WINDOW_MS) first += 1;
    return Math.max(max, index - first + 1);
  }, 0);
};

const USUAL: Scenario = {
  gateways: 38,
  upstreams: 1,
  rate: RATE,
  demand: 3,
  sendIntervalMs: 95,
  delayMs: 60,
  loss: 0.02,
  arrivalMs: 20,
  trouble: TROUBLE.none,
  seed: 1,
};

const scenarios = fc.record({
  gateways: fc.constantFrom(1, 2, 8, 20, 38),
  upstreams: fc.constant(1),
  rate: fc.constantFrom(RATE, 12, 100),
  demand: fc.constantFrom(1, 3, 10),
  sendIntervalMs: fc.constantFrom(25, 95, 250),
  delayMs: fc.constantFrom(2, 60, 250),
  loss: fc.constantFrom(0, 0.02, 0.2, 1),
  arrivalMs: fc.constantFrom(0, 20, 250),
  trouble: fc.constantFrom(...Object.values(TROUBLE)),
  seed: fc.nat(),
});

const getAllowed = (rate: number): number =>
  rate * (1 + DEFAULT_COLD_BOUND.tolerance.share) + DEFAULT_COLD_BOUND.tolerance.count;

describe('what cold upstreams get', () => {
  // Guards against gateways that all take the same tokens on reports which are up to 250 ms old.
  it('is never more than a window may hold, from all gateways together', () => {
    fc.assert(
      fc.property(scenarios, (scenario) => {
        const arrivals = replay(scenario).get('u0/1') ?? [];

        expect(getMaxInWindow(arrivals)).toBeLessThanOrEqual(getAllowed(scenario.rate));
      }),
      { seed: 11, numRuns: 60 },
    );
  });

  it.each([8, 38])('is most of what they take, if %d gateways press', (gateways) => {
    const arrivals = replay({ ...USUAL, gateways }).get('u0/1') ?? [];
    const perSecond = arrivals.length / (DURATION_MS / 1000);

    expect(perSecond).toBeGreaterThan(0.7 * RATE);
    expect(perSecond).toBeLessThanOrEqual(1.1 * RATE);
  });

  it.each([8, 38])(
    'is within the bound if a domain returns to %d gateways at peak load',
    (gateways) => {
      const arrivals = replay({ ...USUAL, gateways, upstreams: 11, demand: 1.5 });
      const peaks = [...arrivals.values()].map(getMaxInWindow);

      expect(peaks).toHaveLength(11);
      expect(Math.max(...peaks)).toBeLessThanOrEqual(getAllowed(RATE));
    },
  );
});

const newCold = (coldStartMs = COLD_START_MS, requestsPerSecond = RATE) => {
  const changes: string[] = [];
  const cold = newColdUpstreams({
    onCold: ({ incarnation, untilMs }) => changes.push(`${incarnation} cold until ${untilMs}`),
    onWarm: (incarnation) => changes.push(`${incarnation} warm`),
  });
  cold.setServices(newServices(coldStartMs, requestsPerSecond), 0);
  const complete = (nowMs: number) => cold.completeRead(new Set(['u0/1', 'u0/2']), nowMs);
  return { cold, changes, complete };
};

describe('an upstream', () => {
  it('is cold from its record on for the time that it names, or until a newer one names another', () => {
    const { cold, changes, complete } = newCold();
    cold.applyRecord(newRecord({ coldLeftMs: 2500, revision: 2 }), 100);
    // A full read returns the same record again.
    cold.applyRecord(newRecord({ coldLeftMs: 2500, revision: 2 }), 1000);
    cold.applyRecord(newRecord({ coldLeftMs: 1300, revision: 3 }), 1200);
    const states = [cold.isCold('u0/1', 2499), cold.isCold('u0/1', 2500)];
    complete(2600);
    cold.applyRecord(newRecord({ coldLeftMs: 3000, revision: 4 }), 5000);
    cold.applyRecord(newRecord({ revision: 5 }), 6000);

    expect(states).toEqual([true, false]);
    expect(changes).toEqual([
      'u0/1 cold until 2600',
      'u0/1 cold until 2500',
      'u0/1 warm',
      'u0/1 cold until 8000',
      'u0/1 warm',
    ]);
  });

  it('that has started after the first read is cold from its first record on', () => {
    const { cold, complete } = newCold();
    cold.applyRecord(newRecord(), 0);
    complete(0);
    cold.applyRecord(newRecord({ incarnation: 'u0/2', revision: 2 }), 1000);
    const atMs = (nowMs: number) => [cold.isCold('u0/1', nowMs), cold.isCold('u0/2', nowMs)];
    const states = [atMs(1000), atMs(1000 + COLD_START_MS)];

    expect(states).toEqual([
      [false, true],
      [false, false],
    ]);
  });

  it('is cold after the end of an evacuation, until a record that was written after that', () => {
    const { cold } = newCold();
    cold.applyRecord(newRecord({ revision: 2 }), 0);
    cold.applyRecord(newRecord({ id: 'u1', incarnation: 'u1/1', revision: REVISION + 1 }), 0);
    cold.applyEvacuationEnd(DOMAIN, REVISION, 1000);
    // A record that was written before the end arrives after it.
    cold.applyRecord(newRecord({ revision: REVISION - 1 }), 1100);
    const before = [cold.isCold('u0/1', 1100), cold.isCold('u1/1', 1100)];
    cold.applyRecord(newRecord({ coldLeftMs: 0, revision: REVISION + 2 }), 1200);

    expect(before).toEqual([true, false]);
    expect(cold.isCold('u0/1', 1200)).toBe(false);
    expect(cold.getColdCount(1200)).toBe(0);
  });

  it('is never cold, and has no limit, where its service names neither a time nor a rate', () => {
    const { cold, changes, complete } = newCold(0, 0);
    cold.applyRecord(newRecord({ coldLeftMs: 2500 }), 0);
    complete(0);
    cold.applyRecord(newRecord({ incarnation: 'u0/2', coldLeftMs: 2500, revision: 2 }), 10);
    cold.applyEvacuationEnd(DOMAIN, REVISION, 20);

    expect(changes).toEqual([]);
    expect(cold.getColdCount(20)).toBe(0);
  });

  it('that is cold and names a limit gets the lower of both, and keeps its limit once it is warm', () => {
    const newLimits = () =>
      newUpstreamLimits({
        getVisibility: () => ({ members: 1, recentlySeen: 1 }),
        random: () => 0,
      });
    const [limits, peer] = [newLimits(), newLimits()];
    limits.recordResponse('u0/1', 2, 0);
    peer.recordResponse('u0/1', 2, 0);
    peer.setColdRate('u0/1', { requestsPerSecond: RATE, untilMs: 5000 }, 0);
    limits.setColdRate('u0/1', { requestsPerSecond: 1, untilMs: 5000 }, 0);
    const rates = [limits.getRequestsPerSecond('u0/1', 0), peer.getRequestsPerSecond('u0/1', 0)];
    const waits = [
      limits.getWaitMs('u0/1', URGENCY.online, 0),
      peer.getWaitMs('u0/1', URGENCY.online, 0),
    ];
    limits.setColdRate('u0/1', undefined, 1000);

    expect(rates).toEqual([1, 2]);
    expect(waits).toEqual([1000, 500]);
    expect(limits.getRequestsPerSecond('u0/1', 5000)).toBe(2);
  });

  // Guards against gateways that start together, each of which takes itself for the only one.
  it('that is cold gets nothing from a gateway that has not read the list of gateways', () => {
    let isIncomplete = true;
    const limits = newUpstreamLimits({
      getVisibility: () => ({ members: 1, recentlySeen: 1, isIncomplete }),
      random: () => 0,
    });
    limits.setColdRate('u0/1', { requestsPerSecond: RATE, untilMs: 9000 }, 0);
    const isAllowed = (nowMs: number): boolean =>
      limits.getWaitMs('u0/1', URGENCY.underWay, nowMs) === 0;
    const before = [isAllowed(5000), limits.getSpareTokens('u0/1', 5000) > 0];
    isIncomplete = false;

    expect(before).toEqual([false, false]);
    expect([isAllowed(5000), limits.getSpareTokens('u0/1', 5000) > 0]).toEqual([true, true]);
  });

  // A report of what was sent to a cold upstream names no limit, which must not end one.
  it('that is cold loses no limit by the reports of what it gets', () => {
    const limits = newUpstreamLimits({
      getVisibility: () => ({ members: 2, recentlySeen: 2 }),
      random: () => 0,
    });
    const peer = newUpstreamLimits({
      getVisibility: () => ({ members: 2, recentlySeen: 2 }),
      random: () => 0,
    });
    peer.recordResponse('u0/1', 2, 0);
    limits.setColdRate('u0/1', { requestsPerSecond: RATE, untilMs: 5000 }, 0);
    peer.setColdRate('u0/1', { requestsPerSecond: RATE, untilMs: 5000 }, 0);
    peer.updatePeer('g', limits.getReports(50), 50);
    limits.recordSend('u0/1', 600);
    peer.updatePeer('g', limits.getReports(700), 700);

    expect(peer.getRequestsPerSecond('u0/1', 700)).toBe(2);
    expect(peer.getColdUse(700)).toEqual({ sent: 1, taken: RATE });
  });
});
