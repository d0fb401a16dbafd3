import { MS_PER_SECOND } from '@anvilpaddle/common';
import { LOAN_LIFETIME_MS } from './constants';
import type { RateLimit } from './tokenBucket';

/** Tokens lent and when to ask again. */
export interface Loan {
  readonly id: string;
  readonly granted: number;
  readonly retryAfterMs: number;
}

/**
 * One entry's share of a team's bucket. What it holds and what it has lent and not heard of since
 * never exceed its share of the burst together; times are monotonic milliseconds.
 */
export interface LendingBucket {
  /** Changes the share. What was saved is cut to the new one; nothing is gained by it. */
  setShare(share: RateLimit, nowMs: number): void;
  level(nowMs: number): number;
  /** Takes tokens for a request of this entry; the level must suffice. */
  take(amount: number, nowMs: number): void;
  /** Debits what waits, and at most half of the rest for what is only welcome. */
  lend(need: number, extra: number, nowMs: number): Loan;
  /** Ends a loan of which `unspent` comes back; a loan that is over already is left so. */
  closeLoan(loan: string, unspent: number, nowMs: number): void;
  /** Takes in tokens of another holder as far as there is room. */
  deposit(amount: number, nowMs: number): void;
  /** Whether loans take up much of the share. */
  isHeavilyLent(): boolean;
  /** Whether the share is full and nothing is lent, as if it had never been used. */
  isFull(nowMs: number): boolean;
}

const TIGHT_PART = 0.25;
const MAX_RETRY_MS = 1000;
const SMALLEST_RATE = 1e-6;

/** Share that starts empty; `newLoanId` gives ids that no other life of this entry has given. */
export const newLendingBucket = (startMs: number, newLoanId: () => string): LendingBucket => {
  const loans = new Map<string, { readonly amount: number; readonly expiresMs: number }>();
  let share: RateLimit = { rate: 0, burst: 0 };
  let level = 0;
  let lent = 0;
  let backlog = 0;
  let updatedMs = startMs;

  const refillUntil = (untilMs: number): void => {
    if (untilMs <= updatedMs) return;
    const gained = ((untilMs - updatedMs) * share.rate) / MS_PER_SECOND;
    level = Math.max(level, Math.min(share.burst - lent, level + gained));
    backlog = Math.max(0, backlog - gained);
    updatedMs = untilMs;
  };

  const endLoan = (id: string, amount: number): void => {
    loans.delete(id);
    lent = loans.size === 0 ? 0 : lent - amount;
  };

  /** Room that a loan takes is free only from its end, so the refill goes from end to end. */
  const refill = (nowMs: number): void => {
    for (const [id, loan] of loans) {
      if (loan.expiresMs > nowMs) break;
      refillUntil(loan.expiresMs);
      endLoan(id, loan.amount);
    }
    refillUntil(nowMs);
  };

  const cut = (): void => {
    level = Math.max(0, Math.min(level, share.burst - lent));
  };

  return {
    setShare: (next, nowMs) => {
      if (next.rate === share.rate && next.burst === share.burst) return;
      // The change may have come at any time since the last refill: the smaller rate is safe.
      share = { rate: Math.min(share.rate, next.rate), burst: Math.min(share.burst, next.burst) };
      cut();
      refill(nowMs);
      share = next;
      cut();
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
      backlog = Math.min(backlog + need - needed, (share.rate * MAX_RETRY_MS) / MS_PER_SECOND);
      if (needed >= need) return { id, granted, retryAfterMs: 0 };
      // Others were told to come back as well; the token after theirs is this one's.
      const retryAfterMs = (backlog * MS_PER_SECOND) / Math.max(share.rate, SMALLEST_RATE);
      return { id, granted, retryAfterMs: Math.min(MAX_RETRY_MS, retryAfterMs) };
    },
    closeLoan: (id, unspent, nowMs) => {
      refill(nowMs);
      const loan = loans.get(id);
      if (loan === undefined) return;
      endLoan(id, loan.amount);
      level += Math.min(unspent, loan.amount);
      cut();
    },
    deposit: (amount, nowMs) => {
      refill(nowMs);
      level = Math.max(level, Math.min(share.burst - lent, level + amount));
    },
    isHeavilyLent: () => lent > share.burst * TIGHT_PART,
    isFull: (nowMs) => {
      refill(nowMs);
      return loans.size === 0 && level >= share.burst;
    },
  };
};
