/** Simulation of a scheduler in front of an inference engine, in simulated time. */
import { ManualClock, newSeededRandom, type Random, type ServiceClass } from '@anvilpaddle/common';
import type { Effect, Scheduler } from '@anvilpaddle/decisions';

const TICK_INTERVAL_MS = 50;
const DRAIN_PERIOD_MS = 15_000;

/** Model of an inference engine with continuous batching; times in milliseconds. */
export interface EngineModel {
  /** Requests that the engine admits at the same time; further ones wait in its own queue. */
  readonly slots: number;
  /** Prefill time of work that the engine admits for the first time. */
  readonly prefillMs: number;
  /** Prefill time of resumed work, whose prefix is still cached. */
  readonly cachedPrefillMs: number;
  /** Time of a decoding step, which gives each decoded request one token. */
  readonly stepMs: number;
  /** Time that each decoded request adds to a step. */
  readonly stepMsPerRequest: number;
  /** Time from a cancellation until the request has left the engine and the scheduler is told. */
  readonly cancelMs: number;
  /** Whether preempted batch work keeps its generated tokens; otherwise it starts again. */
  readonly resumesPreemptedWork: boolean;
}

/** Generator of one team's requests. */
export interface TrafficSource {
  readonly team: string;
  readonly serviceClass: ServiceClass;
  /** Requests per second at a time in milliseconds since the start. */
  readonly getRate: (nowMs: number) => number;
  /** Upper bound of `getRate`. */
  readonly peakRate: number;
  /** Draws the number of tokens of a response. */
  readonly getTokens: (random: Random) => number;
  readonly maxTokens?: number;
  readonly timeoutMs: number;
  readonly weight?: number;
}

/** Outcome of one online request. */
export interface Sample {
  readonly team: string;
  readonly arrivedMs: number;
  readonly tokens: number;
  firstTokenMs: number | undefined;
  finishedMs: number | undefined;
  refusedMs: number | undefined;
  /** Whether it finished by its deadline. */
  isInTime: boolean;
}

/** Result of one simulation. */
export interface SimulationResult {
  readonly samples: readonly Sample[];
  /** Times between successive tokens of online requests. */
  readonly tokenGapsMs: readonly number[];
  /** Tokens of finished batch items, by team. */
  readonly batchTokens: ReadonlyMap<string, number>;
  /** Tokens that batch items had to generate again. */
  readonly wastedTokens: number;
  readonly preemptions: number;
  /** Engine slots without an online request, summed over the milliseconds of the run. */
  readonly spareSlotMs: number;
  /** Engine slots that decode batch work, summed over the milliseconds of the run. */
  readonly batchSlotMs: number;
}

/** Request or batch item on its way through the scheduler and the engine. */
interface Job {
  readonly id: string;
  readonly source: TrafficSource;
  readonly tokens: number;
  readonly deadlineMs: number;
  /** Undefined for batch items. */
  readonly sample: Sample | undefined;
  state: 'waiting' | 'queued' | 'prefill' | 'decoding' | 'ended';
  /** Tokens generated so far. */
  served: number;
  /** Number of times that the engine has admitted the job; above 1 after a preemption. */
  admissions: number;
  lastTokenMs: number;
}

/** Scheduler, engine and load of a simulation. */
export interface SimulationOptions {
  readonly engine: EngineModel;
  readonly newScheduler: () => Scheduler;
  readonly sources: readonly TrafficSource[];
  /** Teams that always have batch items waiting, and the tokens of each item. */
  readonly batchTeams: readonly { readonly team: string; readonly tokens: number }[];
  readonly durationMs: number;
  readonly seed: number;
}

