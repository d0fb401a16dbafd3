import { newSeededRandom, type Random } from '@anvilpaddle/common';
import {
  FirstComeScheduler,
  PreemptiveScheduler,
  type Effect,
  type Scheduler,
  type Work,
} from '@anvilpaddle/decisions';
import { CountBoundedScheduler } from './countBoundedScheduler';
import { ReserveScheduler } from './reserveScheduler';
import {
  simulateScheduling,
  getPercentile,
  type SimulationResult,
  type EngineModel,
  type TrafficSource,
} from './schedulingSimulation';
import { SingleQueueScheduler } from './singleQueueScheduler';

const SEEDS = [1, 2, 3, 4, 5];
const SLOTS = 16;
const MAX_WAIT_MS = 5000;
const ENGINE: EngineModel = {
  slots: SLOTS,
  prefillMs: 60,
  cachedPrefillMs: 10,
  stepMs: 10,
  stepMsPerRequest: 0,
  cancelMs: 2,
  resumesPreemptedWork: true,
};
/** Requests a second that fill the slots with answers of 60 tokens. */
const CAPACITY = (SLOTS * 1000) / (60 + 60 * 10);

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const getMean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0) / numbers.length;

/** Mean, lowest and highest of the seeds. */
const getSpread = (numbers: readonly number[], digits = 2): string =>
  `${getMean(numbers).toFixed(digits)} (${Math.min(...numbers).toFixed(digits)}..${Math.max(...numbers).toFixed(digits)})`;

const newOurs = (part = {}): PreemptiveScheduler =>
  new PreemptiveScheduler({ slots: SLOTS, reserve: 0, getMaxWaitMs: () => MAX_WAIT_MS, ...part });

const getAround =
  (mean: number) =>
  (random: Random): number =>
    Math.max(1, Math.round(mean * (0.5 + random())));

const newSource = (
  team: string,
  rate: number,
  part: Partial<TrafficSource> = {},
): TrafficSource => ({
  team,
  serviceClass: 'online',
  getRate: () => rate,
  peakRate: rate,
  getTokens: getAround(60),
  timeoutMs: 10_000,
  ...part,
});

/** Rate with bursts: three seconds in ten at the high rate. */
const newBursts = (low: number, high: number): Partial<TrafficSource> => ({
  getRate: (nowMs) => (nowMs % 10_000 < 3000 ? high : low),
  peakRate: high,
});

const getFirstTokens = ({ samples }: SimulationResult): number[] =>
  samples.flatMap(({ firstTokenMs, arrivedMs }) =>
    firstTokenMs === undefined ? [] : [firstTokenMs - arrivedMs],
  );

const sum = (numbers: Iterable<number>): number => [...numbers].reduce((a, b) => a + b, 0);

const BATCH_TEAMS = [
  { team: 'b1', tokens: 200 },
  { team: 'b2', tokens: 400 },
];

interface Policy {
  readonly name: string;
  readonly newScheduler: () => Scheduler;
  readonly engine?: Partial<EngineModel>;
}

const ONLINE_FIRST_POLICIES: readonly Policy[] = [
  { name: 'no priority', newScheduler: () => new SingleQueueScheduler(SLOTS) },
  { name: 'reserve of 4 only', newScheduler: () => new ReserveScheduler(SLOTS, 4) },
  { name: 'yielding, no hold', newScheduler: () => newOurs({ refillHoldMs: 0 }) },
  { name: 'yielding', newScheduler: () => newOurs() },
  { name: 'yielding, reserve 1', newScheduler: () => newOurs({ reserve: 1 }) },
  { name: 'yielding, hold 100 ms', newScheduler: () => newOurs({ refillHoldMs: 100 }) },
  {
    name: 'yielding, items restart',
    newScheduler: () => newOurs(),
    engine: { resumesPreemptedWork: false },
  },
  {
    name: 'yielding, slow cancel 20 ms',
    newScheduler: () => newOurs(),
    engine: { cancelMs: 20 },
  },
];

