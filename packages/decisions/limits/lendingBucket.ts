/** Token bucket of one holder, which lends tokens to other entry processes. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import { LOAN_LIFETIME_MS } from './constants';
import type { RateLimit } from './tokenBucket';

/** Tokens lent, and when it is worth asking again. */
export interface Loan {
  readonly id: string;
  readonly granted: number;
  readonly retryAfterMs: number;
}

/**
 * Bucket with one holder's share of a team's rate and burst. Its level and its open loans together
 * do not exceed its share of the burst; only loans made before the share shrank can. Times are
 * monotonic milliseconds.
 */
export interface LendingBucket {
  /** Changes the share. Tokens beyond the new burst are lost, and no tokens are added. */
  setShare(share: RateLimit, nowMs: number): void;
  /** Tokens in the bucket. */
  level(nowMs: number): number;
  /** Takes tokens for a request of this process; the level must be high enough. */
  take(amount: number, nowMs: number): void;
  /**
   * Lends the tokens that requests are waiting for (`need`), and at most half of the remaining level
   * for requests that are only expected (`extra`).
   */
  lend(need: number, extra: number, nowMs: number): Loan;
  /** Closes a loan and takes back its unspent tokens; does nothing if the loan is already over. */
  closeLoan(id: string, unspent: number, nowMs: number): void;
  /** Adds tokens from another holder, up to the share of the burst. */
  deposit(amount: number, nowMs: number): void;
  /** Whether open loans take up a large fraction of the share. */
  isHeavilyLent(): boolean;
  /** Whether the share is full and nothing is lent, as in a bucket that was never used. */
  isFull(nowMs: number): boolean;
}

/** Fraction of the burst above which the lent tokens make the bucket heavily lent. */
const HEAVILY_LENT_FRACTION = 0.25;
const MAX_RETRY_AFTER_MS = 1000;
/** Lower bound on the rate in divisions by it. */
const MIN_RATE_PER_SECOND = 1e-6;

/** Empty bucket; `newLoanId` must return IDs that no earlier process at this address has used. */
export const newLendingBucket = (startMs: number, newLoanId: () => string): LendingBucket => {
  const loans = new Map<string, { readonly amount: number; readonly expiresMs: number }>();
  let share: RateLimit = { rate: 0, burst: 0 };
  let level = 0;
  let lent = 0;
  /** Tokens that borrowers asked for and were told to retry for. */
  let backlog = 0;
  let updatedMs = startMs;

  const refillUntil = (untilMs: number): void => {
    if (untilMs <= updatedMs) return;
    const gained = ((untilMs - updatedMs) * share.rate) / MS_PER_SECOND;
    level = Math.max(level, Math.min(share.burst - lent, level + gained));
    backlog = Math.max(0, backlog - gained);
    updatedMs = untilMs;
  };

  const removeLoan = (id: string, amount: number): void => {
    loans.delete(id);
    lent = loans.size === 0 ? 0 : lent - amount;
  };

  /**
   * Refills up to each loan's expiry in turn, because the part of the burst that a loan occupies can
   * only be refilled from its expiry on.
   */
  const refill = (nowMs: number): void => {
    for (const [id, loan] of loans) {
      if (loan.expiresMs > nowMs) break;
      refillUntil(loan.expiresMs);
      removeLoan(id, loan.amount);
    }
    refillUntil(nowMs);
  };

  const capLevel = (): void => {
    level = Math.max(0, Math.min(level, share.burst - lent));
  };

  return {
    setShare: (next, nowMs) => {
      if (next.rate === share.rate && next.burst === share.burst) return;
      // The share may have changed at any time since the last refill, so the time since then is
      // refilled with the smaller of both rates, which never adds too much.
      share = { rate: Math.min(share.rate, next.rate), burst: Math.min(share.burst, next.burst) };
      capLevel();
      refill(nowMs);
      share = next;
      capLevel();
    },
    level: (nowMs) => {
      refill(nowMs);
      return level;
    },
    take: (amount, nowMs) => {
      refill(nowMs);
      level = Math.max(0, level - amount);
    },
    lend: (need, extra, nowMs) => {
      refill(nowMs);
      const needed = Math.min(level, need);
      const granted = needed + Math.min(extra, (level - needed) / 2);
      const id = newLoanId();
      if (granted > 0) {
        level -= granted;
        lent += granted;
        loans.set(id, { amount: granted, expiresMs: nowMs + LOAN_LIFETIME_MS });
      }
      backlog = Math.min(
        backlog + need - needed,
        (share.rate * MAX_RETRY_AFTER_MS) / MS_PER_SECOND,
      );
      if (needed >= need) return { id, granted, retryAfterMs: 0 };
      // Earlier borrowers were told to retry too: this one's tokens are refilled after theirs.
      const retryAfterMs = (backlog * MS_PER_SECOND) / Math.max(share.rate, MIN_RATE_PER_SECOND);
      return { id, granted, retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, retryAfterMs) };
    },
    closeLoan: (id, unspent, nowMs) => {
      refill(nowMs);
      const loan = loans.get(id);
      if (loan === undefined) return;
      removeLoan(id, loan.amount);
      level += Math.min(unspent, loan.amount);
      capLevel();
    },
    deposit: (amount, nowMs) => {
      refill(nowMs);
      level = Math.max(level, Math.min(share.burst - lent, level + amount));
    },
    isHeavilyLent: () => lent > share.burst * HEAVILY_LENT_FRACTION,
    isFull: (nowMs) => {
      refill(nowMs);
      return loans.size === 0 && level >= share.burst;
    },
  };
};
