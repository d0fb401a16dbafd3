import { ManualClock, newSeededRandom, type Random, type ServiceClass } from '@anvilpaddle/common';
import type { Effect, Scheduler } from '@anvilpaddle/decisions';

const TICK_MS = 50;
const DRAIN_MS = 15_000;

/** Model of an engine with continuous batching; times in milliseconds. */
export interface EngineModel {
  /** Requests decoded together; more wait in the engine's own queue. */
  readonly slots: number;
  readonly prefillMs: number;
  /** Prefill of work whose prefix is still cached. */
  readonly cachedPrefillMs: number;
  readonly stepMs: number;
  /** What each decoded request adds to a step. */
  readonly stepMsPerRequest: number;
  /** Time until a cancelled request has left and its owner knows. */
  readonly cancelMs: number;
  /** Whether preempted batch work goes on after the tokens that it has. */
  readonly resumesPreemptedWork: boolean;
}

/** Stream of one team's requests. */
export interface TrafficSource {
  readonly team: string;
  readonly serviceClass: ServiceClass;
  /** Requests a second at a time since the start, in milliseconds. */
  readonly getRate: (nowMs: number) => number;
  /** Highest value of `getRate`. */
  readonly peakRate: number;
  /** Tokens of an answer. */
  readonly getTokens: (random: Random) => number;
  readonly maxTokens?: number;
  readonly timeoutMs: number;
  readonly weight?: number;
}

/** What came of one online request. */
export interface Sample {
  readonly team: string;
  readonly arrivedMs: number;
  readonly tokens: number;
  firstTokenMs: number | undefined;
  finishedMs: number | undefined;
  refusedMs: number | undefined;
  isInTime: boolean;
}

/** Record of one drive. */
export interface SimulationResult {
  readonly samples: readonly Sample[];
  /** Times between tokens of online requests. */
  readonly tokenGapsMs: readonly number[];
  /** Tokens of batch items that were finished, by team. */
  readonly batchTokens: ReadonlyMap<string, number>;
  /** Tokens that batch items had to generate again. */
  readonly wastedTokens: number;
  readonly preemptions: number;
  /** Slot-milliseconds that online work left. */
  readonly spareSlotMs: number;
  /** Slot-milliseconds that batch work held a decoding slot. */
  readonly batchSlotMs: number;
}

interface Job {
  readonly id: string;
  readonly source: TrafficSource;
  readonly tokens: number;
  readonly deadlineMs: number;
  readonly sample: Sample | undefined;
  state: 'waiting' | 'queued' | 'prefill' | 'decoding' | 'ended';
  served: number;
  /** Times that the engine has admitted it. */
  admissions: number;
  lastTokenMs: number;
}

/** What is driven. */
export interface SimulationOptions {
  readonly engine: EngineModel;
  readonly newScheduler: () => Scheduler;
  readonly sources: readonly TrafficSource[];
  /** Batch items kept at hand for each team. */
  readonly batchTeams: readonly { readonly team: string; readonly tokens: number }[];
  readonly durationMs: number;
  readonly seed: number;
}

