/** Handles a caller's request from its head to the end of its response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  BYTES_PER_MIB,
  HELD_FOR,
  MS_PER_SECOND,
  readBody,
  type BodyError,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import {
  getOutageRetryAfterMs,
  newRequestDigest,
  OUTAGE,
  PART_STATE,
  type Outage,
  type GatewayVisibility,
  type SlidingWindowLimiter,
} from '@anvilpaddle/decisions';
import type { RequestHead, CallerProtocol } from './callerProtocol';
import type { ConfigWatch } from './configWatch';
import { getQuarantineRefusal, sendRefusal, STATUS, type Refusal } from './refusal';
import type { GatewayMetrics } from './gatewayMetrics';
import type { JobService } from './jobs/jobService';
import { serveOnlineRequest } from './online/onlineRequest';
import type { OnlineDependencies } from './online/types';
import { findRoute } from './routeTable';
import { ROUTE_KIND, type GatewayConfig, type Route, type Team } from './types';

/** Dependencies of the handler. */
export interface HandlerDependencies {
  readonly protocol: CallerProtocol;
  readonly configWatch: ConfigWatch;
  readonly limit: SlidingWindowLimiter;
  readonly getVisibility: () => GatewayVisibility;
  readonly onAdmitted: () => void;
  /** Whether a request that has arrived can still be served; false late in a planned stop. */
  readonly isTakingRequests: () => boolean;
  /** Whether other gateways can serve requests that this one can't. */
  readonly canOthersServe: () => boolean;
  readonly online: OnlineDependencies;
  readonly jobs: JobService;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Route and team of a request. */
interface IdentifiedRequest {
  /** Undefined for a request about a job whose host has no batch route any more. */
  readonly route: Route | undefined;
  readonly team: Team | undefined;
  /** Version of the configuration by which they were found. */
  readonly configVersion: number;
}

type Identification =
  | { readonly ok: true; readonly value: IdentifiedRequest }
  | { readonly ok: false; readonly error: Refusal };

/** Size of the largest body that is read of a request which its head alone refuses. */
const MAX_UNIDENTIFIED_BODY_BYTES = BYTES_PER_MIB / 16;

/** Time after which a caller may come back for whom there was no memory: most requests have ended then. */
const MEMORY_RETRY_AFTER_MS = MS_PER_SECOND;

const NO_MEMORY: Refusal = {
  status: STATUS.unavailable,
  reason: 'the gateway has no memory for the request',
  retryAfterMs: MEMORY_RETRY_AFTER_MS,
};

/** Refusal of a request whose body is not read any further. */
const getBodyRefusal = ({ kind }: BodyError): Refusal => {
  switch (kind) {
    case 'no_memory':
      return NO_MEMORY;
    case 'body_wasteful':
      return { status: STATUS.payloadTooLarge, reason: 'the body comes in too small pieces' };
    default:
      return { status: STATUS.payloadTooLarge, reason: 'the body is too large' };
  }
};

const NO_SUCH_ROUTE: Refusal = { status: STATUS.notFound, reason: 'no such route' };

/** Creates the handler of all callers' requests. */
export const newCallerHandler = (dependencies: HandlerDependencies) => {
  const { protocol, configWatch, limit: limiter, clock, log, jobs, metrics } = dependencies;

  const newOutageRefusal = (reason: string, outage: Outage, { budgetMs }: RequestHead): Refusal => {
    const canOthersServe = dependencies.canOthersServe();
    const retryAfterMs = getOutageRetryAfterMs({ outage, canOthersServe, budgetMs });
    return { status: STATUS.unavailable, reason, retryAfterMs };
  };

  const authenticate = (
    config: GatewayConfig,
    route: Route | undefined,
    head: RequestHead,
  ): { readonly team: Team | undefined } | Refusal => {
    if (config.teams === undefined || route?.isPublic === true) return { team: undefined };
    if (!configWatch.areKeysFresh()) {
      return newOutageRefusal(
        'keys can not be checked at the moment',
        OUTAGE.storeUnavailable,
        head,
      );
    }
    const team = head.key === undefined ? undefined : configWatch.getTeam(head.key);
    return team === undefined ? { status: STATUS.unauthorized, reason: 'unknown key' } : { team };
  };

  const identify = (head: RequestHead): Identification => {
    const config = configWatch.current();
    if (config === undefined) {
      return {
        ok: false,
        error: newOutageRefusal('no configuration yet', OUTAGE.starting, head),
      };
    }
    const isJobCall = head.action.kind !== 'forward';
    const route = isJobCall
      ? config.routes.find(({ host, kind }) => host === head.host && kind === ROUTE_KIND.batch)
      : findRoute(config, head.host, head.path);
    // A job outlives its route: its caller can still read and end it.
    if (route === undefined && !isJobCall) return { ok: false, error: NO_SUCH_ROUTE };
    const authentication = authenticate(config, route, head);
    return 'status' in authentication
      ? { ok: false, error: authentication }
      : { ok: true, value: { route, team: authentication.team, configVersion: config.version } };
  };

  const checkRateLimit = (team: Team | undefined): Refusal | undefined => {
    if (team === undefined || team.ratePerSecond <= 0) return undefined;
    const rateLimit = { rate: team.ratePerSecond, burst: team.burst };
    const admission = limiter.take(
      team.name,
      rateLimit,
      dependencies.getVisibility(),
      clock.monotonic(),
    );
    if (admission.admitted) {
      dependencies.onAdmitted();
      return undefined;
    }
    const { retryAfterMs, used, limit: allowed } = admission;
    log.info({ team: team.name, used, allowed }, 'over the limit');
    return { status: STATUS.tooManyRequests, reason: 'over the rate of the team', retryAfterMs };
  };

  return async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const startedMs = clock.monotonic();
    const disconnectController = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) disconnectController.abort();
    });
    const head = protocol.parseHead(message.method ?? 'GET', message.url ?? '/', message.headers);
    const refuse = (refusal: Refusal, details: object = {}): void => {
      const { status, reason, retryAfterMs } = refusal;
      const { version } = configWatch.current() ?? {};
      metrics.countRefusal(status);
      log.info({ request: head.id, status, reason, retryAfterMs, version, ...details }, 'refused');
      sendRefusal(response, refusal);
    };
    const earlyIdentification = identify(head);
    const { byteBudget } = dependencies.online;
    // A request that is accepted now would have no room for its response.
    if (byteBudget.isUsedUp(HELD_FOR.response)) {
      response.setHeader('connection', 'close');
      refuse(NO_MEMORY);
      return;
    }
    const maxBytes = configWatch.current()?.bounds.maxBodyBytes ?? Infinity;
    const holder = byteBudget.newHolder(HELD_FOR.request);
    response.on('close', holder.release);
    const body = await readBody(
      message,
      earlyIdentification.ok ? maxBytes : Math.min(maxBytes, MAX_UNIDENTIFIED_BODY_BYTES),
      holder,
    );
    if (!body.ok) {
      if (body.error.kind === 'body_cut') return;
      // The rest of the body is not read: its bytes may have no end.
      response.setHeader('connection', 'close');
      if (!earlyIdentification.ok) refuse(earlyIdentification.error);
      else refuse(getBodyRefusal(body.error));
      return;
    }
    if (!dependencies.isTakingRequests()) {
      refuse(newOutageRefusal('the gateway is stopping', OUTAGE.starting, head));
      return;
    }
    const identification = identify(head);
    if (!identification.ok) {
      refuse(identification.error);
      return;
    }
    const { route, team, configVersion } = identification.value;
    const { signal } = disconnectController;
    if (head.action.kind !== 'forward') {
      const { action } = head;
      await jobs.serve({ head, action, team: team?.name ?? '', response, signal });
      return;
    }
    if (route === undefined) {
      refuse(NO_SUCH_ROUTE);
      return;
    }
    if (route.kind === ROUTE_KIND.batch) {
      const submission = { head, route, configVersion, team: team?.name ?? '', body: body.value };
      await jobs.submit({ ...submission, response, signal });
      return;
    }
    const digest = newRequestDigest({
      method: message.method ?? 'GET',
      host: head.host,
      url: message.url ?? '/',
      team: team?.name,
      body: body.value,
    });
    const { quarantine } = dependencies.online;
    const input = { promptParts: head.promptParts, digest };
    const assessment = quarantine.assess(input, clock.monotonic());
    if (assessment.state === PART_STATE.quarantined && !quarantine.trials.isDue(assessment)) {
      refuse(getQuarantineRefusal(assessment), assessment);
      return;
    }
    const overLimit = checkRateLimit(team);
    if (overLimit !== undefined) {
      refuse(overLimit);
      return;
    }
    const outcome = await serveOnlineRequest(
      {
        head,
        route,
        team: team?.name,
        priority: team?.priority ?? route.priority,
        message,
        body: body.value,
        digest,
        response,
        startedMs,
        signal,
      },
      dependencies.online,
    );
    metrics.countRequest(route, outcome);
    const { version } = configWatch.current() ?? {};
    log.info(
      { request: head.id, route: route.name, team: team?.name, version, ...outcome },
      'request',
    );
  };
};
