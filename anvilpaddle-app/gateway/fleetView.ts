/** What a gateway knows of the upstreams' load and health, as the decisions ask for it. */
import type { Clock } from '@anvilpaddle/common';
import type { BatchCandidate, Candidate, Health, LoadBoard } from '@anvilpaddle/decisions';
import type { Upstream } from './types';
import type { UpstreamWatch } from './upstreamWatch';

/** Mean time of an online request before any was measured. */
const FIRST_SERVICE_MS = 500;
const SAMPLE_SHARE = 0.05;

/** Upstreams of a service as candidates. */
export interface FleetView {
  getCandidates(service: string, except: ReadonlySet<string>): Candidate[];
  getBatchCandidates(service: string): BatchCandidate[];
  getUpstream(id: string): Upstream | undefined;
  /** Time in which a share of a service's upstreams takes in one more online request, in ms. */
  getSpacingMs(service: string, share: number): number;
  /** An online request of a service took a time. */
  learn(service: string, durationMs: number): void;
}

/** View over the list, the loads and the health of upstreams. */
export const newFleetView = (
  watch: UpstreamWatch,
  board: LoadBoard,
  health: Health,
  failureDomain: string,
  clock: Clock,
): FleetView => {
  const serviceMs = new Map<string, number>();
  return {
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
          isNear: upstream.failureDomain === failureDomain,
          serviceMs: serviceMs.get(service) ?? FIRST_SERVICE_MS,
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
    getSpacingMs: (service, share) => {
      const slots = watch.getUsable(service).reduce((sum, upstream) => sum + upstream.slots, 0);
      return (serviceMs.get(service) ?? FIRST_SERVICE_MS) / Math.max(1, slots * share);
    },
    learn: (service, durationMs) => {
      const known = serviceMs.get(service) ?? durationMs;
      serviceMs.set(service, known + (durationMs - known) * SAMPLE_SHARE);
    },
  };
};
