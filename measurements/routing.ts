/** Simulation of routers in front of upstreams with a prefix cache. */
import {
  AffinityRouter,
  LeastConnectionsRouter,
  PowerOfTwoChoicesRouter,
  RandomRouter,
  RoundRobinRouter,
  type Router,
} from '@anvilpaddle/decisions';
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { newEventLoop, type EventLoop } from './kit/eventLoop';
import { getExponential, getMean, getQuantile, getSpread } from './kit/statistics';
import { printTable } from './kit/table';

const SEEDS = [11, 12, 13, 14, 15] as const;
const RUN_DURATION_MS = 60_000;
const WARM_UP_MS = 10_000;
const HEARTBEAT_INTERVAL_MS = 500;
const ENTRIES = 3;
const DOMAINS = 3;
const SLOTS = 8;
const PREFIXES = 40;
/** Prefixes that the cache of an upstream holds. */
const CACHED_PREFIXES = 8;
const PREFILL_MISS_MS = 160;
const PREFILL_HIT_MS = 20;
const DECODE_MS = 400;
/** Network delay one way between an entry and an upstream. */
const NETWORK_DELAY_MS = 1;
/** Arriving work as a fraction of the capacity. */
const UTILISATION = 0.75;
const SLOW_FACTOR = 4;

const SCENARIO = { healthy: 'healthy', slow: 'one 4 times slower', joining: 'one joins' } as const;
type Scenario = (typeof SCENARIO)[keyof typeof SCENARIO];

const ROUTERS: Readonly<Record<string, (random: Random, now: () => number) => Router>> = {
  random: (random) => new RandomRouter(random),
  'round robin': () => new RoundRobinRouter(),
  'least connections': () => new LeastConnectionsRouter(),
  'least of two': (random) => new PowerOfTwoChoicesRouter(random),
  anvilpaddle: (random, now) => new AffinityRouter(random, now),
};

/** Model of an upstream with slots, a queue and a prefix cache. */
interface Upstream {
  readonly vm: string;
  /** Factor on the service time. */
  readonly serviceTimeFactor: number;
  readonly waiting: (() => void)[];
  readonly cache: string[];
  running: number;
  /** Service time of all requests served, in slot-milliseconds. */
  busyMs: number;
}

/** Times to first token and cache hits of one run. */
interface Outcome {
  readonly firstTokensMs: number[];
  hits: number;
  served: number;
}

/**
 * Marks a prefix as the last used one, evicts the least recently used one from a full cache, and tells
 * whether the prefix was cached.
 */
const accessCache = (upstream: Upstream, prefix: string): boolean => {
  const index = upstream.cache.indexOf(prefix);
  if (index >= 0) upstream.cache.splice(index, 1);
  upstream.cache.push(prefix);
  if (upstream.cache.length > CACHED_PREFIXES) upstream.cache.shift();
  return index >= 0;
};

/** Runs a request at an upstream, or queues it until a slot is free. */
const serve = (
  loop: EventLoop,
  upstream: Upstream,
  prefix: string,
  outcome: Outcome,
  onFirstToken: () => void,
  onEnd: () => void,
): void => {
  const start = (): void => {
    upstream.running += 1;
    const isHit = accessCache(upstream, prefix);
    const prefillMs = (isHit ? PREFILL_HIT_MS : PREFILL_MISS_MS) * upstream.serviceTimeFactor;
    const decodeMs = DECODE_MS * upstream.serviceTimeFactor;
    upstream.busyMs += prefillMs + decodeMs;
    outcome.served += 1;
    outcome.hits += isHit ? 1 : 0;
    loop.at(loop.now() + prefillMs, onFirstToken);
    loop.at(loop.now() + prefillMs + decodeMs, () => {
      upstream.running -= 1;
      onEnd();
      upstream.waiting.shift()?.();
    });
  };
  if (upstream.running < SLOTS) start();
  else upstream.waiting.push(start);
};

