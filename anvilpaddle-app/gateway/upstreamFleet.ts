/** What a gateway knows of the upstreams: their list, loads, health, service times and limits. */
import { MS_PER_SECOND, type Clock, type Logger, type Random } from '@anvilpaddle/common';
import {
  newColdUpstreams,
  newHealth,
  newLoadTracker,
  newServiceTimes,
  newUpstreamLimits,
  type BucketVisibility,
  type ColdUpstreams,
  type Health,
  type LimitTolerance,
  type LoadTracker,
  type ServiceTimes,
  type UpstreamLimits,
} from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import type { Evacuations } from './evacuations';
import { newFleetView, type FleetView } from './fleetView';
import { newKeptVisibility } from './keptVisibility';
import { logCold, logLimitChange, logWarm, startLimitLog } from './limitLog';
import type { Service } from './types';
import { newUpstreamWatch, type UpstreamSource, type UpstreamWatch } from './upstreamWatch';

const HEALTH_SETTINGS = {
  consecutiveFailureThreshold: 2,
  baseEjectionMs: MS_PER_SECOND,
  maxEjectionMs: 8 * MS_PER_SECOND,
  rampUpMs: MS_PER_SECOND,
};
/** Where the list of upstreams is, and where this gateway is. */
export interface UpstreamFleetSettings {
  readonly source: UpstreamSource;
  readonly failureDomain: string;
  readonly evacuations: Evacuations;
  readonly coldTolerance: LimitTolerance;
}

/** Connections of the fleet to its gateway. */
export interface UpstreamFleetHooks {
  /** Called when this gateway's own load has changed. */
  onLoadChange(): void;
  /** Called when the limit of an upstream has begun, changed or ended. */
  onLimitChange(): void;
  /** Undefined until the gossip has started and the list of gateways has been read. */
  getVisibility(): BucketVisibility | undefined;
}

/** State of all upstreams. */
export interface UpstreamFleet {
  readonly upstreamWatch: UpstreamWatch;
  readonly upstreamLoads: LoadTracker;
  readonly upstreamLimits: UpstreamLimits;
  readonly coldUpstreams: ColdUpstreams;
  readonly health: Health;
  readonly serviceTimes: ServiceTimes;
  readonly fleetView: FleetView;
  /** Applies the services of a new configuration. */
  applyServices(services: readonly Service[]): void;
}

/** Starts to follow the upstreams. */
export const newUpstreamFleet = (
  store: RecordStore,
  { source, failureDomain, evacuations, coldTolerance }: UpstreamFleetSettings,
  { onLoadChange, onLimitChange, getVisibility }: UpstreamFleetHooks,
  clock: Clock,
  random: Random,
  log: Logger,
): UpstreamFleet => {
  const upstreamLoads = newLoadTracker(onLoadChange);
  const upstreamLimits = newUpstreamLimits({
    getVisibility: newKeptVisibility(getVisibility, clock),
    random,
    coldBound: { windowMs: MS_PER_SECOND, tolerance: coldTolerance },
    onChange: (upstream, limit) => {
      logLimitChange(log, upstream, limit);
      onLimitChange();
    },
  });
  startLimitLog(upstreamLimits, clock, log);
  const coldUpstreams = newColdUpstreams({
    onCold: (state, wasCold) => {
      const { incarnation, requestsPerSecond, untilMs } = state;
      const nowMs = clock.monotonic();
      const rate = requestsPerSecond === undefined ? undefined : { requestsPerSecond, untilMs };
      upstreamLimits.setColdRate(incarnation, rate, nowMs);
      if (!wasCold) logCold(log, state, nowMs);
    },
    onWarm: (incarnation) => {
      upstreamLimits.setColdRate(incarnation, undefined, clock.monotonic());
      logWarm(log, incarnation);
    },
  });
  const health = newHealth(HEALTH_SETTINGS);
  const serviceTimes = newServiceTimes();
  const upstreamWatch = newUpstreamWatch(
    store,
    source,
    {
      isClosed: (name) => evacuations.isEvacuated(name) || !evacuations.isCurrent(),
      onRecord: (upstream, revision) =>
        coldUpstreams.applyRecord(
          { ...upstream, coldLeftMs: upstream.coldLeftMs, revision },
          clock.monotonic(),
        ),
      onChange: () => {
        const upstreams = upstreamWatch.getAll();
        const known = new Set(upstreams.map(({ id }) => id));
        health.retain(known);
        serviceTimes.retain(known);
        const incarnations = new Set(upstreams.map((upstream) => upstream.incarnation));
        coldUpstreams.completeRead(incarnations, clock.monotonic());
        upstreamLimits.retain(incarnations, clock.monotonic());
      },
    },
    clock,
    log,
  );
  const fleetView = newFleetView(
    upstreamWatch,
    upstreamLoads,
    health,
    serviceTimes,
    upstreamLimits,
    coldUpstreams,
    evacuations,
    failureDomain,
    clock,
  );
  return {
    upstreamWatch,
    upstreamLoads,
    upstreamLimits,
    coldUpstreams,
    health,
    serviceTimes,
    fleetView,
    applyServices: (services) =>
      coldUpstreams.setServices(
        new Map(
          services.map(({ name, coldStartMs, coldRequestsPerSecond: requestsPerSecond }) => [
            name,
            { coldStartMs, requestsPerSecond },
          ]),
        ),
        clock.monotonic(),
      ),
  };
};
