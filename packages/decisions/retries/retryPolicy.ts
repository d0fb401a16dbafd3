import type { RunState } from '@anvilpaddle/protocol';

/** How an attempt ended, as far as the entry knows. */
export interface AttemptOutcome {
  readonly run: RunState;
  /** Whether any byte of the answer has gone to the caller. */
  readonly answered: boolean;
  readonly retryAfterMs?: number | undefined;
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

/** Budget of retries for one entry, a share of its first attempts. */
export interface RetryBudget {
  /** Counts a first attempt. */
  earn(): void;
  /** Takes a retry; false when the budget is spent. */
  spend(): boolean;
}

const INITIAL_RETRIES = 10;
const MAX_RETRIES = 100;

/** Budget that earns a share of a retry with each first attempt. */
export const newRetryBudget = (share: number): RetryBudget => {
  let retries = INITIAL_RETRIES;
  return {
    earn: () => {
      retries = Math.min(MAX_RETRIES, retries + share);
    },
    spend: () => {
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
};
