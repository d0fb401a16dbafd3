/** Carries one online request to upstreams until it has its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Logger, Random } from '@anvilpaddle/common';
import { SERVICE_CLASS } from '@anvilpaddle/common';
import {
  ATTEMPT_RESULT,
  getPlacement,
  isRetryable,
  type AttemptOutcome,
  type AttemptResult,
  type Health,
  type LoadBoard,
} from '@anvilpaddle/decisions';
import type { CallerCall, CallerProtocol } from './callerProtocol';
import { newCallerStream, type CallerStream } from './callerStream';
import { sendRefusal, STATUS, type Refusal } from './errors';
import type { FleetView } from './fleetView';
import { getService } from './routeTable';
import { ROUTE_KIND, type Route, type Upstream } from './types';
import { callUpstream, readAnswer, type UpstreamFailure, type UpstreamReply } from './upstreamCall';

/** What every online request uses. */
export interface OnlineServices {
  readonly protocol: CallerProtocol;
  readonly view: FleetView;
  readonly board: LoadBoard;
  readonly health: Health;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** One request that a caller sent, with its body. */
export interface OnlineRequest {
  readonly call: CallerCall;
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

/** How a request ended, for the log. */
export interface OnlineOutcome {
  readonly result: 'served' | 'refused' | 'failed' | 'left';
  readonly reason: string;
  readonly upstream: string | undefined;
  readonly attempts: number;
  readonly firstByteMs: number | undefined;
  /** Online requests and batch items at the upstream when it was chosen, and the wait expected. */
  readonly online: number | undefined;
  readonly batch: number | undefined;
  readonly waitMs: number | undefined;
}

/** Upstreams that may say that they have not run a request before it is given up. */
const MAX_REJECTIONS = 3;
const UNKNOWN: AttemptOutcome = { run: 'unknown', answered: false };
const NOT_RUN: AttemptOutcome = { run: 'not_run', answered: false };
const ANSWERED: AttemptOutcome = { run: 'ran', answered: true };
const RAN: AttemptOutcome = { run: 'ran', answered: false };

const getFailedOutcome = ({ kind }: UpstreamFailure): AttemptOutcome =>
  kind === 'not_sent' ? NOT_RUN : UNKNOWN;

/** What an attempt says of its upstream's health. */
const getAttemptResult = (reply: UpstreamReply, outcome: AttemptOutcome): AttemptResult => {
  if (outcome.answered) return ATTEMPT_RESULT.ok;
  const isRejected = reply.kind === 'answered' && outcome.run === 'not_run';
  return isRejected ? ATTEMPT_RESULT.refused : ATTEMPT_RESULT.failed;
};

/** Serves a request and tells how it ended. */
export const serveOnline = async (
  request: OnlineRequest,
  services: OnlineServices,
): Promise<OnlineOutcome> => {
  const { call, route, team, message, body, response, startedMs, signal } = request;
  const { protocol, view, board, health, clock, random, log } = services;
  const timeoutMs = Math.min(call.budgetMs ?? Infinity, route.timeoutMs);
  const tried = new Set<string>();
  const timeUp = new AbortController();
  const timer = clock.after(Math.max(0, timeoutMs - (clock.monotonic() - startedMs)), () =>
    timeUp.abort(),
  );
  const stopSignal = AbortSignal.any([signal, timeUp.signal]);
  let runs = 0;
  let rejections = 0;
  let firstByteMs: number | undefined;
  let lastUpstream: string | undefined;
  let choice: Pick<OnlineOutcome, 'online' | 'batch' | 'waitMs'> = {
    online: undefined,
    batch: undefined,
    waitMs: undefined,
  };
  /** Worst that may be true of all attempts so far. */
  let mayHaveRun = false;

  const stream: CallerStream | undefined =
    route.kind === ROUTE_KIND.stream
      ? newCallerStream(
          response,
          (answer) => protocol.getCallerHeaders(answer.rawHeaders),
          () => {
            firstByteMs = clock.monotonic() - startedMs;
          },
        )
      : undefined;

  const getTimeLeftMs = (): number => timeoutMs - (clock.monotonic() - startedMs);

  const passWhole = async (answer: IncomingMessage): Promise<AttemptOutcome> => {
    const content = await readAnswer(answer);
    if (content === undefined) return UNKNOWN;
    const status = answer.statusCode ?? STATUS.badGateway;
    const isLast = runs >= route.maxAttempts || route.kind !== ROUTE_KIND.repeatable;
    if (status >= 500 && !isLast) return RAN;
    firstByteMs = clock.monotonic() - startedMs;
    const headers = protocol.getCallerHeaders(answer.rawHeaders);
    const hasLength = headers.some(
      (text, index) => index % 2 === 0 && text.toLowerCase() === 'content-length',
    );
    response.writeHead(
      status,
      hasLength ? headers : [...headers, 'Content-Length', String(content.length)],
    );
    response.end(content);
    return ANSWERED;
  };

  const passAnswer = async (answer: IncomingMessage): Promise<AttemptOutcome> => {
    const status = answer.statusCode ?? STATUS.badGateway;
    if (!protocol.isAnswerTo(answer.headers, call.id)) {
      answer.destroy();
      return UNKNOWN;
    }
    if (protocol.isNotRun(status, answer.headers)) {
      answer.destroy();
      return NOT_RUN;
    }
    if (stream === undefined || status >= 300) {
      return stream?.isStarted() === true ? UNKNOWN : passWhole(answer);
    }
    const end = await stream.relay(answer, stopSignal);
    return end === 'ended' ? ANSWERED : { run: 'ran', answered: false };
  };

  const attempt = async (upstream: Upstream): Promise<AttemptOutcome> => {
    const sentMs = clock.monotonic();
    board.begin(upstream.id, SERVICE_CLASS.online);
    try {
      const headers = protocol.getUpstreamHeaders(message.rawHeaders, {
        upstreamId: upstream.id,
        team,
        timeLeftMs: getTimeLeftMs(),
        resumeAfter: stream?.lastEventId(),
        bodyBytes: body.length,
      });
      const reply = await callUpstream(
        {
          address: upstream.address,
          method: message.method ?? 'GET',
          path: message.url ?? '/',
          headers,
          body,
        },
        stopSignal,
        clock,
      );
      const delayMs = clock.monotonic() - sentMs;
      const outcome =
        reply.kind === 'answered' ? await passAnswer(reply.message) : getFailedOutcome(reply);
      if (!stopSignal.aborted) {
        const result = getAttemptResult(reply, outcome);
        health.record(upstream.id, result, delayMs, clock.monotonic());
        if (result !== ATTEMPT_RESULT.ok) {
          const detail = reply.kind === 'answered' ? reply.message.statusCode : reply.detail;
          log.warn(
            { request: call.id, upstream: upstream.id, run: outcome.run, detail },
            'attempt',
          );
        }
        if (result === ATTEMPT_RESULT.ok) view.learn(upstream.service, clock.monotonic() - sentMs);
      }
      return outcome;
    } finally {
      board.end(upstream.id, SERVICE_CLASS.online);
    }
  };

  const finish = (
    result: OnlineOutcome['result'],
    reason: string,
    refusal?: Refusal,
  ): OnlineOutcome => {
    timer.cancel();
    if (stream?.isStarted() === true && result !== 'served') stream.cut();
    else if (refusal !== undefined) sendRefusal(response, refusal);
    return {
      result,
      reason,
      upstream: lastUpstream,
      attempts: runs + rejections,
      firstByteMs,
      ...choice,
    };
  };

  const fail = (status: number, reason: string): OnlineOutcome =>
    finish('failed', reason, { status, reason });

  const refuse = (reason: string, retryAfterMs: number): OnlineOutcome =>
    mayHaveRun
      ? fail(STATUS.badGateway, reason)
      : finish('refused', reason, { status: STATUS.unavailable, reason, retryAfterMs });

  const service = getService(route, random);
  if (service === undefined) return refuse('the route has no service', 1000);
  for (;;) {
    const placement = getPlacement(
      view.getCandidates(service, tried),
      {
        objectiveLeftMs: route.objectiveMs - (clock.monotonic() - startedMs),
        timeLeftMs: getTimeLeftMs(),
      },
      random,
    );
    if (placement.kind === 'refuse') return refuse('no upstream has room', placement.retryAfterMs);
    const upstream = view.getUpstream(placement.upstream);
    if (upstream === undefined) return refuse('no upstream has room', 100);
    tried.add(upstream.id);
    lastUpstream = upstream.id;
    choice = { ...board.getLoad(upstream.id, clock.monotonic()), waitMs: placement.waitMs };
    runs += 1;
    const outcome = await attempt(upstream);
    if (outcome.answered) return finish('served', 'answered');
    if (signal.aborted) return finish('left', 'the caller has left');
    if (timeUp.signal.aborted) return fail(STATUS.timeout, 'the time for the answer is up');
    if (outcome.run === 'not_run') {
      runs -= 1;
      rejections += 1;
    } else {
      mayHaveRun = true;
    }
    const isRepeatable =
      route.kind === ROUTE_KIND.repeatable ||
      (route.isResumable && (stream?.isStarted() !== true || stream.lastEventId() !== undefined));
    const isAgain = isRetryable(outcome, {
      idempotent: isRepeatable,
      attempts: runs,
      maxAttempts: route.maxAttempts,
      timeLeftMs: getTimeLeftMs(),
    });
    if (!isAgain || rejections >= MAX_REJECTIONS) {
      return outcome.run === 'not_run'
        ? refuse('upstreams have no room', 200)
        : fail(STATUS.badGateway, 'the answer was lost');
    }
  }
};
