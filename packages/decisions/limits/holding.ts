import type { LimitView } from '@anvilpaddle/protocol';
import { LOAN_LIFETIME_MS } from './constants';
import { getHolders, getShare } from './view';

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
const MAX_KNOWN_TEAMS = 2000;

/** Remembers the answer for each team while it is asked for. */
const newMemo = <T>(get: (team: string) => T): ((team: string) => T) => {
  const known = new Map<string, T>();
  return (team) => {
    const value = known.get(team);
    if (value !== undefined) return value;
    if (known.size >= MAX_KNOWN_TEAMS) known.clear();
    const computed = get(team);
    known.set(team, computed);
    return computed;
  };
};

/**
 * Holding of the entry at an address. It begins a loan's lifetime after the first trusted view, when
 * nothing is left of what a former process at this address has lent.
 */
export const newHolding = (address: string): Holding => {
  let earliestMs: number | undefined;
  let view: LimitView | undefined;
  let isTrusted = false;
  let getTeamHolders: (team: string) => readonly string[] = () => [];
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
      getTeamHolders = newMemo((team) => getHolders(team, next.members, next.holders));
      if (!isNextTrusted) return true;
      isTrusted = true;
      earliestMs ??= nowMs + LOAN_LIFETIME_MS;
      const getPart = newMemo((team) => getShare(address, team, next));
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
    holders: (team) => getTeamHolders(team),
    spansAfter: (order) => spans.filter((span) => span.order > order),
  };
};
