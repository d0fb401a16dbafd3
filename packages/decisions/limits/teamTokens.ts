import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { BorrowResult } from '@anvilpaddle/protocol';
import type { ShareTimeline } from './shareTimeline';
import { newLendingBucket, type LendingBucket } from './lendingBucket';
import { newBorrowedTokens, type LoanRemainder } from './borrowedTokens';
import type { RateLimit } from './tokenBucket';

/** What one entry knows and has of one team; times are monotonic milliseconds. */
export interface TeamTokens {
  readonly bucket: LendingBucket;
  /** Brings the share up to date with the view and the team's settings. */
  update(rate: RateLimit, nowMs: number): void;
  share(): RateLimit;
  /** Tokens for requests of this entry, its own and borrowed. */
  available(nowMs: number): number;
  /** Spends borrowed tokens first, since they are the ones that lapse. */
  spend(amount: number, nowMs: number): void;
  credit(holder: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Until when a holder said that it has nothing. */
  emptyUntilMs(holder: string): number;
  /** Level that a holder has by now, from the last that it named; endless when it named none. */
  estimatedLevel(holder: string, holders: number, nowMs: number): number;
  recordArrival(nowMs: number): void;
  /** Requests a second, averaged over the last second or so. */
  demand(nowMs: number): number;
  takeClosedLoans(holder: string): string[];
  takeRemainders(ageMs: number, nowMs: number): LoanRemainder[];
  hasPendingReturns(): boolean;
  /** Whether forgetting the team changes nothing. */
  isIdle(nowMs: number): boolean;
}

interface Hint {
  readonly level: number;
  readonly heardMs: number;
  readonly emptyUntilMs: number;
  readonly isTight: boolean;
}

const DEMAND_TIME_MS = MS_PER_SECOND;
const NEGLIGIBLE_DEMAND = 0.01;
const NOTHING: RateLimit = { rate: 0, burst: 0 };

/** State of a team whose share has refilled since the oldest span that is known. */
export const newTeamTokens = (
  team: string,
  holding: ShareTimeline,
  newLoanId: () => string,
): TeamTokens => {
  const first = holding.periodsAfter(0)[0];
  const lender = newLendingBucket(first?.startMs ?? 0, newLoanId);
  const purse = newBorrowedTokens();
  const hints = new Map<string, Hint>();
  let appliedOrder = first === undefined ? 0 : first.sequence - 1;
  let part = 0;
  let share = NOTHING;
  let fleetRate = NOTHING;
  let demand = 0;
  let demandMs = 0;

  const setShare = (rate: RateLimit, nowMs: number): void => {
    share = { rate: rate.rate * part, burst: rate.burst * part };
    lender.setShare(share, nowMs);
  };

  const getTightHolders = (): string[] =>
    [...hints].filter(([, hint]) => hint.isTight).map(([holder]) => holder);

  const decayDemand = (nowMs: number): void => {
    demand *= Math.exp(-Math.max(0, nowMs - demandMs) / DEMAND_TIME_MS);
    demandMs = Math.max(demandMs, nowMs);
  };

  /** Applies each change of the view at its own time, so that none is overlooked. */
  const applySpans = (rate: RateLimit, nowMs: number): void => {
    holding.periodsAfter(appliedOrder).forEach((span) => {
      if (span.startMs > nowMs) return;
      if (span.sequence > appliedOrder + 1) {
        // Spans between have been forgotten; the share may have been nothing in them.
        lender.setShare(NOTHING, span.startMs);
      }
      lender.level(span.startMs);
      part = span.getFraction(team);
      setShare(rate, span.startMs);
      appliedOrder = span.sequence;
    });
  };

  return {
    bucket: lender,
    update: (rate, nowMs) => {
      fleetRate = rate;
      applySpans(rate, nowMs);
      setShare(rate, nowMs);
    },
    share: () => share,
    available: (nowMs) => purse.total(nowMs) + lender.level(nowMs),
    spend: (amount, nowMs) => {
      const borrowed = purse.spend(amount, nowMs);
      lender.take(amount - borrowed, nowMs);
    },
    credit: (holder, lent, askedMs, nowMs) => {
      purse.credit(holder, lent.loan, lent.granted, askedMs, nowMs);
      hints.set(holder, {
        level: lent.level,
        heardMs: nowMs,
        emptyUntilMs: nowMs + lent.retryAfterMs,
        isTight: lent.tight,
      });
    },
    emptyUntilMs: (holder) => hints.get(holder)?.emptyUntilMs ?? 0,
    estimatedLevel: (holder, holders, nowMs) => {
      const hint = hints.get(holder);
      if (hint === undefined) return Number.MAX_VALUE;
      const gained = ((nowMs - hint.heardMs) * fleetRate.rate) / MS_PER_SECOND;
      return Math.min(fleetRate.burst, hint.level * holders + gained) / holders;
    },
    recordArrival: (nowMs) => {
      decayDemand(nowMs);
      demand += MS_PER_SECOND / DEMAND_TIME_MS;
    },
    demand: (nowMs) => {
      decayDemand(nowMs);
      return demand;
    },
    takeClosedLoans: (holder) => purse.takeClosedLoans(holder),
    takeRemainders: (ageMs, nowMs) => [
      ...purse.takeRemainders(ageMs, nowMs),
      ...getTightHolders().flatMap((holder) =>
        purse.takeClosedLoans(holder).map((loan) => ({ holder, loan, amount: 0 })),
      ),
    ],
    hasPendingReturns: () =>
      !purse.isEmpty() || getTightHolders().some((h) => purse.hasClosedLoans(h)),
    isIdle: (nowMs) => {
      decayDemand(nowMs);
      return purse.isEmpty() && demand < NEGLIGIBLE_DEMAND && lender.isFull(nowMs);
    },
  };
};
