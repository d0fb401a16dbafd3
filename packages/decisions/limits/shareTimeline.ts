/** Share of each team's tokens that one entry process holds, and its recent changes. */
import type { LimitView } from '@anvilpaddle/protocol';
import { LOAN_LIFETIME_MS } from './constants';
import { newHolderCache, type HolderCache } from './holderCache';
import { getShareFraction } from './limitView';

/** Shares that an entry process holds from a point in time until the next period starts. */
export interface SharePeriod {
  /** Number of the period; it grows by one with each period. */
  readonly sequence: number;
  readonly startMs: number;
  /** Fraction of a team's rate and burst. */
  readonly getFraction: (team: string) => number;
}

/**
 * Current view, and the most recent periods of the shares that an entry process holds by it. Times
 * are monotonic milliseconds.
 */
export interface ShareTimeline {
  /**
   * Replaces the view by one that is newer, or that is trusted while the current one is not; returns
   * false when it is neither.
   */
  adoptView(view: LimitView, isTrusted: boolean, nowMs: number): boolean;
  /** Sets every share to zero until a trusted view is adopted. */
  suspend(nowMs: number): void;
  view(): LimitView | undefined;
  /** Whether shares follow from a trusted view, that is, are not suspended. */
  isTrusted(): boolean;
  /** Start of the newest period; infinite when there is none. */
  lastChangeMs(): number;
  /** Holders of a team in the newest view. */
  holders(team: string): readonly string[];
  /** Periods after a sequence number, oldest first; only the most recent ones are kept. */
  periodsAfter(sequence: number): readonly SharePeriod[];
}

const MAX_KEPT_PERIODS = 8;

/**
 * Timeline of the entry process at an address. The first period starts one loan lifetime after the
 * first trusted view: by then every loan that an earlier process at this address has made is over.
 */
export const newShareTimeline = (address: string): ShareTimeline => {
  let earliestMs: number | undefined;
  let view: LimitView | undefined;
  let isTrusted = false;
  let holderCache: HolderCache | undefined;
  let periods: SharePeriod[] = [];
  let lastSequence = 0;

  const addPeriod = (getFraction: SharePeriod['getFraction'], startMs: number): void => {
    lastSequence += 1;
    periods = [...periods, { sequence: lastSequence, startMs, getFraction }].slice(
      -MAX_KEPT_PERIODS,
    );
  };

  return {
    adoptView: (next, isNextTrusted, nowMs) => {
      const isNewer = view === undefined || next.epoch > view.epoch;
      const gainsTrust = isNextTrusted && !isTrusted && next.epoch >= (view?.epoch ?? 0);
      if (!isNewer && !gainsTrust) return false;
      view = next;
      const nextHolderCache = newHolderCache(next, holderCache);
      holderCache = nextHolderCache;
      if (!isNextTrusted) return true;
      isTrusted = true;
      earliestMs ??= nowMs + LOAN_LIFETIME_MS;
      const getFraction = (team: string): number =>
        getShareFraction(address, team, next, nextHolderCache.holders(team));
      addPeriod(getFraction, Math.max(nowMs, earliestMs));
      return true;
    },
    suspend: (nowMs) => {
      if (!isTrusted) return;
      isTrusted = false;
      addPeriod(() => 0, nowMs);
    },
    view: () => view,
    isTrusted: () => isTrusted,
    lastChangeMs: () => periods.at(-1)?.startMs ?? Number.POSITIVE_INFINITY,
    holders: (team) => holderCache?.holders(team) ?? [],
    periodsAfter: (sequence) => periods.filter((period) => period.sequence > sequence),
  };
};
