import type { LimitView } from '@anvilpaddle/protocol';
import { LOAN_LIFETIME_MS } from './constants';
import { newHolderCache, type HolderCache } from './holderCache';
import { getShareFraction } from './limitView';

/** Part of a team that this entry holds from a moment on. */
export interface SharePeriod {
  /** Grows by one with each span. */
  readonly sequence: number;
  readonly startMs: number;
  readonly getFraction: (team: string) => number;
}

/** Which part of each team an entry holds, now and in the last spans of time. */
export interface ShareTimeline {
  adoptView(view: LimitView, isTrusted: boolean, nowMs: number): boolean;
  suspend(nowMs: number): void;
  view(): LimitView | undefined;
  isTrusted(): boolean;
  /** When what this entry holds changed last. */
  lastChangeMs(): number;
  /** Holders of a team by the newest view. */
  holders(team: string): readonly string[];
  /** Spans after one, oldest first; earlier ones than these may have been forgotten. */
  periodsAfter(order: number): readonly SharePeriod[];
}

const KEPT_SPANS = 8;
/**
 * Holding of the entry at an address. It begins a loan's lifetime after the first trusted view, when
 * nothing is left of what a former process at this address has lent.
 */
export const newShareTimeline = (address: string): ShareTimeline => {
  let earliestMs: number | undefined;
  let view: LimitView | undefined;
  let isTrusted = false;
  let ranking: HolderCache | undefined;
  let spans: SharePeriod[] = [];
  let orders = 0;

  const addSpan = (getPart: SharePeriod['getFraction'], fromMs: number): void => {
    orders += 1;
    spans = [...spans, { sequence: orders, startMs: fromMs, getFraction: getPart }].slice(
      -KEPT_SPANS,
    );
  };

  return {
    adoptView: (next, isNextTrusted, nowMs) => {
      const isNewer = view === undefined || next.epoch > view.epoch;
      const gainsTrust = isNextTrusted && !isTrusted && next.epoch >= (view?.epoch ?? 0);
      if (!isNewer && !gainsTrust) return false;
      view = next;
      const nextRanking = newHolderCache(next, ranking);
      ranking = nextRanking;
      if (!isNextTrusted) return true;
      isTrusted = true;
      earliestMs ??= nowMs + LOAN_LIFETIME_MS;
      const getPart = (team: string): number =>
        getShareFraction(address, team, next, nextRanking.holders(team));
      addSpan(getPart, Math.max(nowMs, earliestMs));
      return true;
    },
    suspend: (nowMs) => {
      if (!isTrusted) return;
      isTrusted = false;
      addSpan(() => 0, nowMs);
    },
    view: () => view,
    isTrusted: () => isTrusted,
    lastChangeMs: () => spans.at(-1)?.startMs ?? Number.POSITIVE_INFINITY,
    holders: (team) => ranking?.holders(team) ?? [],
    periodsAfter: (order) => spans.filter((span) => span.sequence > order),
  };
};
