/** Places an online request: where it goes next, or when a refused caller may come back. */
import {
  getHedgeUpstream,
  getIsolatedCandidates,
  getPlacement,
  isOverShare,
  PART_STATE,
  placeWithinShare,
  URGENCY,
  type AttemptBudget,
  type Placement,
  type InputAssessment,
  type RequestTiming,
  type Shortage,
  type TeamShare,
  type Urgency,
} from '@anvilpaddle/decisions';
import type { Route, Upstream } from '../types';
import type { OnlineDependencies, PlacementChoice } from './types';

/** The request goes to an upstream. */
export interface SendStep {
  readonly kind: 'send';
  readonly upstream: Upstream;
  readonly choice: PlacementChoice;
  /** Share of the request's team; undefined unless capacity is short. */
  readonly share: TeamShare | undefined;
}

/** No upstream gets the request. */
export interface RefuseStep extends Shortage {
  readonly kind: 'refuse';
  readonly share?: TeamShare | undefined;
  /** Whether it might have waited for a slot if its team weren't over its share. */
  readonly isOverShare?: boolean;
}

/** Next step of a request: it is sent, or no upstream has room for it. */
export type PlacementStep = SendStep | RefuseStep;

/** Shortage of which nothing is known but that the upstreams reject. */
export const REJECTED: Shortage = { queueMs: 0 };

/** Times left for the request that is placed. */
export interface PlacedRequest {
  readonly route: Route;
  readonly team: string | undefined;
  readonly priority: number;
  readonly getElapsedMs: () => number;
  readonly getTimeLeftMs: () => number;
  readonly budget: AttemptBudget;
}

/** Placement of one request. */
export interface RequestPlacement {
  /** Next place for the request. */
  getNextStep(service: string, assessment: InputAssessment): PlacementStep;
  /** Next place for the request beside an attempt that is slow; undefined if there is no room for it. */
  getHedgeStep(service: string): SendStep | undefined;
  /** Time after which a caller that is refused may come back, in milliseconds. */
  getRetryAfterMs(service: string, shortage: Omit<RefuseStep, 'kind'>): number;
}

/** Creates the placement of a request. */
export const newRequestPlacement = (
  { route, team, priority, getElapsedMs, getTimeLeftMs, budget }: PlacedRequest,
  {
    view,
    upstreamLoads,
    teamShares,
    retrySchedule,
    getGatewayCount,
    clock,
    random,
  }: OnlineDependencies,
): RequestPlacement => {
  /** Places the request; a suspect, or a trial, goes to the upstream of its part if that has room. */
  const place = (
    service: string,
    assessment: InputAssessment,
    demand: RequestTiming,
    urgency: Urgency,
  ): Placement => {
    const candidates = view.getCandidates(service, budget.allows, urgency);
    if (assessment.state !== PART_STATE.clear) {
      const isolated = getIsolatedCandidates(assessment.part, candidates);
      const placement = getPlacement(isolated, demand, random);
      if (placement.kind === 'send') return placement;
    }
    return getPlacement(candidates, demand, random);
  };

  const newSendStep = (
    upstreamId: string,
    waitMs: number,
    share?: TeamShare,
  ): SendStep | undefined => {
    const upstream = view.getUpstream(upstreamId);
    if (upstream === undefined) return undefined;
    const load = upstreamLoads.getLoad(upstream.id, clock.monotonic());
    const choice = { upstream: upstream.id, ...load, waitMs };
    return { kind: 'send', upstream, choice, share };
  };

  return {
    getNextStep: (service, assessment) => {
      const isUnderWay = budget.mayHaveRun();
      // A request that may have run already is worth finishing even if it is late.
      const objectiveLeftMs = isUnderWay
        ? route.latencyObjectiveMs
        : route.latencyObjectiveMs - getElapsedMs();
      const demand = { objectiveLeftMs, timeLeftMs: getTimeLeftMs() };
      const urgency = isUnderWay ? URGENCY.underWay : URGENCY.online;
      // What was begun is finished, whatever its team holds.
      const scarce =
        isUnderWay || team === undefined
          ? undefined
          : teamShares.getShare({ service, team, priority }, clock.monotonic());
      const placement = placeWithinShare(scarce, (maxWaitMs) =>
        place(service, assessment, { ...demand, maxWaitMs }, urgency),
      );
      const share = scarce?.share;
      if (placement.kind === 'refuse') {
        const isHeldBack = share !== undefined && isOverShare(share);
        return {
          ...placement,
          share,
          isOverShare: isHeldBack && placement.limitWaitMs === undefined,
        };
      }
      const step = newSendStep(placement.upstream, placement.waitMs, share);
      return step ?? { kind: 'refuse', ...REJECTED };
    },
    getHedgeStep: (service) => {
      const candidates = view.getCandidates(service, budget.allows, URGENCY.online);
      const upstreamId = getHedgeUpstream(candidates, random);
      return upstreamId === undefined ? undefined : newSendStep(upstreamId, 0);
    },
    getRetryAfterMs: (service, { queueMs, limitWaitMs, share, isOverShare: isHeldBack }) => {
      if (isHeldBack === true && share !== undefined && team !== undefined) {
        const holder = { service, team, priority };
        return teamShares.getRetryAfterMs(holder, share, getGatewayCount(), clock.monotonic());
      }
      const admissionIntervalMs = view.getAdmissionIntervalMs(service, 1 / getGatewayCount());
      const shortage = { queueMs, limitWaitMs, admissionIntervalMs };
      return retrySchedule.getRetryAfterMs(shortage, clock.monotonic());
    },
  };
};
