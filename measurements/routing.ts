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
const RUN_MS = 60_000;
const WARM_UP_MS = 10_000;
const HEARTBEAT_MS = 500;
const ENTRIES = 3;
const DOMAINS = 3;
const SLOTS = 8;
const PREFIXES = 40;
const CACHED_PREFIXES = 8;
const PREFILL_MISS_MS = 160;
const PREFILL_HIT_MS = 20;
const DECODE_MS = 400;
const LINK_MS = 1;
const UTILISATION = 0.75;
const SLOW_FACTOR = 4;

const CASE = { healthy: 'healthy', slow: 'one 4 times slower', joining: 'one joins' } as const;
type Case = (typeof CASE)[keyof typeof CASE];

const ROUTERS: Readonly<Record<string, (random: Random, now: () => number) => Router>> = {
  random: (random) => new RandomRouter(random),
  'round robin': () => new RoundRobinRouter(),
  'least connections': () => new LeastConnectionsRouter(),
  'least of two': (random) => new PowerOfTwoChoicesRouter(random),
  anvilpaddle: (random, now) => new AffinityRouter(random, now),
};

interface Upstream {
  readonly vm: string;
  readonly factor: number;
  readonly waiting: (() => void)[];
  readonly cache: string[];
  running: number;
  busyMs: number;
}

interface Outcome {
  readonly firstTokensMs: number[];
  hits: number;
  served: number;
}

/** Least recently used prefixes leave the cache; true when the prefix was there. */
const touchCache = (upstream: Upstream, prefix: string): boolean => {
  const index = upstream.cache.indexOf(prefix);
  if (index >= 0) upstream.cache.splice(index, 1);
  upstream.cache.push(prefix);
  if (upstream.cache.length > CACHED_PREFIXES) upstream.cache.shift();
  return index >= 0;
};

const serve = (
  loop: EventLoop,
  upstream: Upstream,
  prefix: string,
  outcome: Outcome,
  onFirst: () => void,
  onEnd: () => void,
): void => {
  const start = (): void => {
    upstream.running += 1;
    const isHit = touchCache(upstream, prefix);
    const prefillMs = (isHit ? PREFILL_HIT_MS : PREFILL_MISS_MS) * upstream.factor;
    const decodeMs = DECODE_MS * upstream.factor;
    upstream.busyMs += prefillMs + decodeMs;
    outcome.served += 1;
    outcome.hits += isHit ? 1 : 0;
    loop.at(loop.now() + prefillMs, onFirst);
    loop.at(loop.now() + prefillMs + decodeMs, () => {
      upstream.running -= 1;
      onEnd();
      upstream.waiting.shift()?.();
    });
  };
  if (upstream.running < SLOTS) start();
  else upstream.waiting.push(start);
};

const runCase = (name: string, shape: Case, upstreamCount: number, seed: number) => {
  const loop = newEventLoop();
  const random = newSeededRandom(seed);
  const upstreams: Upstream[] = Array.from({ length: upstreamCount }, (_, index) => ({
    vm: `llm-${index}`,
    factor: shape === CASE.slow && index === 0 ? SLOW_FACTOR : 1,
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
  const views = Array.from({ length: ENTRIES }, () => new Map<string, Member>());
  const newRouter = ROUTERS[name] as (typeof ROUTERS)[string];
  const routers = views.map((_, index) =>
    newRouter(newSeededRandom(seed * 100 + index), () => loop.now()),
  );

  const isPresent = (index: number): boolean =>
    shape !== CASE.joining || index > 0 || loop.now() >= RUN_MS / 2;
  const report = (entry: number): void => {
    upstreams.forEach((upstream, index) => {
      if (isPresent(index)) views[entry]?.set(upstream.vm, getMember(upstream, index));
    });
    loop.at(loop.now() + HEARTBEAT_MS, () => report(entry));
  };
  views.forEach((_, entry) => loop.at((entry * HEARTBEAT_MS) / ENTRIES, () => report(entry)));

  const request = (): void => {
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
    let delayMs = 0;
    const onFirst = (): void => {
      delayMs = loop.now() + LINK_MS - arrivedMs;
      if (arrivedMs > WARM_UP_MS) outcome.firstTokensMs.push(delayMs);
      view.set(upstream.vm, getMember(upstream, index));
    };
    const onEnd = (): void => router.ended(upstream.vm, 'ok', delayMs);
    loop.at(arrivedMs + LINK_MS, () => serve(loop, upstream, prefix, outcome, onFirst, onEnd));
  };

  const capacity = upstreams.reduce((sum, { factor }) => sum + SLOTS / factor, 0);
  const serviceMs = DECODE_MS + (PREFILL_HIT_MS + PREFILL_MISS_MS) / 2;
  const gapMs = serviceMs / (capacity * UTILISATION);
  const arrive = (): void => {
    request();
    loop.at(loop.now() + getExponential(gapMs, random()), arrive);
  };
  loop.at(HEARTBEAT_MS, arrive);
  loop.run(RUN_MS);

  const busy = upstreams.map(({ busyMs, factor }) => busyMs / factor);
  return {
    p50: getQuantile(outcome.firstTokensMs, 0.5),
    p99: getQuantile(outcome.firstTokensMs, 0.99),
    hitShare: outcome.hits / outcome.served,
    imbalance: Math.max(...busy) / getMean(busy),
  };
};

/** First-token time, cache hits and imbalance of each router beside random choice, same arrivals. */
export const measureRouting = async (): Promise<void> => {
  const shapes = [
    ['association, 6 upstreams', 6],
    ['Blue Mahoe, 12 upstreams', 12],
  ] as const;
  shapes.forEach(([title, upstreams]) =>
    Object.values(CASE).forEach((shape) => {
      const baseline = SEEDS.map((seed) => runCase('random', shape, upstreams, seed));
      const rows = Object.keys(ROUTERS).map((name) => {
        const runs = SEEDS.map((seed) => runCase(name, shape, upstreams, seed));
        const getRatio = (field: 'p50' | 'p99'): string =>
          getSpread(runs.map((run, index) => run[field] / (baseline[index]?.[field] ?? NaN)));
        return {
          router: name,
          'p50 first token / random': getRatio('p50'),
          'p99 first token / random': getRatio('p99'),
          'cache hit share': getSpread(runs.map(({ hitShare }) => hitShare)),
          'worst imbalance': getSpread(runs.map(({ imbalance }) => imbalance)),
        };
      });
      printTable(`Routing: ${title}, ${shape}, ${SEEDS.length} seeds`, rows);
    }),
  );
};