/** Simulates one router in one scenario; the same seed gives the same arrivals. */
const simulateRouter = (name: string, scenario: Scenario, upstreamCount: number, seed: number) => {
  const loop = newEventLoop();
  const random = newSeededRandom(seed);
  const upstreams: Upstream[] = Array.from({ length: upstreamCount }, (_, index) => ({
    vm: `llm-${index}`,
    serviceTimeFactor: scenario === SCENARIO.slow && index === 0 ? SLOW_FACTOR : 1,
    waiting: [],
    cache: [],
    running: 0,
    busyMs: 0,
  }));
  const getLoad = ({ running, waiting }: Upstream) => ({
    running,
    waiting: waiting.length,
    slots: SLOTS,
  });
  const getMember = (upstream: Upstream, index: number): Member => ({
    vm: upstream.vm,
    address: '',
    role: 'sidecar',
    failureDomain: `fd-${index % DOMAINS}`,
    incarnation: 'first',
    leaving: false,
    group: 'llm',
    models: ['small-chat'],
    load: getLoad(upstream),
    revision: 1,
  });
  const outcome: Outcome = { firstTokensMs: [], hits: 0, served: 0 };
  // Each entry routes by its own copy of the members, which heartbeats and responses update.
  const views = Array.from({ length: ENTRIES }, () => new Map<string, Member>());
  const newRouter = ROUTERS[name] as (typeof ROUTERS)[string];
  const routers = views.map((_, index) =>
    newRouter(newSeededRandom(seed * 100 + index), () => loop.now()),
  );

  /** Whether the upstream is part of the fleet; in the joining scenario the first one joins at half time. */
  const hasJoined = (index: number): boolean =>
    scenario !== SCENARIO.joining || index > 0 || loop.now() >= RUN_DURATION_MS / 2;
  /** Updates the members of an entry once per heartbeat interval. */
  const sendHeartbeats = (entry: number): void => {
    upstreams.forEach((upstream, index) => {
      if (hasJoined(index)) views[entry]?.set(upstream.vm, getMember(upstream, index));
    });
    loop.at(loop.now() + HEARTBEAT_INTERVAL_MS, () => sendHeartbeats(entry));
  };
  views.forEach((_, entry) =>
    loop.at((entry * HEARTBEAT_INTERVAL_MS) / ENTRIES, () => sendHeartbeats(entry)),
  );

  const sendRequest = (): void => {
    const entry = Math.floor(random() * ENTRIES);
    const prefix = `p${Math.floor(PREFIXES * random() ** 2)}`;
    const view = views[entry] as Map<string, Member>;
    const router = routers[entry] as Router;
    const arrivedMs = loop.now();
    const member = router.pick([...view.values()], {
      group: 'llm',
      failureDomain: `fd-${entry % DOMAINS}`,
      prefix,
      triedVms: new Set(),
    });
    const index = upstreams.findIndex(({ vm }) => vm === member?.vm);
    const upstream = upstreams[index];
    if (upstream === undefined) return;
    router.started(upstream.vm);
    let firstTokenMs = 0;
    const onFirstToken = (): void => {
      firstTokenMs = loop.now() + NETWORK_DELAY_MS - arrivedMs;
      if (arrivedMs > WARM_UP_MS) outcome.firstTokensMs.push(firstTokenMs);
      view.set(upstream.vm, getMember(upstream, index));
    };
    const onEnd = (): void => router.ended(upstream.vm, 'ok', firstTokenMs);
    loop.at(arrivedMs + NETWORK_DELAY_MS, () =>
      serve(loop, upstream, prefix, outcome, onFirstToken, onEnd),
    );
  };

  const capacity = upstreams.reduce(
    (sum, { serviceTimeFactor }) => sum + SLOTS / serviceTimeFactor,
    0,
  );
  const serviceMs = DECODE_MS + (PREFILL_HIT_MS + PREFILL_MISS_MS) / 2;
  const meanInterarrivalMs = serviceMs / (capacity * UTILISATION);
  const onArrival = (): void => {
    sendRequest();
    loop.at(loop.now() + getExponential(meanInterarrivalMs, random()), onArrival);
  };
  loop.at(HEARTBEAT_INTERVAL_MS, onArrival);
  loop.run(RUN_DURATION_MS);

  const busyTimes = upstreams.map(({ busyMs, serviceTimeFactor }) => busyMs / serviceTimeFactor);
  return {
    p50: getQuantile(outcome.firstTokensMs, 0.5),
    p99: getQuantile(outcome.firstTokensMs, 0.99),
    hitFraction: outcome.hits / outcome.served,
    imbalance: Math.max(...busyTimes) / getMean(busyTimes),
  };
};

/**
 * Prints time to first token, cache hits and imbalance of each router, beside random choice on the same
 * arrivals.
 */
export const measureRouting = async (): Promise<void> => {
  const deployments = [
    ['association, 6 upstreams', 6],
    ['Blue Mahoe, 12 upstreams', 12],
  ] as const;
  deployments.forEach(([title, upstreams]) =>
    Object.values(SCENARIO).forEach((scenario) => {
      const baseline = SEEDS.map((seed) => simulateRouter('random', scenario, upstreams, seed));
      const rows = Object.keys(ROUTERS).map((name) => {
        const runs = SEEDS.map((seed) => simulateRouter(name, scenario, upstreams, seed));
        const getRatio = (field: 'p50' | 'p99'): string =>
          getSpread(runs.map((run, index) => run[field] / (baseline[index]?.[field] ?? NaN)));
        return {
          router: name,
          'p50 first token / random': getRatio('p50'),
          'p99 first token / random': getRatio('p99'),
          'cache hit share': getSpread(runs.map(({ hitFraction }) => hitFraction)),
          'worst imbalance': getSpread(runs.map(({ imbalance }) => imbalance)),
        };
      });
      printTable(`Routing: ${title}, ${scenario}, ${SEEDS.length} seeds`, rows);
    }),
  );
};
