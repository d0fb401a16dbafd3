import type { LimitView } from '@anvilpaddle/protocol';
import { LOAN_LIFETIME_MS } from './constants';
import { newRanking, type Ranking } from './ranking';
import { getShare } from './view';

/** Part of a team that this entry holds from a moment on. */
export interface Span {
  /** Grows by one with each span. */
  readonly order: number;
  readonly fromMs: number;
  readonly getPart: (team: string) => number;
}

/** Which part of each team an entry holds, now and in the last spans of time. */
export interface Holding {
  adopt(view: LimitView, isTrusted: boolean, nowMs: number): boolean;
  suspend(nowMs: number): void;
  view(): LimitView | undefined;
  isTrusted(): boolean;
  /** When what this entry holds changed last. */
  changedMs(): number;
  /** Holders of a team by the newest view. */
  holders(team: string): readonly string[];
  /** Spans after one, oldest first; earlier ones than these may have been forgotten. */
  spansAfter(order: number): readonly Span[];
}

const KEPT_SPANS = 8;
/**
 * Holding of the entry at an address. It begins a loan's lifetime after the first trusted view, when
 * nothing is left of what a former process at this address has lent.
 */
export const newHolding = (address: string): Holding => {
  let earliestMs: number | undefined;
  let view: LimitView | undefined;
  let isTrusted = false;
  let ranking: Ranking | undefined;
  let spans: Span[] = [];
  let orders = 0;

  const addSpan = (getPart: Span['getPart'], fromMs: number): void => {
    orders += 1;
    spans = [...spans, { order: orders, fromMs, getPart }].slice(-KEPT_SPANS);
  };

  return {
    adopt: (next, isNextTrusted, nowMs) => {
      const isNewer = view === undefined || next.epoch > view.epoch;
      const gainsTrust = isNextTrusted && !isTrusted && next.epoch >= (view?.epoch ?? 0);
      if (!isNewer && !gainsTrust) return false;
      view = next;
      const nextRanking = newRanking(next, ranking);
      ranking = nextRanking;
      if (!isNextTrusted) return true;
      isTrusted = true;
      earliestMs ??= nowMs + LOAN_LIFETIME_MS;
      const getPart = (team: string): number =>
        getShare(address, team, next, nextRanking.holders(team));
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
    changedMs: () => spans.at(-1)?.fromMs ?? Number.POSITIVE_INFINITY,
    holders: (team) => ranking?.holders(team) ?? [],
    spansAfter: (order) => spans.filter((span) => span.order > order),
  };
};
