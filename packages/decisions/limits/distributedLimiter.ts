import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { BorrowRequest, LoanReturn, BorrowResult, LimitView } from '@anvilpaddle/protocol';
import { BORROWED_TOKEN_LIFETIME_MS, LOAN_LIFETIME_MS, TOKEN_TOLERANCE } from './constants';
import { newShareTimeline } from './shareTimeline';
import { newTeamTokens, type TeamTokens } from './teamTokens';
import type { Admission, RateLimit } from './tokenBucket';

/** What to do with a request: decided, or a holder to ask first. */
export type AdmissionStep =
  | { readonly kind: 'decided'; readonly admission: Admission }
  | { readonly kind: 'ask'; readonly holder: string };

/** Left-over tokens on their way back to a holder. */
export interface TokenReturn {
  readonly holder: string;
  readonly giveBack: LoanReturn;
}

/** Decisions of one entry on rate and burst; times are its monotonic milliseconds. */
export interface DistributedLimiter {
  /**
   * Takes over a view. A `trusted` one was read from the table service by this process, or came
   * from a peer after such a read; only then does the entry hold tokens. False when it is not newer.
   */
  adoptView(view: LimitView, isTrusted: boolean, nowMs: number): boolean;
  view(): LimitView | undefined;
  /** Whether the entry may hold tokens: it has a trusted view and is not suspended. */
  isHolding(): boolean;
  /** Holds nothing until a trusted view is adopted anew, as after a long pause or before a stop. */
  suspend(nowMs: number): void;
  /** Whether nothing beyond the present view's share is left here or lent. */
  canConfirmView(nowMs: number): boolean;
  /** Decides on one request; holders in `tried` have been asked for it already. */
  decide(team: string, tried: ReadonlySet<string>, nowMs: number): AdmissionStep;
  /** Counts a request that arrives, so that grants follow demand. */
  recordArrival(team: string, nowMs: number): void;
  /**
   * Holder to borrow from ahead of need, because its share is much fuller than the one here: a full
   * share gains nothing more.
   */
  prefetchHolder(team: string, nowMs: number): string | undefined;
  newBorrow(team: string, holder: string, waiting: number, nowMs: number): BorrowRequest;
  lend(borrow: BorrowRequest, nowMs: number): BorrowResult;
  /** Credits an answer to what was asked for at a time. */
  creditLoan(
    team: string,
    holder: string,
    lent: BorrowResult,
    askedMs: number,
    nowMs: number,
  ): void;
  /** Remembers that a holder did not answer. */
  recordNoAnswer(holder: string, nowMs: number): void;
  acceptReturn(giveBack: LoanReturn, nowMs: number): void;
  /** Tokens borrowed and not used, at least of an age, and word of spent ones where it is wanted. */
  takeDueReturns(ageMs: number, nowMs: number): TokenReturn[];
  /** Forgets teams whose state is as if they had never asked. */
  removeIdleTeams(nowMs: number): void;
  /** Teams of which this entry holds tokens. */
  heldTeams(nowMs: number): string[];
  /** Holders of a team besides this entry. */
  otherHolders(team: string): readonly string[];
  /** What this entry's share of a team has room for. */
  freeCapacity(team: string, nowMs: number): number;
  /** Puts tokens borrowed from a leaving holder into this entry's own share. */
  depositLoan(team: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Tokens of a team at hand, the entry's own and borrowed. */
  availableTokens(team: string, nowMs: number): number;
  teamCount(): number;
}

/** Time for which a holder that did not answer is not asked. */
const SILENCE_MS = 500;
const NO_HOLDER_RETRY_MS = 1000;
const PREFETCH_MS = 100;
const SMALLEST_RATE = 1e-6;
/** Part of a share by which another must be fuller before it is borrowed from ahead of need. */
const IMBALANCE = 0.1;

/** Decisions of the entry at an address; `lifeId` is unique to this process. */
export const newDistributedLimiter = (
  address: string,
  lifeId: string,
  getRate: (team: string) => RateLimit,
): DistributedLimiter => {
  const holding = newShareTimeline(address);
  const teams = new Map<string, TeamTokens>();
  const borrowers = new Set<string>();
  const silentUntilMs = new Map<string, number>();
  let loans = 0;

  const newLoanId = (): string => {
    loans += 1;
    return `${lifeId}.${loans}`;
  };

  /** State of a team with its share brought up to date. */
  const getTeam = (team: string, nowMs: number): TeamTokens => {
    const known = teams.get(team);
    const state = known ?? newTeamTokens(team, holding, newLoanId);
    if (known === undefined) teams.set(team, state);
    state.update(getRate(team), nowMs);
    return state;
  };

  const getOthers = (team: string): readonly string[] =>
    holding.holders(team).filter((holder) => holder !== address);

  const isAskable = (state: TeamTokens, holder: string, nowMs: number): boolean =>
    (silentUntilMs.get(holder) ?? 0) <= nowMs && state.emptyUntilMs(holder) <= nowMs;

  const getRichest = (
    team: string,
    state: TeamTokens,
    others: readonly string[],
    nowMs: number,
  ): string | undefined => {
    const { length } = holding.holders(team);
    const levels = others.map((other) => state.estimatedLevel(other, length, nowMs));
    return others[levels.indexOf(Math.max(...levels))];
  };

  /** Time until the next whole token, by the share here and by what the other holders said. */
  const getRetryAfterMs = (
    state: TeamTokens,
    team: string,
    missing: number,
    nowMs: number,
  ): number => {
    const { rate } = getRate(team);
    const soonestMs = (missing * MS_PER_SECOND) / Math.max(rate, SMALLEST_RATE);
    const hints = getOthers(team)
      .filter((holder) => (silentUntilMs.get(holder) ?? 0) <= nowMs)
      .map((holder) => state.emptyUntilMs(holder) - nowMs);
    const ownRate = state.share().rate;
    const own = ownRate > 0 ? [(missing * MS_PER_SECOND) / ownRate] : [];
    const known = [...own, ...hints];
    return known.length === 0
      ? Math.max(NO_HOLDER_RETRY_MS, soonestMs)
      : Math.max(soonestMs, Math.min(...known));
  };

  const decide: DistributedLimiter['decide'] = (team, tried, nowMs) => {
    const state = getTeam(team, nowMs);
    const available = state.available(nowMs);
    if (available >= 1 - TOKEN_TOLERANCE) {
      state.spend(1, nowMs);
      return { kind: 'decided', admission: { admitted: true } };
    }
    const others = getOthers(team).filter(
      (other) => !tried.has(other) && isAskable(state, other, nowMs),
    );
    const holder = getRichest(team, state, others, nowMs);
    if (holder !== undefined) return { kind: 'ask', holder };
    const retryAfterMs = getRetryAfterMs(state, team, 1 - available, nowMs);
    return { kind: 'decided', admission: { admitted: false, retryAfterMs } };
  };

  const richerHolder: DistributedLimiter['prefetchHolder'] = (team, nowMs) => {
    const state = getTeam(team, nowMs);
    const share = state.share();
    if (share.rate === 0 || state.demand(nowMs) * PREFETCH_MS < MS_PER_SECOND) return undefined;
    const own = state.bucket.level(nowMs);
    if (state.available(nowMs) - own >= 1) return undefined;
    const others = getOthers(team).filter((other) => isAskable(state, other, nowMs));
    const holder = getRichest(team, state, others, nowMs);
    if (holder === undefined) return undefined;
    const { length } = holding.holders(team);
    const level = Math.min(share.burst, state.estimatedLevel(holder, length, nowMs));
    return level - own > share.burst * IMBALANCE ? holder : undefined;
  };

  return {
    adoptView: (view, isTrusted, nowMs) => holding.adoptView(view, isTrusted, nowMs),
    view: () => holding.view(),
    isHolding: () => holding.isTrusted(),
    suspend: (nowMs) => holding.suspend(nowMs),
    canConfirmView: (nowMs) =>
      holding.isTrusted() && nowMs - holding.lastChangeMs() >= LOAN_LIFETIME_MS,
    decide,
    prefetchHolder: richerHolder,
    recordArrival: (team, nowMs) => getTeam(team, nowMs).recordArrival(nowMs),
    newBorrow: (team, holder, waiting, nowMs) => {
      const state = getTeam(team, nowMs);
      const expected = (state.demand(nowMs) * PREFETCH_MS) / MS_PER_SECOND;
      return {
        team,
        need: Math.max(0, waiting - state.available(nowMs)),
        extra: Math.floor(expected),
        closed: state.takeClosedLoans(holder),
      };
    },
    lend: ({ team, need, extra, closed }, nowMs) => {
      const state = getTeam(team, nowMs);
      closed.forEach((loan) => state.bucket.closeLoan(loan, 0, nowMs));
      const { id, granted, retryAfterMs } = state.bucket.lend(need, extra, nowMs);
      const level = state.bucket.level(nowMs);
      const epoch = holding.view()?.epoch ?? 0;
      const tight = state.bucket.isHeavilyLent();
      return { loan: id, granted, level, retryAfterMs, tight, epoch };
    },
    creditLoan: (team, holder, lent, askedMs, nowMs) => {
      silentUntilMs.delete(holder);
      getTeam(team, nowMs).credit(holder, lent, askedMs, nowMs);
      if (lent.granted > 0) borrowers.add(team);
    },
    recordNoAnswer: (holder, nowMs) => {
      silentUntilMs.set(holder, nowMs + SILENCE_MS);
    },
    acceptReturn: ({ team, loan, amount }, nowMs) =>
      getTeam(team, nowMs).bucket.closeLoan(loan, amount, nowMs),
    takeDueReturns: (ageMs, nowMs) =>
      [...borrowers].flatMap((team) => {
        const state = teams.get(team);
        const leftovers = state?.takeRemainders(ageMs, nowMs) ?? [];
        if (state === undefined || !state.hasPendingReturns()) borrowers.delete(team);
        return leftovers.map(({ holder, loan, amount }) => ({
          holder,
          giveBack: { team, loan, amount },
        }));
      }),
    removeIdleTeams: (nowMs) =>
      teams.forEach((state, team) => {
        if (state.isIdle(nowMs)) teams.delete(team);
      }),
    heldTeams: (nowMs) =>
      [...teams.keys()].filter((team) => getTeam(team, nowMs).bucket.level(nowMs) > 0),
    otherHolders: getOthers,
    freeCapacity: (team, nowMs) => {
      const state = getTeam(team, nowMs);
      return Math.max(0, state.share().burst - state.bucket.level(nowMs));
    },
    depositLoan: (team, lent, askedMs, nowMs) => {
      if (nowMs - askedMs >= BORROWED_TOKEN_LIFETIME_MS) return;
      getTeam(team, nowMs).bucket.deposit(lent.granted, nowMs);
    },
    availableTokens: (team, nowMs) => getTeam(team, nowMs).available(nowMs),
    teamCount: () => teams.size,
  };
};
