/** Whether a request may be retried, and the budget that bounds the retries. */
import type { RunState } from '@anvilpaddle/protocol';

/** How an attempt ended, as far as its sender knows. */
export interface AttemptOutcome {
  /** Whether the request ran at the upstream. */
  readonly run: RunState;
  /**
   * Whether the caller has received a part of the response that no other upstream can continue.
   */
  readonly answered: boolean;
}

/** State of a request that decides on another attempt. */
export interface RetryState {
  readonly idempotent: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Time left for another attempt. */
  readonly timeLeftMs: number;
}

/** Whether another attempt is safe and still possible; the retry budget is checked separately. */
export const isRetryable = (outcome: AttemptOutcome, state: RetryState): boolean => {
  if (outcome.answered) return false;
  if (state.attempts >= state.maxAttempts) return false;
  if (state.timeLeftMs <= 0) return false;
  return outcome.run === 'not_run' || state.idempotent;
};

const RUN_STATE_RANK: Readonly<Record<RunState, number>> = { not_run: 0, unknown: 1, ran: 2 };

/** Run state of a request after two attempts: it ran if either attempt ran. */
export const getCombinedRunState = (first: RunState, second: RunState): RunState =>
  RUN_STATE_RANK[first] >= RUN_STATE_RANK[second] ? first : second;

/**
 * Budget for retries at one group of upstreams, kept by one entry process. Times are monotonic
 * milliseconds.
 */
export interface RetryBudget {
  /** Records a first attempt, which adds a fraction of a retry to the budget. */
  deposit(fraction: number): void;
  /** Takes one retry from the budget; returns false when less than one is left. */
  tryWithdraw(nowMs: number): boolean;
  /** Records whether a retry succeeded. */
  recordResult(succeeded: boolean, nowMs: number): void;
}

/** Retries in a new budget, which are also the most that it can hold. */
const MAX_BUDGETED_RETRIES = 10;
/** Time without a successful retry, from the first failed one, after which the reserve is dropped. */
const SUSTAINED_FAILURE_MS = 500;
/** Fraction of each deposit that counts once the reserve is dropped. */
const SUSTAINED_FAILURE_DEPOSIT_FRACTION = 0.5;
/** Fraction of a retry that a successful retry adds back to the budget. */
const SUCCESS_REFUND = 0.5;

/**
 * Budget with a small reserve for isolated failures. Retries that keep failing show that the other
 * upstreams are no better. The reserve is then dropped and each deposit counts only half, so that
 * retries stay within the full fraction over any sequence of 20 or more requests. A successful retry
 * refunds half of its cost, so that the loss of a few upstreams out of many does not exhaust the
 * budget.
 */
export const newRetryBudget = (): RetryBudget => {
  let retriesLeft = MAX_BUDGETED_RETRIES;
  let failingSinceMs: number | undefined;
  let isReserveDropped = false;

  const dropReserve = (nowMs: number): void => {
    if (failingSinceMs === undefined || isReserveDropped) return;
    if (nowMs - failingSinceMs < SUSTAINED_FAILURE_MS) return;
    isReserveDropped = true;
    retriesLeft = 0;
  };

  return {
    deposit: (fraction) => {
      const deposited = isReserveDropped ? fraction * SUSTAINED_FAILURE_DEPOSIT_FRACTION : fraction;
      retriesLeft = Math.min(MAX_BUDGETED_RETRIES, retriesLeft + deposited);
    },
    tryWithdraw: (nowMs) => {
      dropReserve(nowMs);
      if (retriesLeft < 1) return false;
      retriesLeft -= 1;
      return true;
    },
    recordResult: (succeeded, nowMs) => {
      if (succeeded) {
        failingSinceMs = undefined;
        isReserveDropped = false;
        retriesLeft = Math.min(MAX_BUDGETED_RETRIES, retriesLeft + SUCCESS_REFUND);
        return;
      }
      failingSinceMs ??= nowMs;
      dropReserve(nowMs);
    },
  };
};