/** Runs a scheduler in front of the engine model; the same seed gives the same arrivals. */
export const simulateScheduling = (options: SimulationOptions): SimulationResult => {
  const { engine, durationMs } = options;
  const clock = new ManualClock();
  const scheduler = options.newScheduler();
  const jobs = new Map<string, Job>();
  const engineQueue: Job[] = [];
  const admittedJobs = new Set<Job>();
  const samples: Sample[] = [];
  const tokenGapsMs: number[] = [];
  const batchTokens = new Map<string, number>();
  let wastedTokens = 0;
  let preemptions = 0;
  let spareSlotMs = 0;
  let batchSlotMs = 0;
  let nextId = 0;
  let isStepping = false;

  const isOnline = (job: Job): boolean => job.source.serviceClass === 'online';
  const newJob = (source: TrafficSource, tokens: number): Job => {
    const nowMs = clock.monotonic();
    nextId += 1;
    const sample: Sample | undefined =
      source.serviceClass === 'batch'
        ? undefined
        : {
            team: source.team,
            arrivedMs: nowMs,
            tokens,
            firstTokenMs: undefined,
            finishedMs: undefined,
            refusedMs: undefined,
            isInTime: false,
          };
    if (sample !== undefined) samples.push(sample);
    const job: Job = {
      id: `j${nextId}`,
      source,
      tokens,
      deadlineMs: nowMs + source.timeoutMs,
      sample,
      state: 'waiting',
      served: 0,
      admissions: 0,
      lastTokenMs: 0,
    };
    jobs.set(job.id, job);
    return job;
  };

  const enqueue = (job: Job): Effect[] => {
    Object.assign(job, { state: 'waiting' });
    const { team, serviceClass, weight = 1, maxTokens } = job.source;
    const { id, deadlineMs } = job;
    const wasPreempted = job.admissions > 0;
    const work = {
      id,
      team,
      route: 'r',
      serviceClass,
      weight,
      maxTokens,
      deadlineMs,
      wasPreempted,
    };
    return scheduler.enqueue(work, clock.monotonic());
  };

  const startStep = (onToken: (job: Job) => void): void => {
    const decoding = [...admittedJobs].filter(({ state }) => state === 'decoding');
    isStepping = decoding.length > 0;
    if (!isStepping) return;
    const nextStepMs = engine.stepMs + engine.stepMsPerRequest * decoding.length;
    clock.after(nextStepMs, () => {
      decoding.filter(({ state }) => state === 'decoding').forEach(onToken);
      startStep(onToken);
    });
  };

  const startDecoding = (record: Job, admission: number, onToken: (job: Job) => void): void => {
    if (record.state !== 'prefill' || record.admissions !== admission) return;
    record.state = 'decoding';
    if (!isStepping) startStep(onToken);
  };

  const admitQueued = (onToken: (job: Job) => void): void => {
    while (admittedJobs.size < engine.slots) {
      const job = engineQueue.shift();
      if (job === undefined) return;
      admittedJobs.add(job);
      job.state = 'prefill';
      job.admissions += 1;
      const admission = job.admissions;
      const prefillMs = job.served > 0 ? engine.cachedPrefillMs : engine.prefillMs;
      clock.after(prefillMs, () => startDecoding(job, admission, onToken));
    }
  };

  // One object, so that the mutually recursive functions can refer to each other.
  const actions = {
    leaveEngine: (job: Job): void => {
      admittedJobs.delete(job);
      const index = engineQueue.indexOf(job);
      if (index >= 0) engineQueue.splice(index, 1);
      admitQueued(actions.serveToken);
    },
    applyEffects: (effects: readonly Effect[]): void => {
      effects.forEach((effect) => {
        const job = jobs.get(effect.id) as Job;
        if (effect.kind === 'start') {
          job.state = 'queued';
          engineQueue.push(job);
          admitQueued(actions.serveToken);
        }
        if (effect.kind === 'refuse') {
          if (job.sample !== undefined) job.sample.refusedMs = clock.monotonic();
          jobs.delete(job.id);
        }
        if (effect.kind === 'preempt') actions.preempt(job);
      });
    },
    preempt: (record: Job): void => {
      preemptions += 1;
      record.state = 'ended';
      clock.after(engine.cancelMs, () => {
        actions.leaveEngine(record);
        if (!engine.resumesPreemptedWork) {
          wastedTokens += record.served;
          record.served = 0;
        }
        actions.applyEffects(scheduler.finish(record.id, 0, clock.monotonic()));
        actions.applyEffects(enqueue(record));
      });
    },
    serveToken: (record: Job): void => {
      const nowMs = clock.monotonic();
      record.served += 1;
      if (record.sample !== undefined) {
        if (record.sample.firstTokenMs === undefined) record.sample.firstTokenMs = nowMs;
        else tokenGapsMs.push(nowMs - record.lastTokenMs);
        record.lastTokenMs = nowMs;
      }
      if (record.served < record.tokens) return;
      record.state = 'ended';
      actions.leaveEngine(record);
      jobs.delete(record.id);
      const { team } = record.source;
      if (record.sample === undefined) {
        batchTokens.set(team, (batchTokens.get(team) ?? 0) + record.tokens);
      } else {
        record.sample.finishedMs = nowMs;
        record.sample.isInTime = nowMs <= record.deadlineMs;
      }
      actions.applyEffects(scheduler.finish(record.id, record.tokens, nowMs));
      actions.replaceBatchItem(record);
    },
    replaceBatchItem: (ended: Job): void => {
      if (!isOnline(ended)) actions.applyEffects(enqueue(newJob(ended.source, ended.tokens)));
    },
  };

  const startSource = (source: TrafficSource, random: Random): void => {
    // Thinning of a Poisson process: arrivals are drawn at the peak rate, and each is kept with the
    // probability of the current rate over the peak rate.
    const onArrival = (): void => {
      if (clock.monotonic() >= durationMs) return;
      const isAccepted = random() * source.peakRate < source.getRate(clock.monotonic());
      const tokens = source.getTokens(random);
      if (isAccepted) actions.applyEffects(enqueue(newJob(source, tokens)));
      clock.after((-Math.log(1 - random()) * 1000) / source.peakRate, onArrival);
    };
    clock.after((-Math.log(1 - random()) * 1000) / source.peakRate, onArrival);
  };

  options.sources.forEach((source, index) =>
    startSource(source, newSeededRandom(options.seed * 1000 + index)),
  );
  clock.every(TICK_INTERVAL_MS, () => actions.applyEffects(scheduler.tick(clock.monotonic())));
  clock.every(1, () => {
    const online = [...admittedJobs].filter(isOnline).length;
    spareSlotMs += Math.max(0, engine.slots - online);
    batchSlotMs += [...admittedJobs].filter(
      (job) => !isOnline(job) && job.state === 'decoding',
    ).length;
  });
  options.batchTeams.forEach(({ team, tokens }) => {
    const source: TrafficSource = {
      team,
      serviceClass: 'batch',
      getRate: () => 0,
      peakRate: 1,
      getTokens: () => tokens,
      timeoutMs: Infinity,
    };
    // Two items per slot are always waiting or running: each one that ends is replaced.
    for (let index = 0; index < 2 * engine.slots; index += 1) {
      actions.applyEffects(enqueue(newJob(source, tokens)));
    }
  });
  clock.advance(durationMs);
  const resultAtEnd = {
    wastedTokens,
    preemptions,
    spareSlotMs,
    batchSlotMs,
    batchTokens: new Map(batchTokens),
  };
  // Requests that have arrived may still finish after the end of the arrivals.
  clock.advance(DRAIN_PERIOD_MS);
  return { samples, tokenGapsMs, ...resultAtEnd };
};

/** Value below which `percent` of the numbers lie; NaN without numbers. */
export const getPercentile = (numbers: readonly number[], percent: number): number => {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length * percent) / 100))] ?? NaN;
};