const measureOnlineFirst = (
  title: string,
  sources: readonly TrafficSource[],
  engine: EngineModel,
  policies: readonly Policy[],
): void => {
  print(`\n${title}`);
  print(
    'policy | first token with/without batch p50, p95, p99 | between tokens p50, p95, p99 | batch/spare | redone/useful | preempted/s',
  );
  const durationMs = 60_000;
  policies.forEach((policy) => {
    const shape = { ...engine, ...policy.engine };
    const runs = SEEDS.map((seed) => {
      const setup = { engine: shape, newScheduler: policy.newScheduler, sources, durationMs, seed };
      const without = simulateScheduling({ ...setup, batchTeams: [] });
      return { without, with: simulateScheduling({ ...setup, batchTeams: BATCH_TEAMS }) };
    });
    const getRatios = (
      getNumbers: (run: SimulationResult) => readonly number[],
      percent: number,
    ): string =>
      getSpread(
        runs.map(
          (run) =>
            getPercentile(getNumbers(run.with), percent) /
            getPercentile(getNumbers(run.without), percent),
        ),
      );
    const first = [50, 95, 99].map((percent) => getRatios(getFirstTokens, percent));
    const gaps = [50, 95, 99].map((percent) =>
      getRatios(({ tokenGapsMs: gapsMs }) => gapsMs, percent),
    );
    const shares = runs.map((run) => {
      const stepMs = shape.stepMs + shape.stepMsPerRequest * shape.slots;
      const usedMs = BATCH_TEAMS.map(
        ({ team, tokens }) =>
          (run.with.batchTokens.get(team) ?? 0) * (stepMs + shape.prefillMs / tokens),
      );
      return sum(usedMs) / run.without.spareSlotMs;
    });
    const waste = runs.map((run) => run.with.wastedTokens / sum(run.with.batchTokens.values()));
    const rate = runs.map((run) => (run.with.preemptions * 1000) / durationMs);
    print(
      [
        policy.name,
        first.join(', '),
        gaps.join(', '),
        getSpread(shares),
        getSpread(waste),
        getSpread(rate, 1),
      ].join(' | '),
    );
  });
};

const FIFO: Policy = { name: 'first come', newScheduler: () => new FirstComeScheduler(SLOTS) };
const OURS: Policy = { name: 'ours', newScheduler: () => newOurs() };

const FAIRNESS_POLICIES: readonly Policy[] = [FIFO, OURS];

const getServed = (run: SimulationResult, team: string): number =>
  sum(run.samples.filter((s) => s.team === team && s.isInTime).map(({ tokens }) => tokens));

/** Served tokens of the worst-served other team, over what it gets when the heavy team is away. */
const measureFairness = (): void => {
  const others = Array.from({ length: 7 }, (_, index) => `t${index + 1}`);
  const share = CAPACITY / 8;
  const calm = others.map((team) => newSource(team, share * 0.8));
  const bursty = others.map((team) =>
    newSource(team, share * 0.8, newBursts(share * 0.4, share * 1.6)),
  );
  const cases: readonly (readonly [string, readonly TrafficSource[], TrafficSource])[] = [
    ['10 times its rate', calm, newSource('heavy', share * 10)],
    ['10 times, others in bursts', bursty, newSource('heavy', share * 10)],
    ['huge allowances, same answers', calm, newSource('heavy', share * 10, { maxTokens: 100_000 })],
    ['wide bursts', calm, newSource('heavy', share * 10, newBursts(0, share * 40))],
    [
      'answers 10 times as long',
      calm,
      newSource('heavy', share * 3, { getTokens: getAround(600) }),
    ],
    [
      'long answers in wide bursts',
      calm,
      newSource('heavy', share * 10, { ...newBursts(0, share * 30), getTokens: getAround(600) }),
    ],
  ];
  print(
    '\nworst-served other team, tokens in time over those without the heavy team; p95 of first token with/without',
  );
  cases.forEach(([title, sources, heavy]) => {
    FAIRNESS_POLICIES.forEach(({ name, newScheduler }) => {
      const runs = SEEDS.map((seed) => {
        const setup = { engine: ENGINE, newScheduler, durationMs: 60_000, batchTeams: [], seed };
        return {
          without: simulateScheduling({ ...setup, sources }),
          with: simulateScheduling({ ...setup, sources: [...sources, heavy] }),
        };
      });
      const worst = runs.map((run) =>
        Math.min(...others.map((team) => getServed(run.with, team) / getServed(run.without, team))),
      );
      const totals = runs.map(
        (run) =>
          (sum(run.with.samples.filter((s) => s.isInTime).map((s) => s.tokens)) * 10) /
          60_000 /
          SLOTS,
      );
      const delays = runs.map((run) => {
        const getP95 = ({ samples }: SimulationResult): number =>
          getPercentile(
            samples.flatMap(({ team, firstTokenMs, arrivedMs }) =>
              team === 'heavy' || firstTokenMs === undefined ? [] : [firstTokenMs - arrivedMs],
            ),
            95,
          );
        return getP95(run.with) / getP95(run.without);
      });
      print(
        `${title} | ${name} | ${getSpread(worst, 3)} | ${getSpread(delays)} | ${getSpread(totals, 3)}`,
      );
    });
  });
};

const OVERLOAD_POLICIES: readonly Policy[] = [
  FIFO,
  {
    name: 'first come, at most 100 wait',
    newScheduler: () => new CountBoundedScheduler(SLOTS, 100),
  },
  OURS,
];

