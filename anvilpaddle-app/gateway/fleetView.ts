/** Upstreams with their load and health, as input for placement decisions. */
import { MS_PER_SECOND, type Clock } from '@anvilpaddle/common';
import type {
  BatchCandidate,
  Candidate,
  ColdUpstreams,
  Health,
  LoadTracker,
  ServiceTimes,
  UpstreamLimits,
  Urgency,
} from '@anvilpaddle/decisions';
import type { Evacuations } from './evacuations';
import type { Upstream } from './types';
import type { UpstreamWatch } from './upstreamWatch';

/** Why no upstream of a service may get requests, whatever room they have. */
export const CLOSURE = {
  /** All of them are in evacuated failure domains. */
  evacuated: 'evacuated',
  /** It is not known at the moment which failure domains are evacuated. */
  unknown: 'unknown',
} as const;
/** One of the reasons in `CLOSURE`. */
export type Closure = (typeof CLOSURE)[keyof typeof CLOSURE];

/** Upstreams as candidates for placement. */
export interface FleetView {
  /** Candidates for an online request, by their ids those that are allowed. */
  getCandidates(
    service: string,
    isAllowed: (upstream: string) => boolean,
    urgency: Urgency,
  ): Candidate[];
  getBatchCandidates(service: string): BatchCandidate[];
  /** The upstream as a candidate for batch items; undefined when it can get no work. */
  getBatchCandidate(id: string): BatchCandidate | undefined;
  getUpstream(id: string): Upstream | undefined;
  /** Whether the operators have requested that nothing more be sent to the upstream's failure domain. */
  isEvacuated(upstream: Upstream): boolean;
  /** Whether an upstream is slow for now, as it has just started. */
  isCold(upstream: Upstream): boolean;
  /** Why no upstream of a service may get requests; undefined if one may, or for want of room alone. */
  getClosure(service: string): Closure | undefined;
  /** Reports that another process answered at an upstream's address. */
  reportReplaced(upstream: Upstream): void;
  /**
   * Mean time in milliseconds after which a fraction (0 to 1) of a service's upstreams can admit one
   * more online request, by their slots and their limits.
   */
  getAdmissionIntervalMs(service: string, fraction: number): number;
}

/** Combines the list, the loads and the health of the upstreams. */
export const newFleetView = (
  upstreamWatch: UpstreamWatch,
  upstreamLoads: LoadTracker,
  health: Health,
  serviceTimes: ServiceTimes,
  limits: Pick<UpstreamLimits, 'getRequestsPerSecond' | 'getWaitMs' | 'getSpareTokens'>,
  coldUpstreams: Pick<ColdUpstreams, 'isCold'>,
  evacuations: Pick<Evacuations, 'isEvacuated' | 'isCurrent' | 'getCount'>,
  failureDomain: string,
  clock: Clock,
): FleetView => {
  const getCommonFields = ({ id, slots, incarnation }: Upstream, nowMs: number) => ({
    id,
    slots,
    isCold: coldUpstreams.isCold(incarnation, nowMs),
    load: upstreamLoads.getLoad(id, nowMs),
    weight: health.weight(id, nowMs),
  });

  const newBatchCandidate = (upstream: Upstream, nowMs: number): BatchCandidate => ({
    ...getCommonFields(upstream, nowMs),
    spareTokens: limits.getSpareTokens(upstream.incarnation, nowMs),
  });

  /** Requests per second that an upstream can admit. */
  const getAdmissionRate = ({ slots, incarnation }: Upstream, serviceMeanMs: number): number =>
    Math.min(
      (slots * MS_PER_SECOND) / serviceMeanMs,
      limits.getRequestsPerSecond(incarnation, clock.monotonic()) ?? Infinity,
    );

  return {
    getCandidates: (service, isAllowed, urgency) => {
      const nowMs = clock.monotonic();
      const serviceMeanMs = serviceTimes.getServiceMeanMs(service);
      return upstreamWatch
        .getUsable(service)
        .filter(({ id }) => isAllowed(id))
        .map((upstream) => ({
          ...getCommonFields(upstream, nowMs),
          limitWaitMs: limits.getWaitMs(upstream.incarnation, urgency, nowMs),
          isSameFailureDomain: upstream.failureDomain === failureDomain,
          upstreamMeanMs: serviceTimes.getUpstreamMeanMs(service, upstream.id),
          serviceMeanMs,
        }));
    },
    getBatchCandidates: (service) => {
      const nowMs = clock.monotonic();
      return upstreamWatch.getUsable(service).map((upstream) => newBatchCandidate(upstream, nowMs));
    },
    getBatchCandidate: (id) => {
      const upstream = upstreamWatch.get(id);
      return upstream !== undefined && upstreamWatch.isUsable(upstream)
        ? newBatchCandidate(upstream, clock.monotonic())
        : undefined;
    },
    getUpstream: (id) => upstreamWatch.get(id),
    isCold: ({ incarnation }) => coldUpstreams.isCold(incarnation, clock.monotonic()),
    isEvacuated: (upstream) => evacuations.isEvacuated(upstream.failureDomain),
    getClosure: (service) => {
      if (!evacuations.isCurrent()) return CLOSURE.unknown;
      if (evacuations.getCount() === 0) return undefined;
      const listed = upstreamWatch.getAll().filter((upstream) => upstream.service === service);
      const areAllEvacuated = listed.every((upstream) =>
        evacuations.isEvacuated(upstream.failureDomain),
      );
      return listed.length > 0 && areAllEvacuated ? CLOSURE.evacuated : undefined;
    },
    reportReplaced: (upstream) => upstreamWatch.reportReplaced(upstream),
    getAdmissionIntervalMs: (service, fraction) => {
      const serviceMeanMs = serviceTimes.getServiceMeanMs(service);
      const admissionRate = upstreamWatch
        .getUsable(service)
        .reduce((sum, upstream) => sum + getAdmissionRate(upstream, serviceMeanMs), 0);
      const slowestRate = MS_PER_SECOND / serviceMeanMs;
      return MS_PER_SECOND / Math.max(slowestRate, admissionRate * fraction);
    },
  };
};
