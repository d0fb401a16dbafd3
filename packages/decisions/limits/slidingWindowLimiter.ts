import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { RateLimit } from './tokenBucket';

/** Answer of a limit. */
export type WindowAdmission =
  | { readonly admitted: true }
  | {
      readonly admitted: false;
      readonly retryAfterMs: number;
      readonly used: number;
      readonly limit: number;
    };

/** What a gateway tells its peers of a team. */
export interface AdmissionReport {
  /** Its own admissions since its start. */
  readonly total: number;
  /** Admissions of all gateways in the window, as far as it knows. */
  readonly inWindow: number;
}

/** Admissions of a team in equal parts of the window, the oldest first. */
export type AdmissionSlots = readonly number[];

/** Who shares the limits. */
export interface GatewayVisibility {
  /** Gateways that may be admitting requests, this one included. */
  readonly members: number;
  /** Those that were heard of late, this one included. */
  readonly recentlySeen: number;
  /**
   * Time since the start of the oldest one heard, in milliseconds; at least the window when the
   * admissions before the starts are known.
   */
  readonly oldestUptimeMs: number;
}

/** What the operators allow beyond a limit in one window, as the gateways decide without waiting. */
export interface LimitTolerance {
  /** Part of the limit. */
  readonly share: number;
  /** Requests. */
  readonly count: number;
}

/**
 * Limit of each team over a sliding window, shared by all gateways: each tells the others what it
 * admitted. Gateways that are not heard are assumed to use their equal part of the limit. Times are
 * monotonic milliseconds.
 */
export interface SlidingWindowLimiter {
  take(team: string, rate: RateLimit, sharing: GatewayVisibility, nowMs: number): WindowAdmission;
  /** Admissions of this gateway, for its peers. */
  getOwn(nowMs: number): ReadonlyMap<string, AdmissionReport>;
  /** A peer told its admissions. */
  updatePeer(peer: string, spendings: ReadonlyMap<string, AdmissionReport>, nowMs: number): void;
  removePeer(peer: string): void;
  /** Admissions of all gateways in the window, as far as they are known. */
  getAdmissions(nowMs: number): ReadonlyMap<string, AdmissionSlots>;
  /** Takes over what gateways knew that are gone; `ageMs` is the time since then. */
  restore(admissions: ReadonlyMap<string, AdmissionSlots>, ageMs: number, nowMs: number): void;
}

const SLOTS_PER_WINDOW = 20;
const MIN_RETRY_MS = 50;
/** Part of the tolerance that makes up for gateways that are not heard; the rest is for late news. */
const UNHEARD_PART = 0.4;
const NO_TOLERANCE: LimitTolerance = { share: 0, count: 0 };

/** Count of events in a sliding window, in slots of a fixed width. */
const newWindowCount = (windowMs: number) => {
  const slotMs = windowMs / SLOTS_PER_WINDOW;
  // One slot more than the window has, so that what is counted is never younger than the window.
  const slots = new Array<number>(SLOTS_PER_WINDOW + 1).fill(0);
  let sum = 0;
  let newest = 0;

  const move = (nowMs: number): void => {
    const slot = Math.floor(nowMs / slotMs);
    const steps = Math.min(slot - newest, slots.length);
    for (let step = 1; step <= steps; step += 1) {
      const index = (newest + step) % slots.length;
      sum -= slots[index] ?? 0;
      slots[index] = 0;
    }
    if (steps >= slots.length) slots.fill(0);
    newest = Math.max(newest, slot);
  };

  return {
    add: (count: number, nowMs: number): void => {
      move(nowMs);
      const index = newest % slots.length;
      slots[index] = (slots[index] ?? 0) + count;
      sum += count;
    },
    get: (nowMs: number): number => {
      move(nowMs);
      return sum;
    },
    getParts: (nowMs: number): AdmissionSlots => {
      move(nowMs);
      return slots.map((_, index) => slots[(newest + 1 + index) % slots.length] ?? 0);
    },
    /** Raises each part to what another counter had at an earlier time. */
    raise: (parts: AdmissionSlots, ageMs: number, nowMs: number): void => {
      move(nowMs);
      const shift = Math.floor(Math.max(0, ageMs) / slotMs);
      parts.slice(shift).forEach((count, index) => {
        const slot = (newest + 1 + index) % slots.length;
        const missing = count - (slots[slot] ?? 0);
        if (missing <= 0) return;
        slots[slot] = count;
        sum += missing;
      });
    },
    /** Time until no more than a count is left in the window. */
    getDrainMs: (count: number, nowMs: number): number => {
      move(nowMs);
      let left = sum;
      for (let age = slots.length - 1; age >= 0; age -= 1) {
        if (left <= count) return (slots.length - 1 - age) * slotMs;
        left -= slots[(newest - age + slots.length * 2) % slots.length] ?? 0;
      }
      return windowMs;
    },
  };
};

