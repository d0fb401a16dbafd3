/** Shares of a service's scarce capacity by team: weighted max-min fairness within each priority. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { Candidate, Placement } from '../placement/placement';
import { newRetryAfterSchedule, type RetryAfterSchedule } from '../placement/retryAfterSchedule';
import type { HeldSlots, SlotHolder, TeamSlots } from './teamSlots';

/** Slots that a team holds, with what its share depends on. */
export interface TeamDemand {
  readonly slots: number;
  /** Priority; the demand of lower numbers is met first. */
  readonly priority: number;
  readonly weight: number;
}

/** How the capacity that more urgent teams leave is shared within one priority. */
export interface PriorityClass {
  readonly priority: number;
  /** Slots that the teams of lower numbers leave. */
  readonly available: number;
  /** Slots per weight that a team may hold; infinite while the demand of all is met. */
  readonly level: number;
  /** Slots that are left when the demand of all is met; 0 otherwise. */
  readonly unused: number;
}

const getWeightedSlots = ({ slots, weight }: TeamDemand): number => slots / weight;

const sumBy = <T>(items: readonly T[], getValue: (item: T) => number): number =>
  items.reduce((sum, item) => sum + getValue(item), 0);

/** Serves the smallest demands first; the others get equal slots per weight of what is left. */
const getPriorityClass = (
  priority: number,
  demands: readonly TeamDemand[],
  available: number,
): PriorityClass => {
  const ascending = [...demands].sort((a, b) => getWeightedSlots(a) - getWeightedSlots(b));
  let left = available;
  let weightLeft = sumBy(ascending, ({ weight }) => weight);
  for (const demand of ascending) {
    const level = left / weightLeft;
    if (getWeightedSlots(demand) > level) return { priority, available, level, unused: 0 };
    left -= demand.slots;
    weightLeft -= demand.weight;
  }
  return { priority, available, level: Infinity, unused: Math.max(0, left) };
};

/** Shares the capacity, in slots, among the priorities, the most urgent first. */
export const getPriorityClasses = (
  demands: readonly TeamDemand[],
  capacity: number,
): readonly PriorityClass[] => {
  const byPriority = new Map<number, TeamDemand[]>();
  demands.forEach((demand) => {
    const others = byPriority.get(demand.priority);
    if (others === undefined) byPriority.set(demand.priority, [demand]);
    else others.push(demand);
  });
  let available = Math.max(0, capacity);
  return [...byPriority]
    .sort(([a], [b]) => a - b)
    .map(([priority, members]) => {
      const priorityClass = getPriorityClass(priority, members, available);
      available = priorityClass.unused;
      return priorityClass;
    });
};

/** Slots that a team may hold: all that it holds and what is unused, unless its class is short. */
export const getTeamShare = (
  { slots, priority, weight }: TeamDemand,
  classes: readonly PriorityClass[],
  capacity: number,
): number => {
  const own = classes.find((priorityClass) => priorityClass.priority === priority);
  if (own !== undefined) {
    return own.level === Infinity ? slots + own.unused : own.level * weight;
  }
  const moreUrgent = classes.filter((priorityClass) => priorityClass.priority < priority).at(-1);
  return slots + (moreUrgent?.unused ?? Math.max(0, capacity));
};

/** A team's part of the capacity of a service, in slots. */
export interface TeamShare {
  /** Slots that its requests hold at all gateways. */
  readonly teamSlots: number;
  /** Slots that it may hold while capacity is short. */
  readonly teamShare: number;
  /** Slots of the service's usable upstreams, without those held by requests that name no team. */
  readonly teamCapacity: number;
}

/** Whether a team holds more than its share. */
export const isOverShare = ({ teamSlots, teamShare }: TeamShare): boolean => teamSlots > teamShare;

/** Share of a team at a service that has more requests than slots. */
export interface ScarceShare {
  readonly share: TeamShare;
  /** Whether slots are free that no other gateway can have taken since its last report. */
  readonly hasFreeSlots: boolean;
}

/**
 * Places a request with the longest wait for a slot that its team's share allows: a team over its share
 * gets a free slot or is refused. `place` chooses the upstream for a longest wait in milliseconds.
 */
