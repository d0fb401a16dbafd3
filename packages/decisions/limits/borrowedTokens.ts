/** Tokens that an entry process has borrowed from the holders of a team's tokens. */
import { BORROWED_TOKEN_LIFETIME_MS, TOKEN_TOLERANCE } from './constants';

interface BorrowedLoan {
  readonly holder: string;
  readonly loan: string;
  amount: number;
  readonly expiresMs: number;
}

/** Unspent rest of a loan that is to be returned to its holder. */
export interface LoanRemainder {
  readonly holder: string;
  /** ID of the loan. */
  readonly loan: string;
  readonly amount: number;
}

/** Tokens of one team that an entry process has borrowed; times are monotonic milliseconds. */
export interface BorrowedTokens {
  /** Tokens that can be spent. */
  total(nowMs: number): number;
  /** Adds a loan that was asked for at `askedMs`; one that arrives too late is closed at once. */
  credit(holder: string, loan: string, amount: number, askedMs: number, nowMs: number): void;
  /** Spends at most the amount, oldest loans first, and returns the number of tokens spent. */
  spend(amount: number, nowMs: number): number;
  /** IDs of a holder's loans that are used up or expired; each is returned once. */
  takeClosedLoans(holder: string): string[];
  /** Removes loans that were asked for at least `ageMs` ago and returns what is left of them. */
  takeRemainders(ageMs: number, nowMs: number): LoanRemainder[];
  /** Whether no loan is open. */
  isEmpty(): boolean;
  hasClosedLoans(holder: string): boolean;
}

const MAX_CLOSED_LOANS_PER_HOLDER = 64;

/** Borrowed tokens of a process that has borrowed nothing yet. */
export const newBorrowedTokens = (): BorrowedTokens => {
  const closed = new Map<string, string[]>();
  let loans: BorrowedLoan[] = [];

  const recordClosed = ({ holder, loan }: BorrowedLoan): void => {
    const known = closed.get(holder) ?? [];
    if (known.length < MAX_CLOSED_LOANS_PER_HOLDER) known.push(loan);
    closed.set(holder, known);
  };

  const closeWhere = (isOver: (loan: BorrowedLoan) => boolean): void => {
    if (!loans.some(isOver)) return;
    loans.filter(isOver).forEach(recordClosed);
    loans = loans.filter((loan) => !isOver(loan));
  };

  const expire = (nowMs: number): void => closeWhere(({ expiresMs }) => expiresMs <= nowMs);

  return {
    total: (nowMs) => {
      expire(nowMs);
      return loans.reduce((sum, { amount }) => sum + amount, 0);
    },
    credit: (holder, loan, amount, askedMs, nowMs) => {
      if (amount <= 0) return;
      loans.push({ holder, loan, amount, expiresMs: askedMs + BORROWED_TOKEN_LIFETIME_MS });
      expire(nowMs);
    },
    spend: (amount, nowMs) => {
      expire(nowMs);
      let missing = amount;
      loans.forEach((loan) => {
        const spent = Math.min(loan.amount, missing);
        // eslint-disable-next-line no-param-reassign -- the loans belong to this object
        loan.amount -= spent;
        missing -= spent;
      });
      closeWhere((loan) => loan.amount <= TOKEN_TOLERANCE);
      return amount - missing;
    },
    takeClosedLoans: (holder) => {
      const ids = closed.get(holder) ?? [];
      closed.delete(holder);
      return ids;
    },
    takeRemainders: (ageMs, nowMs) => {
      expire(nowMs);
      const isOld = ({ expiresMs }: BorrowedLoan): boolean =>
        expiresMs - BORROWED_TOKEN_LIFETIME_MS + ageMs <= nowMs;
      const old = loans.filter(isOld);
      loans = loans.filter((loan) => !isOld(loan));
      return old;
    },
    hasClosedLoans: (holder) => closed.has(holder),
    isEmpty: () => loans.length === 0,
  };
};