type WindowCount = ReturnType<typeof newWindowCount>;

/** Limit of a gateway that knows of no admissions. */
export const newSlidingWindowLimiter = (
  windowMs: number,
  tolerance: LimitTolerance = NO_TOLERANCE,
): SlidingWindowLimiter => {
  const all = new Map<string, WindowCount>();
  const ownTotal = new Map<string, number>();
  const peerTotals = new Map<string, Map<string, number>>();

  const getCount = (counts: Map<string, WindowCount>, team: string): WindowCount => {
    const known = counts.get(team);
    if (known !== undefined) return known;
    const count = newWindowCount(windowMs);
    counts.set(team, count);
    return count;
  };

  /** Limit of a window; while no gateway knows all of the window, what the rate has earned since. */
  const getLimit = (
    { rate, burst }: RateLimit,
    { members, recentlySeen: heard, oldestUptimeMs: oldestMs }: GatewayVisibility,
  ): number => {
    const earningMs = Math.min(windowMs, oldestMs + windowMs / SLOTS_PER_WINDOW);
    const earned = (rate * earningMs) / MS_PER_SECOND + (oldestMs < windowMs ? 0 : burst);
    const part = Math.min(1, heard / Math.max(1, members));
    // All groups that hear only themselves admit the limit and this much more at most, taken together.
    const extra = UNHEARD_PART * (earned * tolerance.share + tolerance.count);
    return Math.min(earned, (earned + extra) * part);
  };

  return {
    take: (team, rate, sharing, nowMs) => {
      const limit = Math.max(1, getLimit(rate, sharing));
      const count = getCount(all, team);
      const used = count.get(nowMs);
      if (used + 1 > limit) {
        const retryAfterMs = Math.max(MIN_RETRY_MS, count.getDrainMs(limit - 1, nowMs));
        return { admitted: false, retryAfterMs, used, limit };
      }
      count.add(1, nowMs);
      ownTotal.set(team, (ownTotal.get(team) ?? 0) + 1);
      return { admitted: true };
    },
    getOwn: (nowMs) =>
      new Map(
        [...ownTotal].map(([team, total]) => [
          team,
          {
            total,
            inWindow: getCount(all, team).get(nowMs),
          },
        ]),
      ),
    updatePeer: (peer, spendings, nowMs) => {
      const known = peerTotals.get(peer);
      const totals = known ?? new Map<string, number>();
      peerTotals.set(peer, totals);
      spendings.forEach(({ total, inWindow: window }, team) => {
        const count = getCount(all, team);
        // Of a peer heard for the first time, only what it knows beyond this gateway is new here.
        const added =
          known === undefined ? window - count.get(nowMs) : total - (totals.get(team) ?? 0);
        if (added > 0) count.add(added, nowMs);
        totals.set(team, Math.max(total, totals.get(team) ?? 0));
      });
    },
    removePeer: (peer) => {
      peerTotals.delete(peer);
    },
    getAdmissions: (nowMs) =>
      new Map(
        [...all].flatMap(([team, count]) =>
          count.get(nowMs) > 0 ? [[team, count.getParts(nowMs)] as const] : [],
        ),
      ),
    restore: (admissions, ageMs, nowMs) =>
      admissions.forEach((parts, team) => getCount(all, team).raise(parts, ageMs, nowMs)),
  };
};
