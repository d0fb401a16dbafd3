/** Limit on each team's requests in a sliding window, shared by all gateways. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { RateLimit } from './tokenBucket';
import {
  newWindowCounter,
  SLOTS_PER_WINDOW,
  type WindowCounter,
  type WindowSlots,
} from './windowCounter';

/** Decision on one request; a refusal names the admissions in the window and the limit. */
export type WindowAdmission =
  | { readonly admitted: true }
  | {
      readonly admitted: false;
      readonly retryAfterMs: number;
      readonly used: number;
      readonly limit: number;
    };

/** What a gateway reports to its peers about one team. */
export interface AdmissionReport {
  /** Requests that the gateway itself has admitted since its start. */
  readonly total: number;
  /** Requests that all gateways have admitted in the window, as far as the gateway knows. */
  readonly inWindow: number;
}

/** Admissions of a team in each time slot of the window, oldest slot first. */
export type AdmissionSlots = WindowSlots;

/** Which gateways share the limits, and how many of them this gateway gets reports from. */
export interface GatewayVisibility {
  /** Gateways that may be admitting requests, including this one. */
  readonly members: number;
  /** Gateways that have sent a report recently, including this one. */
  readonly recentlySeen: number;
  /**
   * Time since the oldest recently seen gateway started, in milliseconds; at least the length of the
   * window when the admissions before the starts are known.
   */
  readonly oldestUptimeMs: number;
  /**
   * Restarts of all gateways in the window, before each of which some admissions may not have been stored;
   * 0 if a gateway has run for the whole window and knows them.
   */
  readonly restarts?: number;
}

/** Admissions of all gateways up to a moment, by team. */
export type AdmissionMark = ReadonlyMap<string, number>;

/**
 * Requests that the operators tolerate beyond the limit in one window, because each gateway decides
 * without waiting for the others.
 */
export interface LimitTolerance {
  /** Fraction of the limit. */
  readonly share: number;
  /** Number of requests, added to the fraction. */
  readonly count: number;
}

/**
 * Limit of each team over a sliding window, shared by all gateways: each gateway reports its
 * admissions to the others. A gateway that was not seen recently is assumed to use an equal fraction
 * of the limit. Times are monotonic milliseconds.
 */
export interface SlidingWindowLimiter {
  /** Admits a request of a team, or refuses it. */
  take(
    team: string,
    rateLimit: RateLimit,
    visibility: GatewayVisibility,
    nowMs: number,
  ): WindowAdmission;
  /** What this gateway reports to its peers, by team. */
  getOwn(nowMs: number): ReadonlyMap<string, AdmissionReport>;
  /** Requests of all teams that this gateway has admitted since its start. */
  getOwnTotal(): number;
  /** Teams of this gateway's last admissions, at most `RECENT_ADMISSIONS`, with their totals. */
  getRecent(): readonly (readonly [string, number])[];
  /** Counts the admissions that a peer reports; each team may occur once. */
  updatePeer(
    peer: string,
    reports: Iterable<readonly [string, AdmissionReport]>,
    nowMs: number,
  ): void;
  /** Drops the state of a peer; its admissions stay counted. */
  removePeer(peer: string): void;
  /** Admissions of all gateways in the window, as far as they are known, by team. */
  getAdmissions(nowMs: number): ReadonlyMap<string, AdmissionSlots>;
  /** Admissions that are known now; what is stored holds them all. */
  getMark(): AdmissionMark;
  /** Notes that the admissions of a mark have been stored. */
  setStored(mark: AdmissionMark): void;
  /** Teams of which enough admissions are not stored that they should be soon. */
  getUnstoredTeams(nowMs: number): string[];
  /** Adds admissions that a gateway process stored `ageMs` ago and that are not counted yet. */
  restore(admissions: ReadonlyMap<string, AdmissionSlots>, ageMs: number, nowMs: number): void;
}

/**
 * Number of the last admissions whose teams are reported apart. It is more than a gateway usually admits
 * between two datagrams to a peer.
 */
export const RECENT_ADMISSIONS = 4;
const MIN_RETRY_AFTER_MS = 50;
/** Admissions of a team that need not be stored at once: a number, and a fraction of the limit. */
const MIN_UNSTORED = 4;
const UNSTORED_FRACTION = 0.04;
/**
 * Fraction of the limit that is held back after a restart of all gateways, for what they had admitted
 * beyond that while it was on its way to the store.
 */
const RESTART_FRACTION = 0.12;
/**
 * Fraction of the tolerance that offsets the limit reserved for gateways not seen recently; the rest
 * covers reports that arrive late.
 */
const UNSEEN_TOLERANCE_FRACTION = 0.4;
const NO_TOLERANCE: LimitTolerance = { share: 0, count: 0 };

