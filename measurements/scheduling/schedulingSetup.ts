/** Engines, traffic and schedulers that the measurements of the scheduler share. */
import type { Random } from '@anvilpaddle/common';
import { FirstComeScheduler, PreemptiveScheduler, type Scheduler } from '@anvilpaddle/decisions';
import type { EngineModel, TrafficSource } from '../schedulingSimulation';

/** Seeds of the simulations. */
export const SEEDS = [1, 2, 3, 4, 5];
/** Requests that the simulated engine runs at once. */
export const SLOTS = 16;
const MAX_WAIT_MS = 5000;
/** Engine that runs batch work on where it stopped. */
export const ENGINE: EngineModel = {
  slots: SLOTS,
  prefillMs: 60,
  cachedPrefillMs: 10,
  stepMs: 10,
  stepMsPerRequest: 0,
  cancelMs: 2,
  resumesPreemptedWork: true,
};
/** Requests per second that keep all slots busy, at a mean of 60 tokens a response. */
export const CAPACITY = (SLOTS * 1000) / (60 + 60 * 10);

/** Creates the product's scheduler; `overrides` replaces some of its settings. */
export const newProductScheduler = (overrides = {}): PreemptiveScheduler =>
  new PreemptiveScheduler({
    slots: SLOTS,
    reserve: 0,
    getMaxWaitMs: () => MAX_WAIT_MS,
    ...overrides,
  });

/** Creates a function that draws a number of tokens between half and one and a half times the mean. */
export const newTokenSampler =
  (mean: number) =>
  (random: Random): number =>
    Math.max(1, Math.round(mean * (0.5 + random())));

/** Online traffic of a team at a constant rate; `overrides` replaces some of it. */
export const newSource = (
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
export const newBurstyRate = (low: number, high: number): Partial<TrafficSource> => ({
  getRate: (nowMs) => (nowMs % 10_000 < 3000 ? high : low),
  peakRate: high,
});

/** Scheduler under measurement, with what its engine does differently. */
export interface Policy {
  readonly name: string;
  readonly newScheduler: () => Scheduler;
  readonly engine?: Partial<EngineModel>;
}

/** Baseline that serves requests in the order of their arrival. */
export const FIFO: Policy = {
  name: 'first come',
  newScheduler: () => new FirstComeScheduler(SLOTS),
};
/** The product's scheduler as it is. */
export const PRODUCT: Policy = { name: 'ours', newScheduler: () => newProductScheduler() };
