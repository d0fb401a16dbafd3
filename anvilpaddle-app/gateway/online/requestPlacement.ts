/** Places an online request: where it goes next, or when a refused caller may come back. */
import {
  getHedgeUpstream,
  getIsolatedCandidates,
  getPlacement,
  PART_STATE,
  URGENCY,
  type AttemptBudget,
  type Placement,
  type InputAssessment,
  type RequestTiming,
  type Shortage,
  type Urgency,
} from '@anvilpaddle/decisions';
import type { Route, Upstream } from '../types';
import type { OnlineDependencies, PlacementChoice } from './types';

/** The request goes to an upstream. */
export interface SendStep {
  readonly kind: 'send';
  readonly upstream: Upstream;
  readonly choice: PlacementChoice;
}

/** Next step of a request: it is sent, or no upstream has room for it. */
export type PlacementStep = SendStep | ({ readonly kind: 'refuse' } & Shortage);

/** Shortage of which nothing is known but that the upstreams reject. */
export const REJECTED: Shortage = { queueMs: 0 };

/** Times left for the request that is placed. */
export interface PlacedRequest {
  readonly route: Route;
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
  getRetryAfterMs(service: string, shortage: Shortage): number;
}

/** Creates the placement of a request. */
export const newRequestPlacement = (
  { route, getElapsedMs, getTimeLeftMs, budget }: PlacedRequest,
  { view, upstreamLoads, retrySchedule, getGatewayCount, clock, random }: OnlineDependencies,
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

  const newSendStep = (upstreamId: string, waitMs: number): SendStep | undefined => {
    const upstream = view.getUpstream(upstreamId);
    if (upstream === undefined) return undefined;
    const load = upstreamLoads.getLoad(upstream.id, clock.monotonic());
    return { kind: 'send', upstream, choice: { upstream: upstream.id, ...load, waitMs } };
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
      const placement = place(service, assessment, demand, urgency);
      if (placement.kind === 'refuse') return placement;
      const step = newSendStep(placement.upstream, placement.waitMs);
      return step ?? { kind: 'refuse', ...REJECTED };
    },
    getHedgeStep: (service) => {
      const candidates = view.getCandidates(service, budget.allows, URGENCY.online);
      const upstreamId = getHedgeUpstream(candidates, random);
      return upstreamId === undefined ? undefined : newSendStep(upstreamId, 0);
    },
    getRetryAfterMs: (service, { queueMs, limitWaitMs }) => {
      const admissionIntervalMs = view.getAdmissionIntervalMs(service, 1 / getGatewayCount());
      const shortage = { queueMs, limitWaitMs, admissionIntervalMs };
      return retrySchedule.getRetryAfterMs(shortage, clock.monotonic());
    },
  };
};
