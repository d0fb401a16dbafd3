/** Measurement of the scheduler in simulated time, beside baseline schedulers. */
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
/** Requests per second that keep all slots busy, at a mean of 60 tokens a response. */
const CAPACITY = (SLOTS * 1000) / (60 + 60 * 10);

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const getMean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0) / numbers.length;

/** Formats the mean, minimum and maximum over the seeds. */
const getSpread = (numbers: readonly number[], digits = 2): string =>
  `${getMean(numbers).toFixed(digits)} (${Math.min(...numbers).toFixed(digits)}..${Math.max(...numbers).toFixed(digits)})`;

const newProductScheduler = (overrides = {}): PreemptiveScheduler =>
  new PreemptiveScheduler({
    slots: SLOTS,
    reserve: 0,
    getMaxWaitMs: () => MAX_WAIT_MS,
    ...overrides,
  });

/** Creates a function that draws a number of tokens between half and one and a half times the mean. */
const newTokenSampler =
  (mean: number) =>
  (random: Random): number =>
    Math.max(1, Math.round(mean * (0.5 + random())));

const newSource = (
  team: string,
  rate: number,
  overrides: Partial<TrafficSource> = {},
): TrafficSource => ({
  team,
  serviceClass: 'online',
  getRate: () => rate,
  peakRate: rate,
  getTokens: newTokenSampler(60),
  timeoutMs: 10_000,
  ...overrides,
});

/** Part of a source whose rate is high for three seconds in ten and low otherwise. */
const newBurstyRate = (low: number, high: number): Partial<TrafficSource> => ({
  getRate: (nowMs) => (nowMs % 10_000 < 3000 ? high : low),
  peakRate: high,
});

/** Times to the first token of the requests that got one. */
const getFirstTokenTimes = ({ samples }: SimulationResult): number[] =>
  samples.flatMap(({ firstTokenMs, arrivedMs }) =>
    firstTokenMs === undefined ? [] : [firstTokenMs - arrivedMs],
  );

const sum = (numbers: Iterable<number>): number => [...numbers].reduce((a, b) => a + b, 0);

const BATCH_TEAMS = [
  { team: 'b1', tokens: 200 },
  { team: 'b2', tokens: 400 },
];

/** Scheduler under measurement, with what its engine does differently. */
interface Policy {
  readonly name: string;
  readonly newScheduler: () => Scheduler;
  readonly engine?: Partial<EngineModel>;
}

const PRIORITY_POLICIES: readonly Policy[] = [
  { name: 'no priority', newScheduler: () => new SingleQueueScheduler(SLOTS) },
  { name: 'reserve of 4 only', newScheduler: () => new ReserveScheduler(SLOTS, 4) },
  {
    name: 'yielding, no hold',
    newScheduler: () => newProductScheduler({ batchRestartDelayMs: 0 }),
  },
  { name: 'yielding', newScheduler: () => newProductScheduler() },
  { name: 'yielding, reserve 1', newScheduler: () => newProductScheduler({ reserve: 1 }) },
  {
    name: 'yielding, hold 100 ms',
    newScheduler: () => newProductScheduler({ batchRestartDelayMs: 100 }),
  },
  {
    name: 'yielding, items restart',
    newScheduler: () => newProductScheduler(),
    engine: { resumesPreemptedWork: false },
  },
  {
    name: 'yielding, slow cancel 20 ms',
    newScheduler: () => newProductScheduler(),
    engine: { cancelMs: 20 },
  },
];