/** Answers in time a second at multiples of the capacity. */
const measureOverload = (timeoutMs: number, getTokens: (random: Random) => number): void => {
  print(
    `\ngoodput over that at capacity, deadline ${timeoutMs} ms; share of refusals after a wait of 50 ms and more`,
  );
  OVERLOAD_POLICIES.forEach(({ name, newScheduler }) => {
    const cells = [0.5, 1, 1.5, 2, 3].map((load) => {
      const runs = SEEDS.map((seed) => {
        const sources = Array.from({ length: 8 }, (_, index) =>
          newSource(`t${index}`, (CAPACITY * load) / 8, { timeoutMs, getTokens }),
        );
        return simulateScheduling({
          engine: ENGINE,
          newScheduler,
          sources,
          durationMs: 60_000,
          batchTeams: [],
          seed,
        });
      });
      const good = runs.map(
        (run) =>
          run.samples.filter((s) => s.isInTime && (s.finishedMs ?? 0) <= 60_000).length /
          60 /
          CAPACITY,
      );
      const late = runs.map((run) => {
        const refused = run.samples.filter((s) => s.refusedMs !== undefined);
        const waited = refused.filter((s) => (s.refusedMs ?? 0) - s.arrivedMs >= 50);
        return refused.length === 0 ? 0 : waited.length / refused.length;
      });
      return `${load}x ${getSpread(good)} late ${getMean(late).toFixed(2)}`;
    });
    print(`${name} | ${cells.join(' | ')}`);
  });
};

/** Time of a decision and state at three sizes. */
const measureSlopes = (): void => {
  print(
    '\nwaiting requests | teams | microseconds for each enqueue and finish | bytes a waiting request',
  );
  [
    [100, 10],
    [1000, 100],
    [10_000, 1000],
  ].forEach(([waiting = 0, teams = 1]) => {
    const random = newSeededRandom(7);
    const scheduler = newOurs({ getMaxWaitMs: () => Infinity });
    const newWork = (id: number): Work => ({
      id: `w${id}`,
      team: `team-${Math.floor(random() * teams)}`,
      route: 'r',
      serviceClass: 'online',
      weight: 1,
      maxTokens: undefined,
      deadlineMs: Infinity,
    });
    const running: string[] = [];
    const note = (effects: readonly Effect[]): void =>
      effects.forEach(({ kind, id }) => {
        if (kind === 'start') running.push(id);
      });
    global.gc?.();
    const emptyBytes = process.memoryUsage().heapUsed;
    let id = 0;
    for (; id < waiting + SLOTS; id += 1) note(scheduler.enqueue(newWork(id), id));
    global.gc?.();
    const bytes = (process.memoryUsage().heapUsed - emptyBytes) / waiting;
    const rounds = 5000;
    const startMs = performance.now();
    for (let round = 0; round < rounds; round += 1) {
      id += 1;
      note(scheduler.enqueue(newWork(id), id));
      note(scheduler.finish(running.shift() ?? '', 60, id));
    }
    const micros = ((performance.now() - startMs) * 1000) / rounds;
    print(`${waiting} | ${teams} | ${micros.toFixed(1)} | ${bytes.toFixed(0)}`);
  });
};

/** Prints what batch work does to online work, fairness, goodput under overload and the slopes. */
export const measureScheduling = async (): Promise<void> => {
  const steady = [0, 1, 2, 3].map((index) => newSource(`t${index}`, (CAPACITY * 0.5) / 4));
  measureOnlineFirst(
    'the same, each decoded request adds 0.3 ms to a step of 6 ms',
    steady,
    { ...ENGINE, stepMs: 6, stepMsPerRequest: 0.3 },
    [
      { name: 'yielding', newScheduler: () => newOurs() },
      { name: 'yielding, at most 8 items', newScheduler: () => newOurs({ batchSlots: 8 }) },
      { name: 'yielding, at most 4 items', newScheduler: () => newOurs({ batchSlots: 4 }) },
      { name: 'yielding, at most 2 items', newScheduler: () => newOurs({ batchSlots: 2 }) },
    ],
  );
  const bursts = [0, 1, 2, 3].map((index) =>
    newSource(`t${index}`, 0, newBursts((CAPACITY * 0.2) / 4, (CAPACITY * 0.9) / 4)),
  );
  const policies = ONLINE_FIRST_POLICIES;
  measureOnlineFirst('online at half of the capacity', steady, ENGINE, policies);
  measureOnlineFirst(
    'online in bursts of 3 s: 0.2 and 0.9 of the capacity',
    bursts,
    ENGINE,
    policies,
  );
  measureFairness();
  measureOverload(10_000, getAround(60));
  measureOverload(2000, getAround(60));
  measureSlopes();
};
