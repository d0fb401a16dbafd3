/** Simulation of retries with and without a retry budget, while upstreams fail or are overloaded. */
import { isRetryable, newRetryBudget, type RetryBudget } from '@anvilpaddle/decisions';
import { newSeededRandom, type Random } from '@anvilpaddle/common';

const SEEDS = [1, 2, 3, 4, 5] as const;
const UPSTREAMS = 6;
const SERVICE_TIME_MS = 20;
const RUN_DURATION_MS = 60_000;
/** Requests that arrive earlier are not counted. */
const COUNTED_FROM_MS = 1000;
const ATTEMPT_TIMEOUT_MS = 500;
const DEADLINE_MS = 2000;
/** Time until an attempt at a failing upstream fails. */
const FAILURE_MS = 2;
const MAX_ATTEMPTS = 3;
/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
const CAPACITY_PER_MS = UPSTREAMS / SERVICE_TIME_MS;

/** Condition of the upstreams, and the load on them. */
interface Scenario {
  readonly name: string;
  /** Arriving requests as a fraction of the capacity. */
  readonly load: number;
  readonly isFailing: (upstream: number) => boolean;
  /** Factor on the service time. */
  readonly serviceTimeFactor: (upstream: number) => number;
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'all fail at once', load: 0.5, isFailing: () => true, serviceTimeFactor: () => 1 },
  {
    name: 'one of 6 fails at once',
    load: 0.5,
    isFailing: (u) => u === 0,
    serviceTimeFactor: () => 1,
  },
  {
    name: 'one of 6 is slow',
    load: 0.5,
    isFailing: () => false,
    serviceTimeFactor: (u) => (u ? 1 : 20),
  },
  { name: 'all are overloaded', load: 1.3, isFailing: () => false, serviceTimeFactor: () => 1 },
];

/** Baseline that permits every retry up to the maximum number of attempts, as many clients do. */
const newUnlimitedBudget = (): RetryBudget => ({
  deposit: () => undefined,
  tryWithdraw: () => true,
  recordResult: () => undefined,
});

const POLICIES: Readonly<Record<string, () => RetryBudget>> = {
  budget: newRetryBudget,
  'three tries': newUnlimitedBudget,
};

/** Attempt that has not started yet. */
interface PendingAttempt {
  /** Time at which the attempt is due. */
  readonly atMs: number;
  /** Time at which the request arrived. */
  readonly arrivedMs: number;
  /** Upstreams of the earlier attempts. */
  readonly tried: readonly number[];
}

/** Counts of one run. */
interface Totals {
  requests: number;
  attempts: number;
  answered: number;
}

const newExponentialDelay = (random: Random, ratePerMs: number): number =>
  -Math.log(1 - random()) / ratePerMs;

const newArrivals = (scenario: Scenario, random: Random): PendingAttempt[] => {
  const pending: PendingAttempt[] = [];
  const ratePerMs = scenario.load * CAPACITY_PER_MS;
  let atMs = newExponentialDelay(random, ratePerMs);
  while (atMs < RUN_DURATION_MS) {
    pending.push({ atMs, arrivedMs: atMs, tried: [] });
    atMs += newExponentialDelay(random, ratePerMs);
  }
  return pending;
};

const pickUpstream = (tried: readonly number[], random: Random): number => {
  const untried = Array.from({ length: UPSTREAMS }, (_, index) => index).filter(
    (index) => !tried.includes(index),
  );
  return untried[Math.floor(random() * untried.length)] ?? 0;
};

/**
 * Inserts an attempt in order of time. A retry is due soon, so the search from the end of the list is
 * short.
 */
const insertByTime = (pending: PendingAttempt[], attempt: PendingAttempt): void => {
  let index = pending.length;
  // The list is sorted with the latest attempt first.
  while (index > 0 && (pending[index - 1]?.atMs ?? Infinity) < attempt.atMs) index -= 1;
  pending.splice(index, 0, attempt);
};

