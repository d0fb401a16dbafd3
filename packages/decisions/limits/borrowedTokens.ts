import { BORROWED_TOKEN_LIFETIME_MS, TOKEN_TOLERANCE } from './constants';

interface Grant {
  readonly holder: string;
  readonly loan: string;
  amount: number;
  readonly expiresMs: number;
}

/** What is left of a loan that is to go back to its holder. */
export interface LoanRemainder {
  readonly holder: string;
  readonly loan: string;
  readonly amount: number;
}

/** Tokens of one team that an entry has borrowed; times are monotonic milliseconds. */
export interface BorrowedTokens {
  total(nowMs: number): number;
  /** Credits a loan that was asked for at a time; a loan that came too late is not credited. */
  credit(holder: string, loan: string, amount: number, askedMs: number, nowMs: number): void;
  /** Spends at most the amount, oldest first; gives what was spent. */
  spend(amount: number, nowMs: number): number;
  /** Loans of a holder of which nothing is left; each is given once. */
  takeClosedLoans(holder: string): string[];
  /** Takes out what is older than an age and has not been spent. */
  takeRemainders(ageMs: number, nowMs: number): LoanRemainder[];
  isEmpty(): boolean;
  hasClosedLoans(holder: string): boolean;
}

const MAX_CLOSED = 64;

/** Empty purse. */
export const newBorrowedTokens = (): BorrowedTokens => {
  const closed = new Map<string, string[]>();
  let grants: Grant[] = [];

  const close = ({ holder, loan }: Grant): void => {
    const known = closed.get(holder) ?? [];
    if (known.length < MAX_CLOSED) known.push(loan);
    closed.set(holder, known);
  };

  const dropWhere = (isOver: (grant: Grant) => boolean): void => {
    if (!grants.some(isOver)) return;
    grants.filter(isOver).forEach(close);
    grants = grants.filter((grant) => !isOver(grant));
  };

  const expire = (nowMs: number): void => dropWhere(({ expiresMs }) => expiresMs <= nowMs);

  return {
    total: (nowMs) => {
      expire(nowMs);
      return grants.reduce((sum, { amount }) => sum + amount, 0);
    },
    credit: (holder, loan, amount, askedMs, nowMs) => {
      if (amount <= 0) return;
      grants.push({ holder, loan, amount, expiresMs: askedMs + BORROWED_TOKEN_LIFETIME_MS });
      expire(nowMs);
    },
    spend: (amount, nowMs) => {
      expire(nowMs);
      let missing = amount;
      grants.forEach((grant) => {
        const part = Math.min(grant.amount, missing);
        // eslint-disable-next-line no-param-reassign -- the purse owns its grants
        grant.amount -= part;
        missing -= part;
      });
      dropWhere((grant) => grant.amount <= TOKEN_TOLERANCE);
      return amount - missing;
    },
    takeClosedLoans: (holder) => {
      const loans = closed.get(holder) ?? [];
      closed.delete(holder);
      return loans;
    },
    takeRemainders: (ageMs, nowMs) => {
      expire(nowMs);
      const isOld = ({ expiresMs }: Grant): boolean =>
        expiresMs - BORROWED_TOKEN_LIFETIME_MS + ageMs <= nowMs;
      const old = grants.filter(isOld);
      grants = grants.filter((grant) => !isOld(grant));
      return old;
    },
    hasClosedLoans: (holder) => closed.has(holder),
    isEmpty: () => grants.length === 0,
  };
};