/** Prints how batch work affects online requests, and how much of the spare slots it uses. */
const measureBatchImpact = (
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
    const engineModel = { ...engine, ...policy.engine };
    const runs = SEEDS.map((seed) => {
      const setup = {
        engine: engineModel,
        newScheduler: policy.newScheduler,
        sources,
        durationMs,
        seed,
      };
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
    const firstTokenRatios = [50, 95, 99].map((percent) => getRatios(getFirstTokenTimes, percent));
    const tokenGapRatios = [50, 95, 99].map((percent) =>
      getRatios(({ tokenGapsMs }) => tokenGapsMs, percent),
    );
    const spareFractions = runs.map((run) => {
      const stepMs = engineModel.stepMs + engineModel.stepMsPerRequest * engineModel.slots;
      const usedMs = BATCH_TEAMS.map(
        ({ team, tokens }) =>
          (run.with.batchTokens.get(team) ?? 0) * (stepMs + engineModel.prefillMs / tokens),
      );
      return sum(usedMs) / run.without.spareSlotMs;
    });
    const wastedRatios = runs.map(
      (run) => run.with.wastedTokens / sum(run.with.batchTokens.values()),
    );
    const preemptionRates = runs.map((run) => (run.with.preemptions * 1000) / durationMs);
    print(
      [
        policy.name,
        firstTokenRatios.join(', '),
        tokenGapRatios.join(', '),
        getSpread(spareFractions),
        getSpread(wastedRatios),
        getSpread(preemptionRates, 1),
      ].join(' | '),
    );
  });
};

const FIFO: Policy = {
  name: 'first come',
  newScheduler: () => new FirstComeScheduler(SLOTS),
};
const PRODUCT: Policy = { name: 'ours', newScheduler: () => newProductScheduler() };

const FAIRNESS_POLICIES: readonly Policy[] = [FIFO, PRODUCT];

/** Tokens of the responses that a team got in time. */
const getServedTokens = (run: SimulationResult, team: string): number =>
  sum(run.samples.filter((s) => s.team === team && s.isInTime).map(({ tokens }) => tokens));

/**
 * Prints the tokens of the worst-served other team as a fraction of those it gets without the heavy
 * team.
 */