export const placeWithinShare = (
  scarce: ScarceShare | undefined,
  place: (maxWaitMs: number) => Placement,
): Placement => {
  if (scarce === undefined || !isOverShare(scarce.share)) return place(Infinity);
  return scarce.hasFreeSlots ? place(0) : { kind: 'refuse', queueMs: 0 };
};

/** What the configuration says of a team's part. */
export interface TeamTerms {
  readonly name: string;
  /** Requests per second that its rate limit allows; 0 without a limit. */
  readonly ratePerSecond: number;
  readonly weight: number;
}

/** What the shares depend on. */
export interface ShareSources {
  readonly teamSlots: TeamSlots;
  /** Teams of the configuration; the same array until the configuration changes. */
  getTeams(): readonly TeamTerms[];
  /** Usable upstreams of a service. */
  getCandidates(service: string): readonly Candidate[];
}

/** Tells whether teams hold more than their share of a service. Times are monotonic milliseconds. */
export interface TeamShares {
  /**
   * Share of a holder; undefined while its service has as many slots as requests, where the
   * configuration does not call for shares, or while too little is known of the other gateways.
   */
  getShare(holder: SlotHolder, nowMs: number): ScarceShare | undefined;
  /** Time after which one more refused caller of a team over its share should retry, in milliseconds. */
  getRetryAfterMs(holder: SlotHolder, share: TeamShare, gateways: number, nowMs: number): number;
  /** This gateway's own slots at the services that call for shares, for its peers. */
  getReport(nowMs: number): readonly HeldSlots[];
  /** Number of teams that hold more than their share of a service. */
  countOver(nowMs: number): number;
}

/** Time for which calculated shares are used again; views of peers are older than that. */
const SHARES_TTL_MS = 25;
/** Time between two checks whether the teams' limits add up to more than a service can take. */
const CALL_CHECK_INTERVAL_MS = 1000;
/** Time since the last report of any peer after which a gateway knows too little of the others. */
const PEER_SILENCE_TIMEOUT_MS = 700;
/** Time after the start until the first reports of all peers have arrived. */
const START_GRACE_MS = 700;

/** Upstreams of a service and the requests there, over all gateways. */
interface ServiceUse {
  readonly slots: number;
  readonly online: number;
  readonly freeSlots: number;
  readonly meanMs: number;
}

/** Shares of a service with more requests than slots. */
interface ScarceShares {
  readonly capacity: number;
  readonly held: readonly HeldSlots[];
  readonly classes: readonly PriorityClass[];
  readonly hasFreeSlots: boolean;
  readonly meanMs: number;
}

/** A value as of some time. */
interface Timed<T> {
  readonly value: T;
  readonly atMs: number;
}

/** Requests and slots at the upstreams that placement uses: the healthy ones, or all if none is. */
const getServiceUse = (candidates: readonly Candidate[]): ServiceUse => {
  const healthy = candidates.filter(({ weight }) => weight > 0);
  const usable = healthy.length > 0 ? healthy : candidates;
  return {
    slots: sumBy(usable, ({ slots }) => slots),
    online: sumBy(usable, ({ load }) => load.online),
    freeSlots: sumBy(usable, ({ slots, load }) => Math.max(0, slots - load.online)),
    meanMs: usable[0]?.serviceMeanMs ?? 0,
  };
};

/** The value of a key, calculated anew once it is older than a time. */
const getTimed = <T>(
  values: Map<string, Timed<T>>,
  key: string,
  maxAgeMs: number,
  nowMs: number,
  calculate: () => T,
): T => {
  const known = values.get(key);
  if (known !== undefined && nowMs - known.atMs < maxAgeMs) return known.value;
  const value = calculate();
  values.set(key, { value, atMs: nowMs });
  return value;
};

