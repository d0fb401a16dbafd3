import type { RunState } from '@anvilpaddle/protocol';

/** How an attempt ended, as far as the entry knows. */
export interface AttemptOutcome {
  readonly run: RunState;
  /** Whether any byte of the answer has gone to the caller and the rest can't be had elsewhere. */
  readonly answered: boolean;
}

/** Facts of the request that bear on another attempt. */
export interface RetryState {
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly maxAttempts: number;
  readonly timeLeftMs: number;
}

/** Whether another attempt is safe and worth it; the budget is asked separately. */
export const isRetryable = (outcome: AttemptOutcome, state: RetryState): boolean => {
  if (outcome.answered) return false;
  if (state.attempts >= state.maxAttempts) return false;
  if (state.timeLeftMs <= 0) return false;
  return outcome.run === 'not_run' || state.idempotent;
};

const RUN_ORDER: Readonly<Record<RunState, number>> = { not_run: 0, unknown: 1, ran: 2 };

/** What is true of a request after two attempts: it ran if either ran. */
export const getCombinedRunState = (first: RunState, second: RunState): RunState =>
  RUN_ORDER[first] >= RUN_ORDER[second] ? first : second;

/** Budget of retries of one group of upstreams at one entry; times are monotonic milliseconds. */
export interface RetryBudget {
  /** Counts a first attempt, which earns a share of a retry. */
  deposit(share: number): void;
  /** Takes a retry; false when the budget is spent. */
  tryWithdraw(nowMs: number): boolean;
  /** Tells how a retry ended. */
  recordResult(succeeded: boolean, nowMs: number): void;
}

const RESERVE_RETRIES = 10;
const FAILING_AFTER_MS = 500;
const FAILING_SHARE = 0.5;
const SUCCESS_REFUND = 0.5;

/**
 * Budget with a small reserve for isolated failures. Retries that keep failing show that another
 * upstream is no better: the reserve is then given up, and half of the share is left, so that
 * the whole share holds over every stretch of 20 requests and more. A retry that succeeds gives half
 * of its price back, so that the loss of a few upstreams of many does not use up the budget.
 */
export const newRetryBudget = (): RetryBudget => {
  let retries = RESERVE_RETRIES;
  let failingSinceMs: number | undefined;
  let isReserveLost = false;

  const loseReserve = (nowMs: number): void => {
    if (failingSinceMs === undefined || isReserveLost) return;
    if (nowMs - failingSinceMs < FAILING_AFTER_MS) return;
    isReserveLost = true;
    retries = 0;
  };

  return {
    deposit: (share) => {
      const earned = isReserveLost ? share * FAILING_SHARE : share;
      retries = Math.min(RESERVE_RETRIES, retries + earned);
    },
    tryWithdraw: (nowMs) => {
      loseReserve(nowMs);
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
    recordResult: (succeeded, nowMs) => {
      if (succeeded) {
        failingSinceMs = undefined;
        isReserveLost = false;
        retries = Math.min(RESERVE_RETRIES, retries + SUCCESS_REFUND);
        return;
      }
      failingSinceMs ??= nowMs;
      loseReserve(nowMs);
    },
  };
};
