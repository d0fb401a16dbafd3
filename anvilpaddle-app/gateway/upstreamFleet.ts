/** What a gateway knows of the upstreams: their list, loads, health, service times and limits. */
import { MS_PER_SECOND, type Clock, type Logger, type Random } from '@anvilpaddle/common';
import {
  newHealth,
  newLoadTracker,
  newServiceTimes,
  newUpstreamLimits,
  type BucketVisibility,
  type Health,
  type LoadTracker,
  type ServiceTimes,
  type UpstreamLimits,
} from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import type { Evacuations } from './evacuations';
import { newFleetView, type FleetView } from './fleetView';
import { newKeptVisibility } from './keptVisibility';
import { logLimitChange, startLimitLog } from './limitLog';
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
}

/** Connections of the fleet to its gateway. */
export interface UpstreamFleetHooks {
  /** Called when this gateway's own load has changed. */
  onLoadChange(): void;
  /** Called when the limit of an upstream has begun, changed or ended. */
  onLimitChange(): void;
  /** Undefined until the gossip has started. */
  getVisibility(): BucketVisibility | undefined;
}

/** State of all upstreams. */
export interface UpstreamFleet {
  readonly upstreamWatch: UpstreamWatch;
  readonly upstreamLoads: LoadTracker;
  readonly upstreamLimits: UpstreamLimits;
  readonly health: Health;
  readonly serviceTimes: ServiceTimes;
  readonly fleetView: FleetView;
}

/** Starts to follow the upstreams. */
export const newUpstreamFleet = (
  store: RecordStore,
  { source, failureDomain, evacuations }: UpstreamFleetSettings,
  { onLoadChange, onLimitChange, getVisibility }: UpstreamFleetHooks,
  clock: Clock,
  random: Random,
  log: Logger,
): UpstreamFleet => {
  const upstreamLoads = newLoadTracker(onLoadChange);
  const upstreamLimits = newUpstreamLimits({
    getVisibility: newKeptVisibility(getVisibility, clock),
    random,
    onChange: (upstream, limit) => {
      logLimitChange(log, upstream, limit);
      onLimitChange();
    },
  });
  startLimitLog(upstreamLimits, clock, log);
  const health = newHealth(HEALTH_SETTINGS);
  const serviceTimes = newServiceTimes();
  const upstreamWatch = newUpstreamWatch(
    store,
    source,
    (name) => evacuations.isEvacuated(name) || !evacuations.isCurrent(),
    () => {
      const upstreams = upstreamWatch.getAll();
      const known = new Set(upstreams.map(({ id }) => id));
      health.retain(known);
      serviceTimes.retain(known);
      const incarnations = new Set(upstreams.map((upstream) => upstream.incarnation));
      upstreamLimits.retain(incarnations, clock.monotonic());
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
    evacuations,
    failureDomain,
    clock,
  );
  return { upstreamWatch, upstreamLoads, upstreamLimits, health, serviceTimes, fleetView };
};
