import type { IncomingMessage, ServerResponse } from 'node:http';
import { AffinityRouter, getEffectiveSettings, type Router } from '@anvilpaddle/decisions';
import {
  listen,
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
import { runFilters } from './exchange';
import type { EntryServices, Exchange } from './types';
import { newAccountFilter } from './filters/account';
import { newActFilter } from './filters/act';
import { newAuthenticateFilter } from './filters/authenticate';
import { newAuthorizeFilter } from './filters/authorize';
import { newForwardFilter } from './filters/forward';
import { newIdentifyFilter } from './filters/identify';
import { newLimitFilter } from './filters/limit';
import { newReadRequestFilter } from './filters/readRequest';
import { newStoppingFilter } from './filters/stopping';

/** A running entry. */
export interface Entry extends Program {
  /** Address that callers use. */
  readonly callers: Address;
}

const newExchange = (
  services: EntryServices,
  request: IncomingMessage,
  response: ServerResponse,
): Exchange => {
  const abort = new AbortController();
  response.on('close', () => abort.abort());
  const config = services.config.current();
  const startedMs = services.clock.monotonic();
  const settings = getEffectiveSettings(config.settingsByLevel, {
    failureDomain: services.failureDomain,
  });
  return {
    id: newId('req'),
    request,
    response,
    url: new URL(request.url ?? '/', 'http://entry'),
    startedMs,
    signal: abort.signal,
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

/** Parts of an entry that a measurement replaces by a naive version. */
export interface EntryParts {
  newLimits(parts: LimitControllerDependencies): LimitController;
  newRouter(clock: Clock): Router;
}

const ENTRY_PARTS: EntryParts = {
  newLimits: newLimitController,
  newRouter: (clock) => new AffinityRouter(Math.random, () => clock.monotonic()),
};

/** Starts an entry. */
export const newEntry = async (
  file: EntrySettings,
  clock: Clock,
  log: Logger,
  entryParts: EntryParts = ENTRY_PARTS,
): Promise<Entry> => {
  let stage: StopStage = STOP_STAGE.serving;
  let open = 0;
  const getState = (): NodeState => ({ leaving: stage !== STOP_STAGE.serving, models: [] });
  const node = newFleetNode(file, 'entry', getState, clock, log);
  const { incarnation, address, platform, peers, config, members } = node;
  const attempts = newAttemptClient(node.secret, file.peers.listen.host);
  const keyWatch = newKeyWatch(config, clock);
  const metrics = newMetrics(file.metrics.statsd);
  const limits = entryParts.newLimits({
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
    tickIntervalMs: file.peers.heartbeat,
    log,
  });
  const services: EntryServices = {
    vm: file.process.vm,
    incarnation,
    failureDomain: file.process.failure_domain,
    operatorKeyHashes: file.operators.key_hash,
    config,
    keyWatch,
    members,
    limits,
    jobs: newJobController(platform.tables, platform.objects, clock),
    attempts,
    revoke: async (sidecar, revocation) => {
      const revoked = await peers.call(sidecar, 'attempt.revoke', revocation);
      return revoked.ok ? revoked.value.state : undefined;
    },
    tellJobEnded: ({ id, group }) => {
      members
        .listed()
        .filter((vm) => vm.role === 'sidecar' && (vm.group === undefined || vm.group === group))
        .forEach((vm) => {
          void peers.call(vm.address, 'job.ended', { job: id });
        });
    },
    router: entryParts.newRouter(clock),
    metrics,
    clock,
    log,
    getStopStage: () => stage,
  };
  const filters = [
    newAccountFilter(services),
    newStoppingFilter(services),
    newIdentifyFilter(services, ACTIONS),
    newAuthenticateFilter(services),
    newLimitFilter(services),
    newActFilter(services),
    newReadRequestFilter(),
    newAuthorizeFilter(),
    newForwardFilter(services),
  ];

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const exchange = newExchange(services, request, response);
    response.setHeader(HEADER.requestId, exchange.id);
    open += 1;
    try {
      await runFilters(filters, exchange);
    } finally {
      open -= 1;
    }
  };

  const peerServer = await newPeerServer(
    file.peers.listen,
    file.peers.secrets,
    {
      ...node.handlers,
      ...limits.handlers,
    },
    {},
    log,
  );
  await config.refresh();
  limits.start();
  const server = newCallerServer(file.callers, (request, response) => {
    serve(request, response).catch((fault: unknown) => {
      log.error({ err: fault }, 'request failed outside of the filters');
      response.destroy();
    });
  });
  const callers = await listen(server, file.callers.listen);
  log.info({ callers, address, incarnation }, 'entry is ready');

  return {
    callers,
    stop: async () => {
      // Readiness fails from here on; what comes nonetheless is served until the balancer knows.
      stage = STOP_STAGE.leaving;
      await Promise.all([members.announce(), sleep(clock, file.process.stop_grace)]);
      stage = STOP_STAGE.refusing;
      await waitUntil(clock, () => open === 0);
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
