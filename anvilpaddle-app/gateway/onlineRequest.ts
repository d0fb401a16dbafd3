/** Carries one online request from upstream to upstream until it has its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Logger, Random } from '@anvilpaddle/common';
import {
  getPlacement,
  isRetryable,
  type AttemptOutcome,
  type Health,
  type LoadTracker,
  type RetryAfterSchedule,
  type ServiceTimes,
} from '@anvilpaddle/decisions';
import { newCallerResponse } from './callerResponse';
import type { RequestHead, CallerProtocol } from './callerProtocol';
import { STATUS, type Refusal } from './refusal';
import type { FleetView } from './fleetView';
import { runAttempt } from './onlineAttempt';
import { pickService } from './routeTable';
import type { Route, Upstream } from './types';

/** Upstreams that may say that they have not run a request before it is given up. */
const MAX_REJECTIONS = 3;
/** Wait asked of a caller whose route has no upstream at all. */
const EMPTY_RETRY_MS = 1000;

/** What every online request uses. */
export interface OnlineDependencies {
  readonly protocol: CallerProtocol;
  readonly view: FleetView;
  readonly upstreamLoads: LoadTracker;
  readonly health: Health;
  readonly serviceTimes: ServiceTimes;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly retrySchedule: RetryAfterSchedule;
  /** Gateways that may be at work, this one included. */
  readonly getGatewayCount: () => number;
}

/** One request that a caller sent, with its body. */
export interface OnlineRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly team: string | undefined;
  readonly message: IncomingMessage;
  readonly body: Buffer;
  readonly response: ServerResponse;
  /** Monotonic time at which its head was read. */
  readonly startedMs: number;
  /** Aborted when the caller has left. */
  readonly signal: AbortSignal;
}

/** What the last choice of an upstream went by. */
interface Choice {
  readonly upstream: string;
  /** Online requests and batch items at the upstream. */
  readonly online: number;
  readonly batch: number;
  /** Wait for a slot that was expected, in milliseconds. */
  readonly waitMs: number;
}

/** How a request ended, for the log and the metrics. */
export interface OnlineOutcome extends Partial<Choice> {
  readonly result: 'served' | 'refused' | 'failed' | 'left';
  readonly reason: string;
  readonly attempts: number;
  readonly firstByteMs: number | undefined;
  /** Time from the request's head to its end, in milliseconds. */
  readonly durationMs: number;
}

type Target =
  | { readonly kind: 'send'; readonly upstream: Upstream; readonly choice: Choice }
  | { readonly kind: 'refuse'; readonly queueMs: number };

/** Serves a request and tells how it ended. */
export const serveOnlineRequest = async (
  request: OnlineRequest,
  services: OnlineDependencies,
): Promise<OnlineOutcome> => {
  const { head: call, route, response, startedMs, signal } = request;
  const { protocol, view, upstreamLoads: board, clock, random } = services;
  const timeoutMs = Math.min(call.budgetMs ?? Infinity, route.timeoutMs);
  const getPassedMs = (): number => clock.monotonic() - startedMs;
  const getTimeLeftMs = (): number => timeoutMs - getPassedMs();
  const timeUp = new AbortController();
  const timer = clock.after(Math.max(0, getTimeLeftMs()), () => timeUp.abort());
  const stopSignal = AbortSignal.any([signal, timeUp.signal]);
  const tried = new Set<string>();
  let runs = 0;
  let rejections = 0;
  let firstByteMs: number | undefined;
  let lastChoice: Choice | undefined;

  const answer = newCallerResponse(call.id, route, response, protocol, () => {
    firstByteMs = getPassedMs();
  });

  const finish = (result: OnlineOutcome['result'], reason: string): OnlineOutcome => {
    timer.cancel();
    const attempts = runs + rejections;
    return { result, reason, attempts, firstByteMs, durationMs: getPassedMs(), ...lastChoice };
  };

  const fail = (status: number, reason: string): OnlineOutcome => {
    answer.refuse({ status, reason });
    return finish('failed', reason);
  };

  /** Says "not run" only when no attempt may have run. */
  const refuse = (reason: string, retryAfterMs: number): OnlineOutcome => {
    if (runs > 0) return fail(STATUS.badGateway, reason);
    const refusal: Refusal = { status: STATUS.unavailable, reason, retryAfterMs };
    answer.refuse(refusal);
    return finish('refused', reason);
  };

  const getTarget = (service: string): Target => {
    // What has run once is worth finishing late.
    const objectiveLeftMs =
      runs > 0 ? route.latencyObjectiveMs : route.latencyObjectiveMs - getPassedMs();
    const demand = { objectiveLeftMs, timeLeftMs: getTimeLeftMs() };
    const placement = getPlacement(view.getCandidates(service, tried), demand, random);
    if (placement.kind === 'refuse') return placement;
    const upstream = view.getUpstream(placement.upstream);
    if (upstream === undefined) return { kind: 'refuse', queueMs: 0 };
    const load = board.getLoad(upstream.id, clock.monotonic());
    const choice = { upstream: upstream.id, ...load, waitMs: placement.waitMs };
    return { kind: 'send', upstream, choice };
  };

  const getReturnMs = (service: string, queueMs: number): number => {
    const spacingMs = view.getAdmissionIntervalMs(service, 1 / services.getGatewayCount());
    return services.retrySchedule.getRetryAfterMs(
      { queueMs, admissionIntervalMs: spacingMs },
      clock.monotonic(),
    );
  };

  const count = ({ run }: AttemptOutcome): void => {
    if (run === 'not_run') rejections += 1;
    else runs += 1;
  };

  const isWorthAnother = (outcome: AttemptOutcome): boolean =>
    rejections < MAX_REJECTIONS &&
    isRetryable(outcome, {
      idempotent: answer.canRetry(),
      attempts: runs,
      maxAttempts: route.maxAttempts,
      timeLeftMs: getTimeLeftMs(),
    });

  const service = pickService(route, random);
  if (service === undefined) return refuse('the route has no service', EMPTY_RETRY_MS);
  for (;;) {
    const target = getTarget(service);
    if (target.kind === 'refuse') {
      return refuse('no upstream has room', getReturnMs(service, target.queueMs));
    }
    const { upstream } = target;
    tried.add(upstream.id);
    lastChoice = target.choice;
    const plan = {
      upstream,
      timeLeftMs: getTimeLeftMs(),
      expectedWaitMs: target.choice.waitMs,
      isLast: runs + 1 >= route.maxAttempts || !answer.canRetry(),
    };
    const outcome = await runAttempt(request, plan, answer, stopSignal, services);
    count(outcome);
    if (outcome.answered) return finish('served', 'answered');
    if (signal.aborted) return finish('left', 'the caller has left');
    if (timeUp.signal.aborted) return fail(STATUS.timeout, 'the time for the answer is up');
    if (isWorthAnother(outcome)) continue;
    return outcome.run === 'not_run'
      ? refuse('the upstreams are full', getReturnMs(service, 0))
      : fail(STATUS.badGateway, 'the answer was lost');
  }
};
