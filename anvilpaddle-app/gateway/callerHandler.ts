/** What happens to a caller's request from its head to its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody, type Clock, type Logger } from '@anvilpaddle/common';
import {
  getOutageRetryAfterMs,
  OUTAGE,
  type Outage,
  type GatewayVisibility,
  type SlidingWindowLimiter,
} from '@anvilpaddle/decisions';
import type { RequestHead, CallerProtocol } from './callerProtocol';
import type { ConfigWatch } from './configWatch';
import { sendRefusal, STATUS, type Refusal } from './refusal';
import type { GatewayMetrics } from './gatewayMetrics';
import type { JobService } from './jobs/jobService';
import { serveOnlineRequest, type OnlineDependencies } from './onlineRequest';
import { findRoute } from './routeTable';
import { ROUTE_KIND, type GatewayConfig, type Route, type Team } from './types';

/** What the handler uses. */
export interface HandlerDependencies {
  readonly protocol: CallerProtocol;
  readonly configWatch: ConfigWatch;
  readonly limit: SlidingWindowLimiter;
  readonly getVisibility: () => GatewayVisibility;
  readonly onAdmitted: () => void;
  /** Whether other gateways can serve what this one can't. */
  readonly canOthersServe: () => boolean;
  readonly online: OnlineDependencies;
  readonly jobs: JobService;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** What a request was found to be. */
interface Admitted {
  readonly route: Route;
  readonly team: Team | undefined;
}

type Check =
  { readonly ok: true; readonly value: Admitted } | { readonly ok: false; readonly error: Refusal };

/** Handler of all callers' requests. */
export const newCallerHandler = (services: HandlerDependencies) => {
  const { protocol, configWatch: deployment, limit, clock, log, jobs, metrics } = services;

  const refuseForOutage = (reason: string, outage: Outage, { budgetMs }: RequestHead): Refusal => {
    const canOthersServe = services.canOthersServe();
    const retryAfterMs = getOutageRetryAfterMs({ outage, canOthersServe, budgetMs });
    return { status: STATUS.unavailable, reason, retryAfterMs };
  };

  const authenticate = (
    config: GatewayConfig,
    route: Route | undefined,
    call: RequestHead,
  ): { readonly team: Team | undefined } | Refusal => {
    if (config.teams === undefined || route?.isPublic === true) return { team: undefined };
    if (!deployment.areKeysFresh()) {
      return refuseForOutage(
        'keys can not be checked at the moment',
        OUTAGE.storeUnavailable,
        call,
      );
    }
    const team = call.key === undefined ? undefined : deployment.getTeam(call.key);
    return team === undefined ? { status: STATUS.unauthorized, reason: 'unknown key' } : { team };
  };

  const identify = (call: RequestHead): Check => {
    const config = deployment.current();
    if (config === undefined) {
      return {
        ok: false,
        error: refuseForOutage('no configuration yet', OUTAGE.starting, call),
      };
    }
    const isJobCall = call.action.kind !== 'forward';
    const route = isJobCall
      ? config.routes.find(({ host, kind }) => host === call.host && kind === ROUTE_KIND.batch)
      : findRoute(config, call.host, call.path);
    if (route === undefined) {
      return { ok: false, error: { status: STATUS.notFound, reason: 'no such route' } };
    }
    const owner = authenticate(config, route, call);
    return 'status' in owner
      ? { ok: false, error: owner }
      : { ok: true, value: { route, team: owner.team } };
  };

  const checkLimit = (team: Team | undefined): Refusal | undefined => {
    if (team === undefined || team.ratePerSecond <= 0) return undefined;
    const rate = { rate: team.ratePerSecond, burst: team.burst };
    const admission = limit.take(team.name, rate, services.getVisibility(), clock.monotonic());
    if (admission.admitted) {
      services.onAdmitted();
      return undefined;
    }
    const { retryAfterMs, used, limit: allowed } = admission;
    log.info({ team: team.name, used, allowed }, 'over the limit');
    return { status: STATUS.tooManyRequests, reason: 'over the rate of the team', retryAfterMs };
  };

  return async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const startedMs = clock.monotonic();
    const abort = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) abort.abort();
    });
    const call = protocol.parseHead(message.method ?? 'GET', message.url ?? '/', message.headers);
    const reject = (refusal: Refusal): void => {
      const { status, reason, retryAfterMs } = refusal;
      const { version } = deployment.current() ?? {};
      metrics.countRefusal(status);
      log.info({ request: call.id, status, reason, retryAfterMs, version }, 'refused');
      sendRefusal(response, refusal);
    };
    const maxBytes = deployment.current()?.bounds.maxBodyBytes ?? Infinity;
    const body = await readBody(message, maxBytes);
    if (!body.ok) {
      if (body.error.kind === 'body_too_large') {
        reject({ status: STATUS.payloadTooLarge, reason: 'the body is too large' });
      }
      return;
    }
    const checked = identify(call);
    if (!checked.ok) {
      reject(checked.error);
      return;
    }
    const { route, team } = checked.value;
    if (call.action.kind !== 'forward' || route.kind === ROUTE_KIND.batch) {
      await jobs.serve({
        call,
        route,
        team: team?.name ?? '',
        body: body.value,
        response,
        signal: abort.signal,
      });
      return;
    }
    const overLimit = checkLimit(team);
    if (overLimit !== undefined) {
      reject(overLimit);
      return;
    }
    const outcome = await serveOnlineRequest(
      {
        head: call,
        route,
        team: team?.name,
        message,
        body: body.value,
        response,
        startedMs,
        signal: abort.signal,
      },
      services.online,
    );
    metrics.countRequest(route, outcome);
    const { version } = deployment.current() ?? {};
    log.info(
      { request: call.id, route: route.name, team: team?.name, version, ...outcome },
      'request',
    );
  };
};
