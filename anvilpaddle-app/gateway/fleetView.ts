/** What a gateway knows of the upstreams' load and health, as the decisions ask for it. */
import type { Clock } from '@anvilpaddle/common';
import type {
  BatchCandidate,
  Candidate,
  Health,
  LoadTracker,
  ServiceTimes,
} from '@anvilpaddle/decisions';
import type { Upstream } from './types';
import type { UpstreamWatch } from './upstreamWatch';

/** Upstreams of a service as candidates. */
export interface FleetView {
  getCandidates(service: string, except: ReadonlySet<string>): Candidate[];
  getBatchCandidates(service: string): BatchCandidate[];
  getUpstream(id: string): Upstream | undefined;
  /** Another process answered at an upstream's address. */
  reportReplaced(upstream: Upstream): void;
  /** Time in which a share of a service's upstreams takes in one more online request, in ms. */
  getAdmissionIntervalMs(service: string, share: number): number;
}

/** View over the list, the loads and the health of upstreams. */
export const newFleetView = (
  watch: UpstreamWatch,
  board: LoadTracker,
  health: Health,
  times: ServiceTimes,
  failureDomain: string,
  clock: Clock,
): FleetView => ({
  getCandidates: (service, except) => {
    const nowMs = clock.monotonic();
    return watch
      .getUsable(service)
      .filter(({ id }) => !except.has(id))
      .map((upstream) => ({
        id: upstream.id,
        slots: upstream.slots,
        load: board.getLoad(upstream.id, nowMs),
        weight: health.weight(upstream.id, nowMs),
        isSameFailureDomain: upstream.failureDomain === failureDomain,
        upstreamMeanMs: times.getUpstreamMeanMs(service, upstream.id),
        serviceMeanMs: times.getServiceMeanMs(service),
      }));
  },
  getBatchCandidates: (service) => {
    const nowMs = clock.monotonic();
    return watch.getUsable(service).map((upstream) => ({
      id: upstream.id,
      slots: upstream.slots,
      load: board.getLoad(upstream.id, nowMs),
      weight: health.weight(upstream.id, nowMs),
    }));
  },
  getUpstream: (id) => watch.all().find((upstream) => upstream.id === id),
  reportReplaced: (upstream) => watch.reportReplaced(upstream),
  getAdmissionIntervalMs: (service, share) => {
    const slots = watch.getUsable(service).reduce((sum, upstream) => sum + upstream.slots, 0);
    return times.getServiceMeanMs(service) / Math.max(1, slots * share);
  },
});