/** Creates the shares of a gateway that has just started. */
export const newTeamShares = (
  { teamSlots, getTeams, getCandidates }: ShareSources,
  startedMs: number,
): TeamShares => {
  const calls = new Map<string, Timed<boolean>>();
  const shares = new Map<string, Timed<ScarceShares | undefined>>();
  const retrySchedules = new Map<string, RetryAfterSchedule>();
  let teams: readonly TeamTerms[] = [];
  let weights = new Map<string, number>();
  let limitSum = 0;

  const readTeams = (): void => {
    const current = getTeams();
    if (current === teams) return;
    teams = current;
    weights = new Map(teams.map(({ name, weight }) => [name, weight]));
    limitSum = sumBy(teams, ({ ratePerSecond }) => ratePerSecond);
    [calls, shares, retrySchedules].forEach((values) => values.clear());
  };

  /** Whether the teams may together ask for more than the service can take. */
  const isCalledFor = (service: string, nowMs: number): boolean => {
    readTeams();
    if (limitSum <= 0) return false;
    return getTimed(calls, service, CALL_CHECK_INTERVAL_MS, nowMs, () => {
      const { slots, meanMs } = getServiceUse(getCandidates(service));
      return meanMs > 0 && limitSum > (slots * MS_PER_SECOND) / meanMs;
    });
  };

  const isViewComplete = (nowMs: number): boolean =>
    nowMs - startedMs >= START_GRACE_MS && teamSlots.getSilenceMs(nowMs) < PEER_SILENCE_TIMEOUT_MS;

  const getDemand = ({ team, priority, slots }: HeldSlots): TeamDemand => ({
    slots,
    priority,
    weight: weights.get(team) ?? 1,
  });

  const calculate = (service: string, nowMs: number): ScarceShares | undefined => {
    const { slots, online, freeSlots, meanMs } = getServiceUse(getCandidates(service));
    if (online <= slots) return undefined;
    const held = teamSlots.getHeld(service, nowMs);
    // Requests on public routes name no team, and gateways of an earlier version report no teams.
    const heldByOthers = Math.max(0, online - sumBy(held, (holder) => holder.slots));
    const capacity = Math.max(0, slots - heldByOthers);
    // As many requests begin in that time as end, and each gateway sees the same free slots.
    const unseenRequests = (online * teamSlots.getReportIntervalMs()) / meanMs;
    return {
      capacity,
      held,
      classes: getPriorityClasses(held.map(getDemand), capacity),
      hasFreeSlots: freeSlots > unseenRequests,
      meanMs,
    };
  };

  const getScarceShares = (service: string, nowMs: number): ScarceShares | undefined =>
    isCalledFor(service, nowMs) && isViewComplete(nowMs)
      ? getTimed(shares, service, SHARES_TTL_MS, nowMs, () => calculate(service, nowMs))
      : undefined;

  const newShare = (held: HeldSlots, { classes, capacity }: ScarceShares): TeamShare => ({
    teamSlots: held.slots,
    teamShare: getTeamShare(getDemand(held), classes, capacity),
    teamCapacity: capacity,
  });

  return {
    getShare: (holder, nowMs) => {
      const scarce = getScarceShares(holder.service, nowMs);
      if (scarce === undefined) return undefined;
      const held = scarce.held.find(
        ({ team, priority }) => team === holder.team && priority === holder.priority,
      );
      const share = newShare(held ?? { ...holder, slots: 0 }, scarce);
      return { share, hasFreeSlots: scarce.hasFreeSlots };
    },
    getRetryAfterMs: ({ service, team }, share, gateways, nowMs) => {
      const meanMs = getScarceShares(service, nowMs)?.meanMs ?? 0;
      const schedule = retrySchedules.get(team) ?? newRetryAfterSchedule();
      retrySchedules.set(team, schedule);
      return schedule.getRetryAfterMs(
        {
          // Time in which as many of the team's requests end as it holds beyond its share.
          queueMs: meanMs * Math.max(0, 1 - share.teamShare / Math.max(1, share.teamSlots)),
          admissionIntervalMs: (meanMs * gateways) / Math.max(1, share.teamShare),
        },
        nowMs,
      );
    },
    getReport: (nowMs) => teamSlots.getOwn().filter(({ service }) => isCalledFor(service, nowMs)),
    countOver: (nowMs) => {
      const over = [...calls.keys()].flatMap((service) => {
        const scarce = getScarceShares(service, nowMs);
        return scarce === undefined
          ? []
          : scarce.held
              .filter((held) => isOverShare(newShare(held, scarce)))
              .map(({ team }) => team);
      });
      return new Set(over).size;
    },
  };
};