/** Drives a scheduler before a model of an engine in simulated time; the same seed gives the same arrivals. */
export const simulateScheduling = (setup: SimulationOptions): SimulationResult => {
  const { engine, durationMs } = setup;
  const clock = new ManualClock();
  const scheduler = setup.newScheduler();
  const jobs = new Map<string, Job>();
  const engineQueue: Job[] = [];
  const atEngine = new Set<Job>();
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

  const submit = (job: Job): Effect[] => {
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

  const step = (serve: (job: Job) => void): void => {
    const decoding = [...atEngine].filter(({ state }) => state === 'decoding');
    isStepping = decoding.length > 0;
    if (!isStepping) return;
    const nextStepMs = engine.stepMs + engine.stepMsPerRequest * decoding.length;
    clock.after(nextStepMs, () => {
      decoding.filter(({ state }) => state === 'decoding').forEach(serve);
      step(serve);
    });
  };

  const startDecoding = (record: Job, admission: number, serve: (job: Job) => void): void => {
    if (record.state !== 'prefill' || record.admissions !== admission) return;
    record.state = 'decoding';
    if (!isStepping) step(serve);
  };

  const admit = (serve: (job: Job) => void): void => {
    while (atEngine.size < engine.slots) {
      const job = engineQueue.shift();
      if (job === undefined) return;
      atEngine.add(job);
      job.state = 'prefill';
      job.admissions += 1;
      const admission = job.admissions;
      const prefillMs = job.served > 0 ? engine.cachedPrefillMs : engine.prefillMs;
      clock.after(prefillMs, () => startDecoding(job, admission, serve));
    }
  };

  const act = {
    leaveEngine: (job: Job): void => {
      atEngine.delete(job);
      const index = engineQueue.indexOf(job);
      if (index >= 0) engineQueue.splice(index, 1);
      admit(act.serveToken);
    },
    carryOut: (effects: readonly Effect[]): void => {
      effects.forEach((effect) => {
        const job = jobs.get(effect.id) as Job;
        if (effect.kind === 'start') {
          job.state = 'queued';
          engineQueue.push(job);
          admit(act.serveToken);
        }
        if (effect.kind === 'refuse') {
          if (job.sample !== undefined) job.sample.refusedMs = clock.monotonic();
          jobs.delete(job.id);
        }
        if (effect.kind === 'preempt') act.preempt(job);
      });
    },
    preempt: (record: Job): void => {
      preemptions += 1;
      record.state = 'ended';
      clock.after(engine.cancelMs, () => {
        act.leaveEngine(record);
        if (!engine.resumesPreemptedWork) {
          wastedTokens += record.served;
          record.served = 0;
        }
        act.carryOut(scheduler.finish(record.id, 0, clock.monotonic()));
        act.carryOut(submit(record));
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
      act.leaveEngine(record);
      jobs.delete(record.id);
      const { team } = record.source;
      if (record.sample === undefined) {
        batchTokens.set(team, (batchTokens.get(team) ?? 0) + record.tokens);
      } else {
        record.sample.finishedMs = nowMs;
        record.sample.isInTime = nowMs <= record.deadlineMs;
      }
      act.carryOut(scheduler.finish(record.id, record.tokens, nowMs));
      act.refillBatch(record);
    },
    refillBatch: (done: Job): void => {
      if (!isOnline(done)) act.carryOut(submit(newJob(done.source, done.tokens)));
    },
  };

  const startSource = (source: TrafficSource, random: Random): void => {
    // Thinning: candidates at the peak rate, kept in proportion to the rate of the moment.
    const arrive = (): void => {
      if (clock.monotonic() >= durationMs) return;
      const isKept = random() * source.peakRate < source.getRate(clock.monotonic());
      const tokens = source.getTokens(random);
      if (isKept) act.carryOut(submit(newJob(source, tokens)));
      clock.after((-Math.log(1 - random()) * 1000) / source.peakRate, arrive);
    };
    clock.after((-Math.log(1 - random()) * 1000) / source.peakRate, arrive);
  };

  setup.sources.forEach((source, index) =>
    startSource(source, newSeededRandom(setup.seed * 1000 + index)),
  );
  clock.every(TICK_MS, () => act.carryOut(scheduler.tick(clock.monotonic())));
  clock.every(1, () => {
    const online = [...atEngine].filter(isOnline).length;
    spareSlotMs += Math.max(0, engine.slots - online);
    batchSlotMs += [...atEngine].filter((job) => !isOnline(job) && job.state === 'decoding').length;
  });
  setup.batchTeams.forEach(({ team, tokens }) => {
    const source: TrafficSource = {
      team,
      serviceClass: 'batch',
      getRate: () => 0,
      peakRate: 1,
      getTokens: () => tokens,
      timeoutMs: Infinity,
    };
    // Enough at hand for every slot; each that ends is followed by the next.
    for (let index = 0; index < 2 * engine.slots; index += 1) {
      act.carryOut(submit(newJob(source, tokens)));
    }
  });
  clock.advance(durationMs);
  const atEnd = {
    wastedTokens,
    preemptions,
    spareSlotMs,
    batchSlotMs,
    batchTokens: new Map(batchTokens),
  };
  // What has arrived may still be answered.
  clock.advance(DRAIN_MS);
  return { samples, tokenGapsMs, ...atEnd };
};

/** Value below which so many per cent of the numbers lie. */
export const getPercentile = (numbers: readonly number[], percent: number): number => {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length * percent) / 100))] ?? NaN;
};
