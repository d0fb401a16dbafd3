/** The entry process: accepts callers' requests, checks them and forwards them to upstreams. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { AffinityRouter, getEffectiveSettings, type Router } from '@anvilpaddle/decisions';
import {
  breakOffResponse,
  getDefaultHeldBytes,
  listen,
  newByteBudget,
  newId,
  newMetrics,
  type Address,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import { HEADER } from '@anvilpaddle/protocol';
import { newJobController } from '../controllers/jobController';
import { newKeyWatch } from '../controllers/keyWatch';
import {
  newLimitController,
  type LimitController,
  type LimitControllerDependencies,
} from '../controllers/limitController';
import { newTeamRateLimits } from '../controllers/teamRateLimits';
import { newPeerServer } from '../peers/peerServer';
import { newFleetNode, type NodeState } from '../process/fleetNode';
import { STOP_STAGE, sleep, waitUntil, type Program, type StopStage } from '../process/program';
import type { EntrySettings } from '../processSettings/schema';
import { ACTIONS } from './actions';
import { newCallerServer } from './callerServer';
import { newAttemptClient } from './attemptClient';
import { runFilters } from './runFilters';
import type { EntryDependencies, Exchange } from './types';
import { newRequestLogFilter } from './filters/requestLog';
import { newRunActionFilter } from './filters/runAction';
import { newAuthenticateFilter } from './filters/authenticate';
import { newAuthorizeFilter } from './filters/authorize';
import { newForwardFilter } from './filters/forward';
import { newIdentifyFilter } from './filters/identify';
import { newLimitFilter } from './filters/limit';
import { newReadRequestFilter } from './filters/readRequest';
import { newStoppingFilter } from './filters/stopping';

/** A running entry process. */
export interface Entry extends Program {
  /** Address on which the process accepts callers. */
  readonly callers: Address;
}

const newExchange = (
  dependencies: EntryDependencies,
  request: IncomingMessage,
  response: ServerResponse,
): Exchange => {
  const abort = new AbortController();
  response.on('close', () => abort.abort());
  const config = dependencies.config.current();
  const startedMs = dependencies.clock.monotonic();
  const settings = getEffectiveSettings(config.settingsByLevel, {
    failureDomain: dependencies.failureDomain,
  });
  return {
    id: newId('req'),
    request,
    response,
    url: new URL(request.url ?? '/', 'http://entry'),
    startedMs,
    signal: abort.signal,
    byteBudget: dependencies.byteBudget,
    config,
    outcome: { upstream: undefined, attempts: 0, run: 'not_run', firstTokenMs: undefined },
    deadlineMs: startedMs + settings['request.timeout'],
    settings,
    action: undefined,
    params: {},
    route: undefined,
    key: undefined,
    team: undefined,
    body: Buffer.alloc(0),
    json: undefined,
  };
};

/** Factories of parts of the entry process that a measurement replaces by a naive version. */
export interface EntryFactories {
  newLimits(dependencies: LimitControllerDependencies): LimitController;
  newRouter(clock: Clock): Router;
}

const DEFAULT_FACTORIES: EntryFactories = {
  newLimits: newLimitController,
  newRouter: (clock) => new AffinityRouter(Math.random, () => clock.monotonic()),
};

/** Starts an entry process. */
export const newEntry = async (
  processSettings: EntrySettings,
  clock: Clock,
  log: Logger,
  factories: EntryFactories = DEFAULT_FACTORIES,
): Promise<Entry> => {
  let stage: StopStage = STOP_STAGE.serving;
  let openRequests = 0;
  const getState = (): NodeState => ({ leaving: stage !== STOP_STAGE.serving, models: [] });
  const node = newFleetNode(processSettings, 'entry', getState, clock, log);
  const { incarnation, address, platform, peers, config, members } = node;
  const attempts = newAttemptClient(node.secret, processSettings.peers.listen.host);
  const keyWatch = newKeyWatch(config, clock);
  const metrics = newMetrics(processSettings.metrics.statsd);
  const limits = factories.newLimits({
    address,
    incarnation,
    tables: platform.tables,
    vms: platform.vms,
    peers,
    getRateLimit: newTeamRateLimits(config),
    getRecentlySeenEntries: () =>
      members
        .live()
        .filter((member) => member.role === 'entry' && member.address !== address)
        .map((member) => member.address),
    clock,
    tickIntervalMs: processSettings.peers.heartbeat,
    log,
  });
  const dependencies: EntryDependencies = {
    vm: processSettings.process.vm,
    incarnation,
    failureDomain: processSettings.process.failure_domain,
    operatorKeyHashes: processSettings.operators.key_hash,
    config,
    keyWatch,
    members,
    limits,
    jobs: newJobController(platform.tables, platform.objects, clock),
    attempts,
    revokeAttempt: async (sidecar, revocation) => {
      const revoked = await peers.call(sidecar, 'attempt.revoke', revocation);
      return revoked.ok ? revoked.value.state : undefined;
    },
    notifyJobEnded: ({ id, group }) => {
      members
        .listed()
        .filter((vm) => vm.role === 'sidecar' && (vm.group === undefined || vm.group === group))
        .forEach((vm) => {
          void peers.call(vm.address, 'job.ended', { job: id });
        });
    },
    router: factories.newRouter(clock),
    metrics,
    byteBudget: newByteBudget(getDefaultHeldBytes()),
    clock,
    log,
    getStopStage: () => stage,
  };
  const filters = [
    newRequestLogFilter(dependencies),
    newStoppingFilter(dependencies),
    newIdentifyFilter(dependencies, ACTIONS),
    newAuthenticateFilter(dependencies),
    newLimitFilter(dependencies),
    newRunActionFilter(dependencies),
    newReadRequestFilter(),
    newAuthorizeFilter(),
    newForwardFilter(dependencies),
  ];

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const exchange = newExchange(dependencies, request, response);
    response.setHeader(HEADER.requestId, exchange.id);
    openRequests += 1;
    try {
      await runFilters(filters, exchange);
    } finally {
      openRequests -= 1;
    }
  };

  const peerServer = await newPeerServer(
    processSettings.peers.listen,
    processSettings.peers.secrets,
    {
      ...node.handlers,
      ...limits.handlers,
    },
    {},
    log,
  );
  await config.refresh();
  limits.start();
  const server = newCallerServer(processSettings.callers, (request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      log.error({ err: error }, 'request failed outside of the filters');
      breakOffResponse(response);
    });
  });
  const callers = await listen(server, processSettings.callers.listen);
  log.info({ callers, address, incarnation }, 'entry is ready');

  return {
    callers,
    stop: async () => {
      // Readiness fails from here on; requests are served until the load balancer has noticed.
      stage = STOP_STAGE.leaving;
      await Promise.all([members.announce(), sleep(clock, processSettings.process.stop_grace)]);
      stage = STOP_STAGE.refusing;
      await waitUntil(clock, () => openRequests === 0);
      server.close();
      server.closeIdleConnections();
      await limits.close();
      keyWatch.close();
      await node.close();
      await peerServer.close();
      metrics.close();
      await Promise.all([attempts.close(), node.disconnect()]);
    },
  };
};
