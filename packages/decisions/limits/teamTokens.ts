/** Tokens of one team at one entry process: its own share, borrowed tokens and the demand. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { BorrowResult } from '@anvilpaddle/protocol';
import type { ShareTimeline } from './shareTimeline';
import { newLendingBucket, type LendingBucket } from './lendingBucket';
import { newBorrowedTokens, type LoanRemainder } from './borrowedTokens';
import type { RateLimit } from './tokenBucket';

/**
 * One team's tokens at an entry process, and what the team's other holders reported. Times are
 * monotonic milliseconds.
 */
export interface TeamTokens {
  /** Bucket with this process's own share. */
  readonly bucket: LendingBucket;
  /** Brings the share up to date with the view and with the team's rate limit. */
  update(teamLimit: RateLimit, nowMs: number): void;
  /** This process's share of the team's rate limit. */
  share(): RateLimit;
  /** Tokens for requests of this process: its own and borrowed ones. */
  available(nowMs: number): number;
  /** Spends tokens, borrowed ones first because they expire. */
  spend(amount: number, nowMs: number): void;
  /** Records a holder's answer to a request for tokens, and adds the tokens that it lent. */
  credit(holder: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Time until which a holder has no tokens, as it reported. */
  emptyUntilMs(holder: string): number;
  /**
   * Estimate of a holder's current level from the level that it reported last; the largest number
   * when it has reported none. `holderCount` is the number of the team's holders.
   */
  estimatedLevel(holder: string, holderCount: number, nowMs: number): number;
  /** Counts a request of the team towards its demand. */
  recordArrival(nowMs: number): void;
  /** Requests per second, as an exponential moving average over about one second. */
  demand(nowMs: number): number;
  /** IDs of a holder's closed loans; each is returned once. */
  takeClosedLoans(holder: string): string[];
  /**
   * Unspent loans that were asked for at least `ageMs` ago, and the closed loans of heavily lent
   * holders with an amount of 0.
   */
  takeRemainders(ageMs: number, nowMs: number): LoanRemainder[];
  /** Whether there are loans that `takeRemainders` has yet to return. */
  hasPendingReturns(): boolean;
  /** Whether the state can be dropped without any effect on later decisions. */
  isIdle(nowMs: number): boolean;
}

/** What a holder reported in its last answer. */
interface HolderReport {
  readonly level: number;
  readonly receivedMs: number;
  readonly emptyUntilMs: number;
  readonly isHeavilyLent: boolean;
}

/** Time constant of the moving average of the demand. */
const DEMAND_DECAY_MS = MS_PER_SECOND;
const NEGLIGIBLE_DEMAND_PER_SECOND = 0.01;
const NO_TOKENS: RateLimit = { rate: 0, burst: 0 };

/** State of a team; its share counts as refilling since the oldest period that is known. */
export const newTeamTokens = (
  team: string,
  timeline: ShareTimeline,
  newLoanId: () => string,
): TeamTokens => {
  const firstPeriod = timeline.periodsAfter(0)[0];
  const bucket = newLendingBucket(firstPeriod?.startMs ?? 0, newLoanId);
  const borrowed = newBorrowedTokens();
  const reports = new Map<string, HolderReport>();
  let appliedSequence = firstPeriod === undefined ? 0 : firstPeriod.sequence - 1;
  let fraction = 0;
  let share = NO_TOKENS;
  let currentTeamLimit = NO_TOKENS;
  let demand = 0;
  let demandUpdatedMs = 0;

  const setShare = (teamLimit: RateLimit, nowMs: number): void => {
    share = { rate: teamLimit.rate * fraction, burst: teamLimit.burst * fraction };
    bucket.setShare(share, nowMs);
  };

  const getHeavilyLentHolders = (): string[] =>
    [...reports].filter(([, report]) => report.isHeavilyLent).map(([holder]) => holder);

  const decayDemand = (nowMs: number): void => {
    demand *= Math.exp(-Math.max(0, nowMs - demandUpdatedMs) / DEMAND_DECAY_MS);
    demandUpdatedMs = Math.max(demandUpdatedMs, nowMs);
  };

  /** Applies each change of the share at the time it took effect, so that none is skipped. */
  const applyPeriods = (teamLimit: RateLimit, nowMs: number): void => {
    timeline.periodsAfter(appliedSequence).forEach((period) => {
      if (period.startMs > nowMs) return;
      if (period.sequence > appliedSequence + 1) {
        // Periods in between are no longer kept; the share may have been zero in them.
        bucket.setShare(NO_TOKENS, period.startMs);
      }
      bucket.level(period.startMs);
      fraction = period.getFraction(team);
      setShare(teamLimit, period.startMs);
      appliedSequence = period.sequence;
    });
  };

  return {
    bucket,
    update: (teamLimit, nowMs) => {
      currentTeamLimit = teamLimit;
      applyPeriods(teamLimit, nowMs);
      setShare(teamLimit, nowMs);
    },
    share: () => share,
    available: (nowMs) => borrowed.total(nowMs) + bucket.level(nowMs),
    spend: (amount, nowMs) => {
      const spentBorrowed = borrowed.spend(amount, nowMs);
      bucket.take(amount - spentBorrowed, nowMs);
    },
    credit: (holder, lent, askedMs, nowMs) => {
      borrowed.credit(holder, lent.loan, lent.granted, askedMs, nowMs);
      reports.set(holder, {
        level: lent.level,
        receivedMs: nowMs,
        emptyUntilMs: nowMs + lent.retryAfterMs,
        isHeavilyLent: lent.tight,
      });
    },
    emptyUntilMs: (holder) => reports.get(holder)?.emptyUntilMs ?? 0,
    estimatedLevel: (holder, holderCount, nowMs) => {
      const report = reports.get(holder);
      if (report === undefined) return Number.MAX_VALUE;
      const gained = ((nowMs - report.receivedMs) * currentTeamLimit.rate) / MS_PER_SECOND;
      return Math.min(currentTeamLimit.burst, report.level * holderCount + gained) / holderCount;
    },
    recordArrival: (nowMs) => {
      decayDemand(nowMs);
      demand += MS_PER_SECOND / DEMAND_DECAY_MS;
    },
    demand: (nowMs) => {
      decayDemand(nowMs);
      return demand;
    },
    takeClosedLoans: (holder) => borrowed.takeClosedLoans(holder),
    takeRemainders: (ageMs, nowMs) => [
      ...borrowed.takeRemainders(ageMs, nowMs),
      ...getHeavilyLentHolders().flatMap((holder) =>
        borrowed.takeClosedLoans(holder).map((loan) => ({ holder, loan, amount: 0 })),
      ),
    ],
    hasPendingReturns: () =>
      !borrowed.isEmpty() ||
      getHeavilyLentHolders().some((holder) => borrowed.hasClosedLoans(holder)),
    isIdle: (nowMs) => {
      decayDemand(nowMs);
      return borrowed.isEmpty() && demand < NEGLIGIBLE_DEMAND_PER_SECOND && bucket.isFull(nowMs);
    },
  };
};
