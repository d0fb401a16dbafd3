import { isRetryable, newRetryBudget, type RetryBudget } from '@anvilpaddle/decisions';
import { newSeededRandom, type Random } from '@anvilpaddle/common';

const SEEDS = [1, 2, 3, 4, 5] as const;
const UPSTREAMS = 6;
const SERVICE_MS = 20;
const RUN_MS = 60_000;
const COUNTED_FROM_MS = 1000;
const ATTEMPT_TIMEOUT_MS = 500;
const DEADLINE_MS = 2000;
const FAILURE_MS = 2;
const MAX_ATTEMPTS = 3;
const SHARE = 0.1;
const CAPACITY_PER_MS = UPSTREAMS / SERVICE_MS;

/** What befalls the upstreams, and how much is asked of them against what they can do. */
interface Scenario {
  readonly name: string;
  readonly load: number;
  readonly isFailing: (upstream: number) => boolean;
  /** Factor on the time of service. */
  readonly slowness: (upstream: number) => number;
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'all fail at once', load: 0.5, isFailing: () => true, slowness: () => 1 },
  { name: 'one of 6 fails at once', load: 0.5, isFailing: (u) => u === 0, slowness: () => 1 },
  { name: 'one of 6 is slow', load: 0.5, isFailing: () => false, slowness: (u) => (u ? 1 : 20) },
  { name: 'all are overloaded', load: 1.3, isFailing: () => false, slowness: () => 1 },
];

/** Retries whenever an attempt is left, as many clients do. */
const newNaiveBudget = (): RetryBudget => ({
  deposit: () => undefined,
  tryWithdraw: () => true,
  recordResult: () => undefined,
});

const POLICIES: Readonly<Record<string, () => RetryBudget>> = {
  budget: newRetryBudget,
  'three tries': newNaiveBudget,
};

interface Call {
  readonly atMs: number;
  readonly arrivedMs: number;
  readonly tried: readonly number[];
}

interface Totals {
  requests: number;
  attempts: number;
  answered: number;
}

const getExponential = (random: Random, ratePerMs: number): number =>
  -Math.log(1 - random()) / ratePerMs;

const getArrivals = (scenario: Scenario, random: Random): Call[] => {
  const calls: Call[] = [];
  const ratePerMs = scenario.load * CAPACITY_PER_MS;
  let atMs = getExponential(random, ratePerMs);
  while (atMs < RUN_MS) {
    calls.push({ atMs, arrivedMs: atMs, tried: [] });
    atMs += getExponential(random, ratePerMs);
  }
  return calls;
};

const pickUpstream = (tried: readonly number[], random: Random): number => {
  const left = Array.from({ length: UPSTREAMS }, (_, index) => index).filter(
    (index) => !tried.includes(index),
  );
  return left[Math.floor(random() * left.length)] ?? 0;
};

/** Adds a call in order of time; retries come soon, so that the search from the end is short. */
const insert = (calls: Call[], call: Call): void => {
  let index = calls.length;
  // The list is kept with the latest first.
  while (index > 0 && (calls[index - 1]?.atMs ?? Infinity) < call.atMs) index -= 1;
  calls.splice(index, 0, call);
};

const simulate = (scenario: Scenario, budget: RetryBudget, seed: number): Totals => {
  const random = newSeededRandom(seed);
  const calls = getArrivals(scenario, random).reverse();
  const freeAtMs = new Array<number>(UPSTREAMS).fill(0);
  const totals: Totals = { requests: 0, attempts: 0, answered: 0 };

  /** End of an attempt; a queue is first come, first served, and a timeout cancels the work. */
  const getEnd = (
    upstream: number,
    atMs: number,
  ): { readonly ok: boolean; readonly ms: number } => {
    if (scenario.isFailing(upstream)) return { ok: false, ms: atMs + FAILURE_MS };
    const startMs = Math.max(atMs, freeAtMs[upstream] ?? 0);
    const endMs = startMs + SERVICE_MS * scenario.slowness(upstream);
    const limitMs = atMs + ATTEMPT_TIMEOUT_MS;
    if (startMs < limitMs) freeAtMs[upstream] = Math.min(endMs, limitMs);
    return endMs <= limitMs ? { ok: true, ms: endMs } : { ok: false, ms: limitMs };
  };

  for (let call = calls.pop(); call !== undefined; call = calls.pop()) {
    const counted = call.arrivedMs >= COUNTED_FROM_MS ? 1 : 0;
    const isFirst = call.tried.length === 0;
    if (isFirst) budget.deposit(SHARE);
    // A retry is paid for when it starts.
    if (!isFirst && !budget.tryWithdraw(call.atMs)) continue;
    const upstream = pickUpstream(call.tried, random);
    const end = getEnd(upstream, call.atMs);
    const tried = [...call.tried, upstream];
    if (isFirst) totals.requests += counted;
    totals.attempts += counted;
    if (!isFirst) budget.recordResult(end.ok, end.ms);
    const timeLeftMs = call.arrivedMs + DEADLINE_MS - end.ms;
    const state = {
      idempotent: true,
      attempts: tried.length,
      maxAttempts: MAX_ATTEMPTS,
      timeLeftMs,
    };
    if (end.ok) totals.answered += timeLeftMs >= 0 ? counted : 0;
    else if (isRetryable({ run: 'unknown', answered: false }, state)) {
      insert(calls, { atMs: end.ms, arrivedMs: call.arrivedMs, tried });
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

/** Prints attempts per request and goodput with the budget and with three tries each. */
export const measureRetries = async (): Promise<void> => {
  const rows = SCENARIOS.flatMap((scenario) =>
    Object.entries(POLICIES).map(([policy, newBudget]) => getRow(scenario, policy, newBudget)),
  );
  process.stdout.write(
    `retries: ${UPSTREAMS} upstreams, virtual time, ${RUN_MS / 1000} s a run, ` +
      `counted after the first second, least..most of seeds ${SEEDS.join(', ')}\n`,
  );
  rows.forEach((row) => process.stdout.write(`${Object.values(row).join(' | ')}\n`));
};