const measureFairness = (): void => {
  const others = Array.from({ length: 7 }, (_, index) => `t${index + 1}`);
  const share = CAPACITY / 8;
  const steadySources = others.map((team) => newSource(team, share * 0.8));
  const burstySources = others.map((team) =>
    newSource(team, share * 0.8, newBurstyRate(share * 0.4, share * 1.6)),
  );
  const cases: readonly (readonly [string, readonly TrafficSource[], TrafficSource])[] = [
    ['10 times its rate', steadySources, newSource('heavy', share * 10)],
    ['10 times, others in bursts', burstySources, newSource('heavy', share * 10)],
    [
      'huge allowances, same answers',
      steadySources,
      newSource('heavy', share * 10, { maxTokens: 100_000 }),
    ],
    ['wide bursts', steadySources, newSource('heavy', share * 10, newBurstyRate(0, share * 40))],
    [
      'answers 10 times as long',
      steadySources,
      newSource('heavy', share * 3, { getTokens: newTokenSampler(600) }),
    ],
    [
      'long answers in wide bursts',
      steadySources,
      newSource('heavy', share * 10, {
        ...newBurstyRate(0, share * 30),
        getTokens: newTokenSampler(600),
      }),
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
      const worstServed = runs.map((run) =>
        Math.min(
          ...others.map(
            (team) => getServedTokens(run.with, team) / getServedTokens(run.without, team),
          ),
        ),
      );
      const utilizations = runs.map(
        (run) =>
          (sum(run.with.samples.filter((s) => s.isInTime).map((s) => s.tokens)) * 10) /
          60_000 /
          SLOTS,
      );
      const firstTokenRatios = runs.map((run) => {
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
        `${title} | ${name} | ${getSpread(worstServed, 3)} | ${getSpread(firstTokenRatios)} | ${getSpread(utilizations, 3)}`,
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
  PRODUCT,
];

/** Prints goodput, the responses in time per second, at multiples of the capacity. */
const measureOverload = (timeoutMs: number, getTokens: (random: Random) => number): void => {
  print(
    `\ngoodput over that at capacity, deadline ${timeoutMs} ms; share of refusals after a wait of 50 ms and more`,
  );
  OVERLOAD_POLICIES.forEach(({ name, newScheduler }) => {
    const columns = [0.5, 1, 1.5, 2, 3].map((load) => {
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
      const goodput = runs.map(
        (run) =>
          run.samples.filter((s) => s.isInTime && (s.finishedMs ?? 0) <= 60_000).length /
          60 /
          CAPACITY,
      );
      const lateRefusalFractions = runs.map((run) => {
        const refused = run.samples.filter((s) => s.refusedMs !== undefined);
        const waited = refused.filter((s) => (s.refusedMs ?? 0) - s.arrivedMs >= 50);
        return refused.length === 0 ? 0 : waited.length / refused.length;
      });
      return `${load}x ${getSpread(goodput)} late ${getMean(lateRefusalFractions).toFixed(2)}`;
    });
    print(`${name} | ${columns.join(' | ')}`);
  });
};

/** Prints the time of a decision and the memory of a waiting request at three queue sizes. */
const measureScaling = (): void => {
  print(
    '\nwaiting requests | teams | microseconds for each enqueue and finish | bytes a waiting request',
  );
  [
    [100, 10],
    [1000, 100],
    [10_000, 1000],
  ].forEach(([waiting = 0, teams = 1]) => {
    const random = newSeededRandom(7);
    const scheduler = newProductScheduler({ getMaxWaitMs: () => Infinity });
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
    const trackStarts = (effects: readonly Effect[]): void =>
      effects.forEach(({ kind, id }) => {
        if (kind === 'start') running.push(id);
      });
    global.gc?.();
    const emptyBytes = process.memoryUsage().heapUsed;
    let id = 0;
    for (; id < waiting + SLOTS; id += 1) trackStarts(scheduler.enqueue(newWork(id), id));
    global.gc?.();
    const bytes = (process.memoryUsage().heapUsed - emptyBytes) / waiting;
    const rounds = 5000;
    const startMs = performance.now();
    for (let round = 0; round < rounds; round += 1) {
      id += 1;
      trackStarts(scheduler.enqueue(newWork(id), id));
      trackStarts(scheduler.finish(running.shift() ?? '', 60, id));
    }
    const microseconds = ((performance.now() - startMs) * 1000) / rounds;
    print(`${waiting} | ${teams} | ${microseconds.toFixed(1)} | ${bytes.toFixed(0)}`);
  });
};

/**
 * Prints the effect of batch work on online requests, fairness, goodput under overload, and cost by
 * queue size.
 */
export const measureScheduling = async (): Promise<void> => {
  const steady = [0, 1, 2, 3].map((index) => newSource(`t${index}`, (CAPACITY * 0.5) / 4));
  measureBatchImpact(
    'the same, each decoded request adds 0.3 ms to a step of 6 ms',
    steady,
    { ...ENGINE, stepMs: 6, stepMsPerRequest: 0.3 },
    [
      { name: 'yielding', newScheduler: () => newProductScheduler() },
      {
        name: 'yielding, at most 8 items',
        newScheduler: () => newProductScheduler({ batchSlots: 8 }),
      },
      {
        name: 'yielding, at most 4 items',
        newScheduler: () => newProductScheduler({ batchSlots: 4 }),
      },
      {
        name: 'yielding, at most 2 items',
        newScheduler: () => newProductScheduler({ batchSlots: 2 }),
      },
    ],
  );
  const bursts = [0, 1, 2, 3].map((index) =>
    newSource(`t${index}`, 0, newBurstyRate((CAPACITY * 0.2) / 4, (CAPACITY * 0.9) / 4)),
  );
  const policies = PRIORITY_POLICIES;
  measureBatchImpact('online at half of the capacity', steady, ENGINE, policies);
  measureBatchImpact(
    'online in bursts of 3 s: 0.2 and 0.9 of the capacity',
    bursts,
    ENGINE,
    policies,
  );
  measureFairness();
  measureOverload(10_000, newTokenSampler(60));
  measureOverload(2000, newTokenSampler(60));
  measureScaling();
};