/** Runs one scenario in simulated time. */
const simulate = (scenario: Scenario, budget: RetryBudget, seed: number): Totals => {
  const random = newSeededRandom(seed);
  const pending = newArrivals(scenario, random).reverse();
  const freeAtMs = new Array<number>(UPSTREAMS).fill(0);
  const totals: Totals = { requests: 0, attempts: 0, answered: 0 };

  /** Result and end of an attempt. Upstreams serve in order of arrival, and a timeout cancels the work. */
  const finishAttempt = (
    upstream: number,
    atMs: number,
  ): { readonly ok: boolean; readonly ms: number } => {
    if (scenario.isFailing(upstream)) return { ok: false, ms: atMs + FAILURE_MS };
    const startMs = Math.max(atMs, freeAtMs[upstream] ?? 0);
    const endMs = startMs + SERVICE_TIME_MS * scenario.serviceTimeFactor(upstream);
    const timeoutAtMs = atMs + ATTEMPT_TIMEOUT_MS;
    if (startMs < timeoutAtMs) freeAtMs[upstream] = Math.min(endMs, timeoutAtMs);
    return endMs <= timeoutAtMs ? { ok: true, ms: endMs } : { ok: false, ms: timeoutAtMs };
  };

  for (let attempt = pending.pop(); attempt !== undefined; attempt = pending.pop()) {
    const countIncrement = attempt.arrivedMs >= COUNTED_FROM_MS ? 1 : 0;
    const isFirst = attempt.tried.length === 0;
    if (isFirst) budget.deposit(RETRIES_PER_REQUEST);
    // A retry is charged to the budget when it starts.
    if (!isFirst && !budget.tryWithdraw(attempt.atMs)) continue;
    const upstream = pickUpstream(attempt.tried, random);
    const end = finishAttempt(upstream, attempt.atMs);
    const tried = [...attempt.tried, upstream];
    if (isFirst) totals.requests += countIncrement;
    totals.attempts += countIncrement;
    if (!isFirst) budget.recordResult(end.ok, end.ms);
    const timeLeftMs = attempt.arrivedMs + DEADLINE_MS - end.ms;
    const state = {
      idempotent: true,
      attempts: tried.length,
      maxAttempts: MAX_ATTEMPTS,
      timeLeftMs,
    };
    if (end.ok) totals.answered += timeLeftMs >= 0 ? countIncrement : 0;
    else if (isRetryable({ run: 'unknown', answered: false }, state)) {
      insertByTime(pending, { atMs: end.ms, arrivedMs: attempt.arrivedMs, tried });
    }
  }
  return totals;
};

const getRange = (values: readonly number[]): string =>
  `${Math.min(...values).toFixed(3)}..${Math.max(...values).toFixed(3)}`;

const getRow = (scenario: Scenario, policy: string, newBudget: () => RetryBudget) => {
  const runs = SEEDS.map((seed) => simulate(scenario, newBudget(), seed));
  return {
    scenario: scenario.name,
    policy,
    'attempts/request': getRange(runs.map(({ attempts, requests }) => attempts / requests)),
    'answered in time': getRange(runs.map(({ answered, requests }) => answered / requests)),
  };
};

/** Prints attempts per request and goodput with the budget and with up to three attempts without one. */
export const measureRetries = async (): Promise<void> => {
  const rows = SCENARIOS.flatMap((scenario) =>
    Object.entries(POLICIES).map(([policy, newBudget]) => getRow(scenario, policy, newBudget)),
  );
  process.stdout.write(
    `retries: ${UPSTREAMS} upstreams, virtual time, ${RUN_DURATION_MS / 1000} s a run, ` +
      `counted after the first second, least..most of seeds ${SEEDS.join(', ')}\n`,
  );
  rows.forEach((row) => process.stdout.write(`${Object.values(row).join(' | ')}\n`));
};
