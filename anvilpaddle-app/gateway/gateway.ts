/** An entry that sends requests straight to the upstreams and shares its view with its peers. */
import { createServer, type Server } from 'node:http';
import {
  getFaultMessage,
  listen,
  MS_PER_SECOND,
  newId,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import {
  newHealth,
  newItemBoard,
  newLoadBoard,
  newReturnSchedule,
  newServiceTimes,
  newWindowLimit,
} from '@anvilpaddle/decisions';
import type { HttpClient, ObjectStore, RecordStore } from '@anvilpaddle/platform';
import { waitMs, waitUntil, type Program } from '../process/program';
import type { CallerProtocol } from './callerProtocol';
import { newCallerHandler } from './callerHandler';
import { newDeploymentWatch, type DeploymentSource } from './deploymentWatch';
import { newFleetView } from './fleetView';
import { newGatewayList, type GatewayList } from './gatewayList';
import { newGatewayMetrics, serveMetrics } from './gatewayMetrics';
import { newGossip, type Gossip } from './gossip';
import { newJobCache } from './jobs/jobCache';
import { newJobRunner, type JobRunner } from './jobs/jobRunner';
import { newJobService } from './jobs/jobService';
import { newJobStore } from './jobs/jobStore';
import { newRelayedClient, serveStoreRelay } from './storeRelay';
import type { GatewaySettings } from './types';
import { newUpstreamWatch, type UpstreamSource } from './upstreamWatch';

const DEPLOYMENT_READ_MS = 400;
const HEALTH = {
  consecutiveFailures: 2,
  firstEjectionMs: MS_PER_SECOND,
  longestEjectionMs: 8 * MS_PER_SECOND,
  rampMs: MS_PER_SECOND,
};
/** Time from the stop signal until the balancer sends nothing more: two missed checks and some. */
const BALANCER_MS = 3 * MS_PER_SECOND;
/** Time before the kill at which a stop must be over. */
const STOP_MARGIN_MS = 500;

/** What the platform lends a gateway. */
export interface GatewayPlatform {
  /** Client of the store by this VM's own path. */
  readonly client: HttpClient;
  /** Path of a cheap call to the store. */
  readonly probePath: string;
  /** Usual timeout of a call to the store, in milliseconds. */
  readonly storeTimeoutMs: number;
  newRecords(client: HttpClient): RecordStore;
  newObjects(client: HttpClient): ObjectStore;
  readonly protocol: CallerProtocol;
  readonly deployment: DeploymentSource;
  readonly upstreams: UpstreamSource;
}

/** Starts a gateway. */
export const newGateway = async (
  settings: GatewaySettings,
  platform: GatewayPlatform,
  clock: Clock,
  log: Logger,
): Promise<Program> => {
  const { random } = Math;
  const incarnation = newId('gw');
  const { bounds } = settings;
  const { protocol } = platform;
  let isStopping = false;
  let active = 0;

  const runnerSlot: { runner?: JobRunner } = {};
  const peersSlot: { list?: GatewayList; gossip?: Gossip } = {};
  const client = newRelayedClient(
    {
      direct: platform.client,
      probePath: platform.probePath,
      getPeers: () =>
        (peersSlot.list?.others() ?? [])
          .filter((peer) => peersSlot.gossip?.isReachingStore(peer.incarnation) === true)
          .map(({ address }) => address),
      timeoutMs: platform.storeTimeoutMs,
    },
    clock,
    random,
    log,
  );
  const records = platform.newRecords(client);
  const objects = platform.newObjects(client);

  const board = newLoadBoard(() => {
    peersSlot.gossip?.touch();
    runnerSlot.runner?.onLoadChange();
  });
  const items = newItemBoard();
  const limit = newWindowLimit(bounds.limitWindowMs, bounds.limitTolerance);
  const health = newHealth(HEALTH);
  const times = newServiceTimes();
  const upstreams = newUpstreamWatch(
    records,
    platform.upstreams,
    () => {
      const known = new Set(upstreams.all().map(({ id }) => id));
      health.keep(known);
      times.keep(known);
    },
    clock,
    log,
  );
  const server: Server = createServer({ requestTimeout: 0 });
  const deployment = newDeploymentWatch(
    records,
    platform.deployment,
    bounds,
    DEPLOYMENT_READ_MS,
    (next) => {
      server.headersTimeout = next.bounds.headerTimeoutMs;
      server.keepAliveTimeout = next.bounds.idleTimeoutMs;
    },
    clock,
    log,
  );
  const self = { vm: settings.vm, incarnation, address: settings.peers };
  const list = newGatewayList(
    records,
    self,
    {
      getSpent: () => limit.all(clock.monotonic()),
      windowMs: bounds.limitWindowMs,
      onInherited: (spent, ageMs) => limit.inherit(spent, ageMs, clock.monotonic()),
    },
    clock,
    log,
  );
  const isServing = (): boolean =>
    !isStopping && deployment.current() !== undefined && deployment.areKeysFresh();
  const getState = () => ({
    takesJobs: !isStopping,
    reachesStore: client.isDirect(),
    isServing: isServing(),
  });
  const onHeard = (): void => runnerSlot.runner?.onLoadChange();
  const gossip = newGossip(self, list, { board, items, limit }, { getState, onHeard }, clock, log);
  peersSlot.list = list;
  peersSlot.gossip = gossip;
  const view = newFleetView(upstreams, board, health, times, settings.failureDomain, clock);
  const store = newJobStore(records, objects);
  const jobs = newJobCache(records, (job) => runnerSlot.runner?.onJobChange(job), clock, log);
  const runner = newJobRunner({
    self: incarnation,
    store,
    jobs,
    configWatch: deployment,
    view,
    protocol,
    upstreamLoads: board,
    items,
    health,
    getEligibleOwners: () => [
      incarnation,
      ...list
        .others()
        .map((other) => other.incarnation)
        .filter((other) => gossip.isTakingJobs(other)),
    ],
    isAlive: (other) => gossip.isHeard(other) || list.isRenewed(other),
    isViewCurrent: () => list.isCurrent() && jobs.isCurrent(),
    retentionMs: bounds.jobRetentionMs,
    clock,
    random,
    log,
  });
  runnerSlot.runner = runner;

  /** Callers are served better by the others, which may still reach the store. */
  const isCutOff = (): boolean => gossip.isAlone() && !client.isAnswered();
  const canOthersServe = (): boolean => isCutOff() || gossip.isAnyServing();
  const isReady = (): boolean => isServing() && !isCutOff();

  const metrics = newGatewayMetrics({
    getActive: () => active,
    getJobs: () => runner.getOwnedJobCount(),
    getPeers: () => list.others().length,
  });
  const handle = newCallerHandler({
    protocol,
    deployment,
    limit,
    getSharing: () => {
      const sharing = gossip.sharing();
      // Once the list is read, what was admitted before this start is known.
      return list.isRead() ? { ...sharing, oldestMs: Infinity } : sharing;
    },
    onAdmitted: () => gossip.touch(),
    canOthersServe,
    online: {
      protocol,
      view,
      board,
      health,
      times,
      clock,
      random,
      log,
      returns: newReturnSchedule(),
      getGatewayCount: () => list.others().length + 1,
    },
    metrics,
    jobs: newJobService({
      protocol,
      store,
      jobCache: jobs,
      self: incarnation,
      isStoreUnavailable: () => !client.isAnswered(),
      // A peer that is heard and reaches the store would have passed this gateway's calls on.
      canOthersServe: isCutOff,
      isAcceptingJobs: () => !isStopping,
      clock,
      log,
    }),
    clock,
    log,
  });

  server.on('request', (message, response) => {
    active += 1;
    response.on('close', () => {
      active -= 1;
    });
    // The balancer gives a caller's next connection to a gateway that is ready.
    if (!isReady() && (isStopping || canOthersServe())) response.setHeader('connection', 'close');
    handle(message, response).catch((fault: unknown) => {
      log.error({ reason: getFaultMessage(fault), err: fault }, 'request failed');
      response.destroy();
    });
  });

  const readiness = createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503).end();
  });

  if (settings.metrics !== undefined) await serveMetrics(settings.metrics, metrics, log);
  await serveStoreRelay(settings.peers, platform.client, log);
  await listen(server, settings.callers);
  await listen(readiness, settings.readiness);
  log.info({ vm: settings.vm, incarnation }, 'gateway started');

  return {
    stop: async () => {
      isStopping = true;
      gossip.touch();
      log.info({ active }, 'gateway stopping');
      const endMs = clock.monotonic() + bounds.stopMs - STOP_MARGIN_MS;
      const handedOver = runner.stop();
      await waitMs(clock, BALANCER_MS);
      server.close();
      server.closeIdleConnections();
      await Promise.race([
        Promise.all([handedOver, waitUntil(clock, () => active === 0)]),
        waitMs(clock, Math.max(0, endMs - clock.monotonic())),
      ]);
      await Promise.race([list.leave(), waitMs(clock, STOP_MARGIN_MS / 2)]);
      log.info({ active }, 'gateway stopped');
    },
  };
};
