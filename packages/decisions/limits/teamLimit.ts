import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { BorrowResult } from '@anvilpaddle/protocol';
import type { Holding } from './holding';
import { newLender, type Lender } from './lender';
import { newPurse, type Leftover } from './purse';
import type { Rate } from './tokenBucket';

/** What one entry knows and has of one team; times are monotonic milliseconds. */
export interface TeamLimit {
  readonly lender: Lender;
  /** Brings the share up to date with the view and the team's settings. */
  update(rate: Rate, nowMs: number): void;
  share(): Rate;
  /** Tokens for requests of this entry, its own and borrowed. */
  available(nowMs: number): number;
  /** Spends borrowed tokens first, since they are the ones that lapse. */
  spend(amount: number, nowMs: number): void;
  credit(holder: string, lent: BorrowResult, askedMs: number, nowMs: number): void;
  /** Until when a holder said that it has nothing. */
  emptyUntilMs(holder: string): number;
  /** Level that a holder has by now, from the last that it named; endless when it named none. */
  knownLevel(holder: string, holders: number, nowMs: number): number;
  noteArrival(nowMs: number): void;
  /** Requests a second, averaged over the last second or so. */
  demand(nowMs: number): number;
  takeClosed(holder: string): string[];
  takeLeftovers(ageMs: number, nowMs: number): Leftover[];
  hasBorrowed(): boolean;
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
const NOTHING: Rate = { rate: 0, burst: 0 };

/** State of a team whose share has refilled since the oldest span that is known. */
export const newTeamLimit = (
  team: string,
  holding: Holding,
  newLoanId: () => string,
): TeamLimit => {
  const first = holding.spansAfter(0)[0];
  const lender = newLender(first?.fromMs ?? 0, newLoanId);
  const purse = newPurse();
  const hints = new Map<string, Hint>();
  let appliedOrder = first === undefined ? 0 : first.order - 1;
  let part = 0;
  let share = NOTHING;
  let fleetRate = NOTHING;
  let demand = 0;
  let demandMs = 0;

  const setShare = (rate: Rate, nowMs: number): void => {
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
  const applySpans = (rate: Rate, nowMs: number): void => {
    holding.spansAfter(appliedOrder).forEach((span) => {
      if (span.fromMs > nowMs) return;
      if (span.order > appliedOrder + 1) {
        // Spans between have been forgotten; the share may have been nothing in them.
        lender.setShare(NOTHING, span.fromMs);
      }
      lender.level(span.fromMs);
      part = span.getPart(team);
      setShare(rate, span.fromMs);
      appliedOrder = span.order;
    });
  };

  return {
    lender,
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
    knownLevel: (holder, holders, nowMs) => {
      const hint = hints.get(holder);
      if (hint === undefined) return Number.MAX_VALUE;
      const gained = ((nowMs - hint.heardMs) * fleetRate.rate) / MS_PER_SECOND;
      return Math.min(fleetRate.burst, hint.level * holders + gained) / holders;
    },
    noteArrival: (nowMs) => {
      decayDemand(nowMs);
      demand += MS_PER_SECOND / DEMAND_TIME_MS;
    },
    demand: (nowMs) => {
      decayDemand(nowMs);
      return demand;
    },
    takeClosed: (holder) => purse.takeClosed(holder),
    takeLeftovers: (ageMs, nowMs) => [
      ...purse.takeLeftovers(ageMs, nowMs),
      ...getTightHolders().flatMap((holder) =>
        purse.takeClosed(holder).map((loan) => ({ holder, loan, amount: 0 })),
      ),
    ],
    hasBorrowed: () => !purse.isEmpty() || getTightHolders().some((h) => purse.hasClosed(h)),
    isIdle: (nowMs) => {
      decayDemand(nowMs);
      return purse.isEmpty() && demand < NEGLIGIBLE_DEMAND && lender.isUntouched(nowMs);
    },
  };
};
