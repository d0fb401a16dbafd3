import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { BorrowRequest, LoanReturn, BorrowResult, LimitView } from '@anvilpaddle/protocol';
import { GRANT_LIFETIME_MS, LOAN_LIFETIME_MS, TOKEN_TOLERANCE } from './constants';
import { newHolding } from './holding';
import { newTeamLimit, type TeamLimit } from './teamLimit';
import type { Admission, Rate } from './tokenBucket';

/** What to do with a request: decided, or a holder to ask first. */
export type Step =
  | { readonly kind: 'decided'; readonly admission: Admission }
  | { readonly kind: 'ask'; readonly holder: string };

/** Left-over tokens on their way back to a holder. */
export interface Return {
  readonly holder: string;
  readonly giveBack: LoanReturn;
}

/** Decisions of one entry on rate and burst; times are its monotonic milliseconds. */
export interface LimitNode {
  /**
   * Takes over a view. A `trusted` one was read from the table service by this process, or came
   * from a peer after such a read; only then does the entry hold tokens. False when it is not newer.
   */
  adopt(view: LimitView, isTrusted: boolean, nowMs: number): boolean;
  view(): LimitView | undefined;
  /** Whether the entry may hold tokens: it has a trusted view and is not suspended. */
  isHolding(): boolean;
  /** Holds nothing until a trusted view is adopted anew, as after a long pause or before a stop. */
  suspend(nowMs: number): void;
  /** Whether nothing beyond the present view's share is left here or lent. */
  isConfirmed(nowMs: number): boolean;
  /** Decides on one request; holders in `tried` have been asked for it already. */
  decide(team: string, tried: ReadonlySet<string>, nowMs: number): Step;
  /** Counts a request that arrives, so that grants follow demand. */
  noteArrival(team: string, nowMs: number): void;
  /**
   * Holder to borrow from ahead of need, because its share is much fuller than the one here: a full
   * share gains nothing more.
   */
  richerHolder(team: string, nowMs: number): string | undefined;
  newBorrow(team: string, holder: string, waiting: number, nowMs: number): BorrowRequest;
  lend(borrow: BorrowRequest, nowMs: number): BorrowResult;
  /** Credits an answer to what was asked for at a time. */
  credit(team: string, holder: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Remembers that a holder did not answer. */
  noteSilence(holder: string, nowMs: number): void;
  takeBack(giveBack: LoanReturn, nowMs: number): void;
  /** Tokens borrowed and not used, at least of an age, and word of spent ones where it is wanted. */
  takeReturns(ageMs: number, nowMs: number): Return[];
  /** Forgets teams whose state is as if they had never asked. */
  forgetIdle(nowMs: number): void;
  /** Teams of which this entry holds tokens. */
  heldTeams(nowMs: number): string[];
  /** Holders of a team besides this entry. */
  otherHolders(team: string): readonly string[];
  /** What this entry's share of a team has room for. */
  room(team: string, nowMs: number): number;
  /** Puts tokens borrowed from a leaving holder into this entry's own share. */
  absorb(team: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Tokens of a team at hand, the entry's own and borrowed. */
  available(team: string, nowMs: number): number;
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
export const newLimitNode = (
  address: string,
  lifeId: string,
  getRate: (team: string) => Rate,
): LimitNode => {
  const holding = newHolding(address);
  const teams = new Map<string, TeamLimit>();
  const borrowers = new Set<string>();
  const silentUntilMs = new Map<string, number>();
  let loans = 0;

  const newLoanId = (): string => {
    loans += 1;
    return `${lifeId}.${loans}`;
  };

  /** State of a team with its share brought up to date. */
  const getTeam = (team: string, nowMs: number): TeamLimit => {
    const known = teams.get(team);
    const state = known ?? newTeamLimit(team, holding, newLoanId);
    if (known === undefined) teams.set(team, state);
    state.update(getRate(team), nowMs);
    return state;
  };

  const getOthers = (team: string): readonly string[] =>
    holding.holders(team).filter((holder) => holder !== address);

  const isAskable = (state: TeamLimit, holder: string, nowMs: number): boolean =>
    (silentUntilMs.get(holder) ?? 0) <= nowMs && state.emptyUntilMs(holder) <= nowMs;

  const getRichest = (
    team: string,
    state: TeamLimit,
    others: readonly string[],
    nowMs: number,
  ): string | undefined => {
    const { length } = holding.holders(team);
    const levels = others.map((other) => state.knownLevel(other, length, nowMs));
    return others[levels.indexOf(Math.max(...levels))];
  };

  /** Time until the next whole token, by the share here and by what the other holders said. */
  const getRetryAfterMs = (
    state: TeamLimit,
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

  const decide: LimitNode['decide'] = (team, tried, nowMs) => {
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

  const richerHolder: LimitNode['richerHolder'] = (team, nowMs) => {
    const state = getTeam(team, nowMs);
    const share = state.share();
    if (share.rate === 0 || state.demand(nowMs) * PREFETCH_MS < MS_PER_SECOND) return undefined;
    const own = state.lender.level(nowMs);
    if (state.available(nowMs) - own >= 1) return undefined;
    const others = getOthers(team).filter((other) => isAskable(state, other, nowMs));
    const holder = getRichest(team, state, others, nowMs);
    if (holder === undefined) return undefined;
    const { length } = holding.holders(team);
    const level = Math.min(share.burst, state.knownLevel(holder, length, nowMs));
    return level - own > share.burst * IMBALANCE ? holder : undefined;
  };

  return {
    adopt: (view, isTrusted, nowMs) => holding.adopt(view, isTrusted, nowMs),
    view: () => holding.view(),
    isHolding: () => holding.isTrusted(),
    suspend: (nowMs) => holding.suspend(nowMs),
    isConfirmed: (nowMs) => holding.isTrusted() && nowMs - holding.changedMs() >= LOAN_LIFETIME_MS,
    decide,
    richerHolder,
    noteArrival: (team, nowMs) => getTeam(team, nowMs).noteArrival(nowMs),
    newBorrow: (team, holder, waiting, nowMs) => {
      const state = getTeam(team, nowMs);
      const expected = (state.demand(nowMs) * PREFETCH_MS) / MS_PER_SECOND;
      return {
        team,
        need: Math.max(0, waiting - state.available(nowMs)),
        extra: Math.floor(expected),
        closed: state.takeClosed(holder),
      };
    },
    lend: ({ team, need, extra, closed }, nowMs) => {
      const state = getTeam(team, nowMs);
      closed.forEach((loan) => state.lender.close(loan, 0, nowMs));
      const { id, granted, retryAfterMs } = state.lender.lend(need, extra, nowMs);
      const level = state.lender.level(nowMs);
      const epoch = holding.view()?.epoch ?? 0;
      const tight = state.lender.isTight();
      return { loan: id, granted, level, retryAfterMs, tight, epoch };
    },
    credit: (team, holder, lent, askedMs, nowMs) => {
      silentUntilMs.delete(holder);
      getTeam(team, nowMs).credit(holder, lent, askedMs, nowMs);
      if (lent.granted > 0) borrowers.add(team);
    },
    noteSilence: (holder, nowMs) => {
      silentUntilMs.set(holder, nowMs + SILENCE_MS);
    },
    takeBack: ({ team, loan, amount }, nowMs) =>
      getTeam(team, nowMs).lender.close(loan, amount, nowMs),
    takeReturns: (ageMs, nowMs) =>
      [...borrowers].flatMap((team) => {
        const state = teams.get(team);
        const leftovers = state?.takeLeftovers(ageMs, nowMs) ?? [];
        if (state === undefined || !state.hasBorrowed()) borrowers.delete(team);
        return leftovers.map(({ holder, loan, amount }) => ({
          holder,
          giveBack: { team, loan, amount },
        }));
      }),
    forgetIdle: (nowMs) =>
      teams.forEach((state, team) => {
        if (state.isIdle(nowMs)) teams.delete(team);
      }),
    heldTeams: (nowMs) =>
      [...teams.keys()].filter((team) => getTeam(team, nowMs).lender.level(nowMs) > 0),
    otherHolders: getOthers,
    room: (team, nowMs) => {
      const state = getTeam(team, nowMs);
      return Math.max(0, state.share().burst - state.lender.level(nowMs));
    },
    absorb: (team, lent, askedMs, nowMs) => {
      if (nowMs - askedMs >= GRANT_LIFETIME_MS) return;
      getTeam(team, nowMs).lender.add(lent.granted, nowMs);
    },
    available: (team, nowMs) => getTeam(team, nowMs).available(nowMs),
    teamCount: () => teams.size,
  };
};
