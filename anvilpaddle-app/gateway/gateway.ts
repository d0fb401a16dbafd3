/** A gateway: sends callers' requests directly to upstreams and gossips its state to its peers. */
import { createServer, type Server } from 'node:http';
import {
  breakOffResponse,
  getErrorMessage,
  listen,
  loadHashing,
  newByteBudget,
  newId,
  newStoredRooms,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import {
  newHedging,
  newItemTracker,
  newRetryAfterSchedule,
  newTeamShares,
  newTeamSlots,
  URGENCY,
} from '@anvilpaddle/decisions';
import type { HttpClient, ObjectStore, RecordStore } from '@anvilpaddle/platform';
import type { Program } from '../process/program';
import { newCallerConnections } from './callerConnections';
import type { CallerProtocol } from './callerProtocol';
import { newCallerHandler } from './callerHandler';
import { newConfigWatch, type ConfigSource } from './configWatch';
import { newEvacuations, type EvacuationKey } from './evacuations';
import type { GatewayList } from './gatewayList';
import { newGatewayMetrics, serveMetrics, type GatewayMetrics } from './gatewayMetrics';
import { stopGateway } from './gatewayStop';
import { newGossip, type Gossip } from './gossip';
import { newInputGuard } from './inputGuard';
import { newJobCache } from './jobs/jobCache';
import { newJobRunner, type JobRunner } from './jobs/jobRunner';
import { newJobService } from './jobs/jobService';
import { newJobStore } from './jobs/jobStore';
import { newSegmentCache } from './jobs/segmentCache';
import { newRelayedClient, serveStoreRelay } from './storeRelay';
import type { GatewaySettings, Team } from './types';
import { newTeamAdmissions } from './teamAdmissions';
import { newUpstreamClient } from './upstreamClient';
import { newUpstreamFleet, type UpstreamFleet } from './upstreamFleet';
import type { UpstreamSource } from './upstreamWatch';

/**
 * Time between full reads of the configuration; changes in between arrive through the watch. Below the
 * time in which a change must be in force, in case a watch passes over one.
 */
const CONFIG_READ_INTERVAL_MS = 1000;

/** Teams of a configuration without any. */
const NO_TEAMS: readonly Team[] = [];

/** Services and formats of the platform on which a gateway runs. */
export interface GatewayPlatform {
  /** Store client over this VM's direct path. */
  readonly storeClient: HttpClient;
  /** URL path of a cheap call to the store. */
  readonly probePath: string;
  /** Timeout of store calls that set none, in milliseconds. */
  readonly storeTimeoutMs: number;
  newRecordStore(client: HttpClient): RecordStore;
  newObjectStore(client: HttpClient): ObjectStore;
  readonly protocol: CallerProtocol;
  readonly configSource: ConfigSource;
  /** Reads a key of the configuration's table, which also holds the requests for evacuations. */
  parseEvacuationKey(key: string): EvacuationKey;
  readonly upstreamSource: UpstreamSource;
}

/** Starts a gateway; resolves once it listens on all its addresses. */
export const newGateway = async (
  settings: GatewaySettings,
  platform: GatewayPlatform,
  clock: Clock,
  log: Logger,
): Promise<Program> => {
  await loadHashing();
  const { random } = Math;
  const incarnation = newId('gw');
  const { bounds } = settings;
  const { protocol } = platform;
  let isStopping = false;

  // Set below: callbacks of the store client and the loads use objects that depend on those two.
  const runnerRef: { runner?: JobRunner } = {};
  const peersRef: { list?: GatewayList; gossip?: Gossip } = {};
  const metricsRef: { metrics?: GatewayMetrics } = {};
  const storeClient = newRelayedClient(
    {
      direct: platform.storeClient,
      probePath: platform.probePath,
      getPeers: () =>
        (peersRef.list?.getOthers() ?? [])
          .filter((peer) => peersRef.gossip?.isReachingStore(peer.incarnation) === true)
          .map(({ address }) => address),
      timeoutMs: platform.storeTimeoutMs,
    },
    clock,
    random,
    log,
  );
  const recordStore = platform.newRecordStore(storeClient);
  const objectStore = platform.newObjectStore(storeClient);

  const fleetRef: { fleet?: UpstreamFleet } = {};
  const evacuations = newEvacuations(
    platform.parseEvacuationKey,
    bounds.evacuationMs,
    (failureDomain, revision) =>
      fleetRef.fleet?.coldUpstreams.applyEvacuationEnd(failureDomain, revision, clock.monotonic()),
    clock,
    log,
  );
  const fleet = newUpstreamFleet(
    recordStore,
    {
      source: platform.upstreamSource,
      failureDomain: settings.failureDomain,
      evacuations,
      coldTolerance: bounds.coldTolerance,
    },
    {
      onLoadChange: () => {
        peersRef.gossip?.scheduleSend();
        runnerRef.runner?.onLoadChange();
      },
      onLimitChange: () => peersRef.gossip?.scheduleSend(),
      getVisibility: () =>
        (peersRef.list?.getReadRevision() ?? 0) > 0 ? peersRef.gossip?.getVisibility() : undefined,
    },
    clock,
    random,
    log,
  );
  fleetRef.fleet = fleet;
  const {
    upstreamLoads,
    upstreamLimits,
    coldUpstreams,
    upstreamWatch,
    health,
    serviceTimes,
    fleetView,
  } = fleet;
  const byteBudget = newByteBudget(settings.maxHeldBytes);
  const storedRooms = newStoredRooms(byteBudget, clock);
  const itemTracker = newItemTracker();
  const callerServer: Server = createServer({ requestTimeout: 0 });
  const callerConnections = newCallerConnections(callerServer, clock);
  const configWatch = newConfigWatch(
    recordStore,
    platform.configSource,
    bounds,
    CONFIG_READ_INTERVAL_MS,
    {
      onChange: (next) => {
        callerConnections.applyBounds(next.bounds);
        fleet.applyServices(next.services);
      },
      onUpdate: (update) => evacuations.applyUpdate(update),
      onFailure: (call) => evacuations.applyFailure(call),
    },
    clock,
    log,
  );
  const teamSlots = newTeamSlots();
  const teamShares = newTeamShares(
    {
      teamSlots,
      getTeams: () => configWatch.current()?.teams ?? NO_TEAMS,
      getCandidates: (service) => fleetView.getCandidates(service, () => true, URGENCY.online),
    },
    clock.monotonic(),
  );
  const self = {
    vm: settings.vm,
    incarnation,
    address: settings.peers,
    failureDomain: settings.failureDomain,
  };
  const { limiter, gatewayList, getVisibility } = newTeamAdmissions(
    recordStore,
    self,
    bounds,
    () => peersRef.gossip,
    clock,
    log,
  );
  const { quarantine, crashDetector } = newInputGuard(
    recordStore,
    self,
    {
      isLeaving: ({ id }) => fleetView.getUpstream(id)?.isDraining === true,
      onCrash: () => metricsRef.metrics?.countUpstreamCrash(),
      onNews: () => peersRef.gossip?.sendSuspects(),
    },
    clock,
    log,
  );
  const metrics = newGatewayMetrics({
    getActive: () => callerConnections.getActiveRequests(),
    getJobs: () => runnerRef.runner?.getOwnedJobCount() ?? 0,
    getPeers: () => gatewayList.getOthers().length,
    getQuarantinedParts: () => quarantine.parts.getQuarantinedCount(),
    getQuarantinedRequests: () => quarantine.requests.getQuarantinedCount(),
    getViewAgeMs: () => peersRef.gossip?.getViewAgeMs() ?? 0,
    getLimitedUpstreams: () => upstreamLimits.getLimitedCount(),
    getColdUpstreams: () => coldUpstreams.getColdCount(clock.monotonic()),
    getColdRateUsed: () => {
      const { sent, taken } = upstreamLimits.getColdUse(clock.monotonic());
      return taken === 0 ? 0 : sent / taken;
    },
    getEvacuatedFailureDomains: () => evacuations.getCount(),
    getTeamsOverShare: () => teamShares.countOver(clock.monotonic()),
    getHeldBytes: byteBudget.getHeldBytes,
    getMaxHeldBytes: byteBudget.getMaxBytes,
    getWaitingForRoom: storedRooms.getWaitingCount,
  });
  metricsRef.metrics = metrics;
  const isServing = (): boolean =>
    !isStopping && configWatch.current() !== undefined && configWatch.areKeysFresh();
  const getState = () => ({
    takesJobs: !isStopping,
    reachesStore: storeClient.isDirectPathUp(),
    isServing: isServing(),
  });
  const onPeerUpdate = (): void => {
    runnerRef.runner?.onLoadChange();
    gatewayList.onAdmissions();
  };
  const gossip = newGossip(
    self,
    gatewayList,
    {
      upstreamLoads,
      items: itemTracker,
      limit: limiter,
      quarantine,
      upstreamLimits,
      teamSlots,
      teamShares,
    },
    { getState, onPeerUpdate, metrics },
    clock,
    log,
  );
  peersRef.list = gatewayList;
  peersRef.gossip = gossip;
  const jobStore = newJobStore(recordStore, objectStore, {
    rooms: storedRooms,
    cache: newSegmentCache(byteBudget),
    getPromptParts: protocol.getItemPromptParts,
  });
  const jobCache = newJobCache(
    recordStore,
    (job) => runnerRef.runner?.onJobChange(job),
    clock,
    log,
  );
  const upstreamClient = newUpstreamClient(
    protocol,
    upstreamLimits,
    (upstream) => {
      metrics.countLeaving();
      upstreamWatch.reportLeaving(upstream);
    },
    metrics,
    clock,
    log,
  );
  const jobRunner = newJobRunner({
    metrics,
    self: incarnation,
    store: jobStore,
    jobs: jobCache,
    configWatch,
    view: fleetView,
    protocol,
    upstreamClient,
    upstreamLoads,
    items: itemTracker,
    health,
    crashDetector,
    quarantine,
    byteBudget,
    getEligibleOwners: () => [
      incarnation,
      ...gatewayList
        .getOthers()
        .map((other) => other.incarnation)
        .filter((other) => gossip.isTakingJobs(other)),
    ],
    isAlive: (other) => gossip.isRecentlySeen(other) || gatewayList.hasRecentHeartbeat(other),
    isViewCurrent: () => gatewayList.isCurrent() && jobCache.isCurrent(),
    getListRevision: () => gatewayList.getReadRevision(),
    retentionMs: bounds.jobRetentionMs,
    clock,
    random,
    log,
  });
  runnerRef.runner = jobRunner;

  /**
   * Whether neither the peers nor the store can be reached. Callers are then better served by other
   * gateways, which may still reach the store.
   */
  const isPartitioned = (): boolean => gossip.isIsolated() && !storeClient.isStoreAnswering();
  const canOthersServe = (): boolean => isPartitioned() || gossip.isAnyServing();
  const isReady = (): boolean => isServing() && !isPartitioned();

  const handleRequest = newCallerHandler({
    protocol,
    configWatch,
    limit: limiter,
    getVisibility: () => getVisibility(gossip),
    onAdmitted: () => {
      gossip.scheduleSend();
      gatewayList.onAdmissions();
    },
    isTakingRequests: () => callerConnections.isTakingRequests(),
    canOthersServe,
    online: {
      protocol,
      view: fleetView,
      upstreamClient,
      upstreamLoads,
      teamSlots,
      teamShares,
      health,
      crashDetector,
      quarantine,
      byteBudget,
      serviceTimes,
      hedging: newHedging(settings.maxHedgeShare),
      clock,
      random,
      log,
      metrics,
      retrySchedule: newRetryAfterSchedule(),
      getGatewayCount: () => gatewayList.getOthers().length + 1,
    },
    metrics,
    jobs: newJobService({
      protocol,
      store: jobStore,
      jobCache,
      self: incarnation,
      isStoreUnavailable: () => !storeClient.isStoreAnswering(),
      // A reachable peer that reaches the store would have relayed this gateway's calls.
      canOthersServe: isPartitioned,
      isRoomWanted: () => storedRooms.getWaitingCount() > 0,
      isAcceptingJobs: () => !isStopping,
      clock,
      log,
    }),
    clock,
    log,
  });

  callerServer.on('request', (message, response) => {
    // Closing makes the caller reconnect, and the balancer then picks a gateway that is ready.
    if (!isReady() && (isStopping || canOthersServe())) response.setHeader('connection', 'close');
    handleRequest(message, response).catch((error: unknown) => {
      log.error({ reason: getErrorMessage(error), err: error }, 'request failed');
      breakOffResponse(response);
    });
  });

  const readinessServer = createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503).end();
  });

  if (settings.metrics !== undefined) await serveMetrics(settings.metrics, metrics, log);
  await serveStoreRelay(settings.peers, platform.storeClient, storedRooms, log);
  await listen(callerServer, settings.callers);
  await listen(readinessServer, settings.readiness);
  log.info({ vm: settings.vm, incarnation }, 'gateway started');

  return {
    stop: () => {
      isStopping = true;
      gossip.scheduleSend();
      return stopGateway({ jobRunner, callerConnections, gatewayList }, bounds, clock, log);
    },
  };
};
