/** Decisions of one entry process in a rate limit that all entry processes share. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { BorrowRequest, LoanReturn, BorrowResult, LimitView } from '@anvilpaddle/protocol';
import { BORROWED_TOKEN_LIFETIME_MS, LOAN_LIFETIME_MS, TOKEN_TOLERANCE } from './constants';
import { newShareTimeline } from './shareTimeline';
import { newTeamTokens, type TeamTokens } from './teamTokens';
import type { Admission, RateLimit } from './tokenBucket';

/** Next step for a request: a final decision, or a holder to borrow from before deciding again. */
export type AdmissionStep =
  | { readonly kind: 'decided'; readonly admission: Admission }
  | { readonly kind: 'ask'; readonly holder: string };

/** Return of a loan's unspent tokens to its holder. */
export interface TokenReturn {
  readonly holder: string;
  readonly giveBack: LoanReturn;
}

/**
 * Distributed token bucket, as seen by one entry process. A few entry processes, the holders, each
 * hold a share of a team's tokens, and any entry process borrows from them when its own tokens are
 * used up. Times are monotonic milliseconds.
 */
export interface DistributedLimiter {
  /**
   * Replaces the view; returns false when the view is neither newer nor newly trusted. A trusted view
   * was read from the table service by this process, or came from a peer after such a read; this
   * process holds tokens only by a trusted view.
   */
  adoptView(view: LimitView, isTrusted: boolean, nowMs: number): boolean;
  view(): LimitView | undefined;
  /** Whether this process may hold tokens: it has a trusted view and is not suspended. */
  isHolding(): boolean;
  /** Stops holding tokens until a trusted view is adopted, after a long pause or before a stop. */
  suspend(nowMs: number): void;
  /** Whether this process neither holds nor lends more than its share in the current view. */
  canConfirmView(nowMs: number): boolean;
  /** Decides on one request; holders in `tried` have already been asked for it. */
  decide(team: string, tried: ReadonlySet<string>, nowMs: number): AdmissionStep;
  /** Counts a request, so that the amounts borrowed follow the demand. */
  recordArrival(team: string, nowMs: number): void;
  /**
   * Holder to borrow from before tokens are needed, because its level is much higher than the level
   * of this process: a full bucket gains no more tokens.
   */
  prefetchHolder(team: string, nowMs: number): string | undefined;
  /** Request for tokens to send to a holder; `waiting` requests of the team need a token now. */
  newBorrow(team: string, holder: string, waiting: number, nowMs: number): BorrowRequest;
  /** Lends tokens of this process's share to another process. */
  lend(borrow: BorrowRequest, nowMs: number): BorrowResult;
  /** Records a holder's answer to a request for tokens that was sent at `askedMs`. */
  creditLoan(
    team: string,
    holder: string,
    lent: BorrowResult,
    askedMs: number,
    nowMs: number,
  ): void;
  /** Records that a holder did not answer, so that it is not asked for a while. */
  recordNoAnswer(holder: string, nowMs: number): void;
  /** Takes back the unspent tokens of a loan that this process made. */
  acceptReturn(giveBack: LoanReturn, nowMs: number): void;
  /**
   * Loans to return: those with unspent tokens that were asked for at least `ageMs` ago, and used-up
   * ones whose holder wants to know soon because its share is heavily lent.
   */
  takeDueReturns(ageMs: number, nowMs: number): TokenReturn[];
  /** Drops the state of teams whose state equals that of a team that has sent no requests. */
  removeIdleTeams(nowMs: number): void;
  /** Teams of which this process holds tokens. */
  heldTeams(nowMs: number): string[];
  /** Holders of a team other than this process. */
  otherHolders(team: string): readonly string[];
  /** Tokens that this process's share of a team can still take in. */
  freeCapacity(team: string, nowMs: number): number;
  /** Adds tokens borrowed from a leaving holder to this process's own share. */
  depositLoan(team: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Tokens of a team that this process can spend, its own and borrowed ones. */
  availableTokens(team: string, nowMs: number): number;
  /** Teams with a state in memory. */
  teamCount(): number;
}

/** Time for which a holder that did not answer is not asked. */
const UNANSWERED_COOLDOWN_MS = 500;
/** Shortest retry time while this process has no share and no holder answers. */
const NO_HOLDER_RETRY_AFTER_MS = 1000;
/** Time for which tokens are borrowed in advance, at the current demand. */
const LOOKAHEAD_MS = 100;
/** Lower bound on the rate in divisions by it. */
const MIN_RATE_PER_SECOND = 1e-6;
/** Fraction of a share by which a holder's level must be higher before tokens are prefetched. */
const MIN_PREFETCH_IMBALANCE = 0.1;

/** Limiter of the entry process at an address; `incarnation` is unique to this run of the process. */
export const newDistributedLimiter = (
  address: string,
  incarnation: string,
  getTeamLimit: (team: string) => RateLimit,
): DistributedLimiter => {
  const timeline = newShareTimeline(address);
  const teams = new Map<string, TeamTokens>();
  const borrowingTeams = new Set<string>();
  const cooldownEndMs = new Map<string, number>();
  let loanCount = 0;

  const newLoanId = (): string => {
    loanCount += 1;
    return `${incarnation}.${loanCount}`;
  };

  /** State of a team, with its share brought up to date. */
  const getTeam = (team: string, nowMs: number): TeamTokens => {
    const known = teams.get(team);
    const state = known ?? newTeamTokens(team, timeline, newLoanId);
    if (known === undefined) teams.set(team, state);
    state.update(getTeamLimit(team), nowMs);
    return state;
  };

  const getOtherHolders = (team: string): readonly string[] =>
    timeline.holders(team).filter((holder) => holder !== address);

  const isAskable = (state: TeamTokens, holder: string, nowMs: number): boolean =>
    (cooldownEndMs.get(holder) ?? 0) <= nowMs && state.emptyUntilMs(holder) <= nowMs;

  const getFullestHolder = (
    team: string,
    state: TeamTokens,
    candidates: readonly string[],
    nowMs: number,
  ): string | undefined => {
    const { length: holderCount } = timeline.holders(team);
    const levels = candidates.map((holder) => state.estimatedLevel(holder, holderCount, nowMs));
    return candidates[levels.indexOf(Math.max(...levels))];
  };

  /** Time until the next whole token, by this process's share and the other holders' answers. */
  const getRetryAfterMs = (
    state: TeamTokens,
    team: string,
    missing: number,
    nowMs: number,
  ): number => {
    const { rate } = getTeamLimit(team);
    const minRetryMs = (missing * MS_PER_SECOND) / Math.max(rate, MIN_RATE_PER_SECOND);
    const holderRetriesMs = getOtherHolders(team)
      .filter((holder) => (cooldownEndMs.get(holder) ?? 0) <= nowMs)
      .map((holder) => state.emptyUntilMs(holder) - nowMs);
    const ownRate = state.share().rate;
    const ownRetryMs = ownRate > 0 ? [(missing * MS_PER_SECOND) / ownRate] : [];
    const retriesMs = [...ownRetryMs, ...holderRetriesMs];
    return retriesMs.length === 0
      ? Math.max(NO_HOLDER_RETRY_AFTER_MS, minRetryMs)
      : Math.max(minRetryMs, Math.min(...retriesMs));
  };

  const decide: DistributedLimiter['decide'] = (team, tried, nowMs) => {
    const state = getTeam(team, nowMs);
    const available = state.available(nowMs);
    if (available >= 1 - TOKEN_TOLERANCE) {
      state.spend(1, nowMs);
      return { kind: 'decided', admission: { admitted: true } };
    }
    const candidates = getOtherHolders(team).filter(
      (other) => !tried.has(other) && isAskable(state, other, nowMs),
    );
    const holder = getFullestHolder(team, state, candidates, nowMs);
    if (holder !== undefined) return { kind: 'ask', holder };
    const retryAfterMs = getRetryAfterMs(state, team, 1 - available, nowMs);
    return { kind: 'decided', admission: { admitted: false, retryAfterMs } };
  };

  const prefetchHolder: DistributedLimiter['prefetchHolder'] = (team, nowMs) => {
    const state = getTeam(team, nowMs);
    const share = state.share();
    if (share.rate === 0 || state.demand(nowMs) * LOOKAHEAD_MS < MS_PER_SECOND) return undefined;
    const ownLevel = state.bucket.level(nowMs);
    if (state.available(nowMs) - ownLevel >= 1) return undefined;
    const candidates = getOtherHolders(team).filter((other) => isAskable(state, other, nowMs));
    const holder = getFullestHolder(team, state, candidates, nowMs);
    if (holder === undefined) return undefined;
    const { length: holderCount } = timeline.holders(team);
    const level = Math.min(share.burst, state.estimatedLevel(holder, holderCount, nowMs));
    return level - ownLevel > share.burst * MIN_PREFETCH_IMBALANCE ? holder : undefined;
  };

  return {
    adoptView: (view, isTrusted, nowMs) => timeline.adoptView(view, isTrusted, nowMs),
    view: () => timeline.view(),
    isHolding: () => timeline.isTrusted(),
    suspend: (nowMs) => timeline.suspend(nowMs),
    canConfirmView: (nowMs) =>
      timeline.isTrusted() && nowMs - timeline.lastChangeMs() >= LOAN_LIFETIME_MS,
    decide,
    prefetchHolder,
    recordArrival: (team, nowMs) => getTeam(team, nowMs).recordArrival(nowMs),
    newBorrow: (team, holder, waiting, nowMs) => {
      const state = getTeam(team, nowMs);
      const expectedRequests = (state.demand(nowMs) * LOOKAHEAD_MS) / MS_PER_SECOND;
      return {
        team,
        need: Math.max(0, waiting - state.available(nowMs)),
        extra: Math.floor(expectedRequests),
        closed: state.takeClosedLoans(holder),
      };
    },
    lend: ({ team, need, extra, closed }, nowMs) => {
      const state = getTeam(team, nowMs);
      closed.forEach((loan) => state.bucket.closeLoan(loan, 0, nowMs));
      const { id, granted, retryAfterMs } = state.bucket.lend(need, extra, nowMs);
      const level = state.bucket.level(nowMs);
      const epoch = timeline.view()?.epoch ?? 0;
      const tight = state.bucket.isHeavilyLent();
      return { loan: id, granted, level, retryAfterMs, tight, epoch };
    },
    creditLoan: (team, holder, lent, askedMs, nowMs) => {
      cooldownEndMs.delete(holder);
      getTeam(team, nowMs).credit(holder, lent, askedMs, nowMs);
      if (lent.granted > 0) borrowingTeams.add(team);
    },
    recordNoAnswer: (holder, nowMs) => {
      cooldownEndMs.set(holder, nowMs + UNANSWERED_COOLDOWN_MS);
    },
    acceptReturn: ({ team, loan, amount }, nowMs) =>
      getTeam(team, nowMs).bucket.closeLoan(loan, amount, nowMs),
    takeDueReturns: (ageMs, nowMs) =>
      [...borrowingTeams].flatMap((team) => {
        const state = teams.get(team);
        const remainders = state?.takeRemainders(ageMs, nowMs) ?? [];
        if (state === undefined || !state.hasPendingReturns()) borrowingTeams.delete(team);
        return remainders.map(({ holder, loan, amount }) => ({
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
    otherHolders: getOtherHolders,
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