/** Limiter of a gateway that knows of no admissions yet. */
export const newSlidingWindowLimiter = (
  windowMs: number,
  tolerance: LimitTolerance = NO_TOLERANCE,
): SlidingWindowLimiter => {
  const counters = new Map<string, WindowCounter>();
  const ownTotals = new Map<string, number>();
  let ownTotal = 0;
  let recentTeams: readonly string[] = [];
  const peerTotals = new Map<string, Map<string, number>>();
  /** Admissions of all gateways since the start, as far as they are known. */
  const knownTotals = new Map<string, number>();
  let storedTotals: AdmissionMark = new Map();
  /** Limit in one window, of the teams that have asked here. */
  const windowLimits = new Map<string, number>();

  const getCounter = (byTeam: Map<string, WindowCounter>, team: string): WindowCounter => {
    const known = byTeam.get(team);
    if (known !== undefined) return known;
    const counter = newWindowCounter(windowMs);
    byTeam.set(team, counter);
    return counter;
  };

  const addAdmissions = (team: string, count: number, nowMs: number): void => {
    getCounter(counters, team).add(count, nowMs);
    knownTotals.set(team, (knownTotals.get(team) ?? 0) + count);
  };

  const getWindowLimit = ({ rate, burst }: RateLimit): number =>
    (rate * windowMs) / MS_PER_SECOND + burst;

  /**
   * Limit that applies to this gateway. While no gateway knows the admissions of the whole window, it
   * is only what the rate has earned since the oldest gateway started.
   */
  const getLimit = (
    rateLimit: RateLimit,
    { members, recentlySeen, oldestUptimeMs, restarts = 0 }: GatewayVisibility,
  ): number => {
    const { rate, burst } = rateLimit;
    const earningMs = Math.min(windowMs, oldestUptimeMs + windowMs / SLOTS_PER_WINDOW);
    const heldBack = restarts * RESTART_FRACTION * getWindowLimit(rateLimit);
    const earned =
      (rate * earningMs) / MS_PER_SECOND + (oldestUptimeMs < windowMs ? 0 : burst) - heldBack;
    const fraction = Math.min(1, recentlySeen / Math.max(1, members));
    // If the gateways are partitioned into groups, all groups together admit at most `earned + extra`.
    const extra = UNSEEN_TOLERANCE_FRACTION * (earned * tolerance.share + tolerance.count);
    return Math.min(earned, (earned + extra) * fraction);
  };

  return {
    take: (team, rateLimit, visibility, nowMs) => {
      windowLimits.set(team, getWindowLimit(rateLimit));
      const limit = Math.max(1, getLimit(rateLimit, visibility));
      const counter = getCounter(counters, team);
      const used = counter.get(nowMs);
      if (used + 1 > limit) {
        const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, counter.getDrainMs(limit - 1, nowMs));
        return { admitted: false, retryAfterMs, used, limit };
      }
      addAdmissions(team, 1, nowMs);
      ownTotals.set(team, (ownTotals.get(team) ?? 0) + 1);
      ownTotal += 1;
      recentTeams = [...recentTeams.slice(1 - RECENT_ADMISSIONS), team];
      return { admitted: true };
    },
    getOwn: (nowMs) =>
      new Map(
        [...ownTotals].map(([team, total]) => [
          team,
          {
            total,
            inWindow: getCounter(counters, team).get(nowMs),
          },
        ]),
      ),
    getOwnTotal: () => ownTotal,
    getRecent: () => [...new Set(recentTeams)].map((team) => [team, ownTotals.get(team) ?? 0]),
    updatePeer: (peer, reports, nowMs) => {
      const known = peerTotals.get(peer);
      const totals = known ?? new Map<string, number>();
      peerTotals.set(peer, totals);
      for (const [team, { total, inWindow }] of reports) {
        const knownTotal = totals.get(team);
        // Most teams of most reports are unchanged.
        if (total !== knownTotal) {
          // A peer's first report contains admissions that this gateway has already counted, so only
          // the excess over its own count is added.
          const added =
            known === undefined
              ? inWindow - getCounter(counters, team).get(nowMs)
              : total - (knownTotal ?? 0);
          if (added > 0) addAdmissions(team, added, nowMs);
          totals.set(team, Math.max(total, knownTotal ?? 0));
        }
      }
    },
    removePeer: (peer) => {
      peerTotals.delete(peer);
    },
    getAdmissions: (nowMs) =>
      new Map(
        [...counters].flatMap(([team, counter]) =>
          counter.get(nowMs) > 0 ? [[team, counter.getSlots(nowMs)] as const] : [],
        ),
      ),
    getMark: () => new Map(knownTotals),
    setStored: (mark) => {
      storedTotals = mark;
    },
    getUnstoredTeams: (nowMs) =>
      [...knownTotals]
        .filter(([team, total]) => {
          const unstored = total - (storedTotals.get(team) ?? 0);
          if (unstored < MIN_UNSTORED) return false;
          const limit = windowLimits.get(team) ?? getCounter(counters, team).get(nowMs);
          return unstored >= MIN_UNSTORED + UNSTORED_FRACTION * limit;
        })
        .map(([team]) => team),
    restore: (admissions, ageMs, nowMs) =>
      admissions.forEach((slots, team) => getCounter(counters, team).raise(slots, ageMs, nowMs)),
  };
};
