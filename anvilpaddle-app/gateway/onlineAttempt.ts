/** One attempt of an online request at one upstream. */
import { SERVICE_CLASS } from '@anvilpaddle/common';
import { ATTEMPT_RESULT, type AttemptOutcome, type AttemptResult } from '@anvilpaddle/decisions';
import type { CallerResponse } from './callerResponse';
import type { OnlineRequest, OnlineDependencies } from './onlineRequest';
import type { Upstream } from './types';
import { callUpstream, type UpstreamCallResult } from './upstreamCall';

/**
 * Silence of an upstream that counts against its health, and ends the attempt when another
 * upstream can give the answer: many times what a first event takes with a short queue.
 */
const SILENCE_MS = 1000;

/** What an attempt is told. */
export interface AttemptPlan {
  readonly upstream: Upstream;
  /** Time left for the answer, in milliseconds. */
  readonly timeLeftMs: number;
  /** Wait for a slot that is expected, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Whether no other upstream may be asked after this one. */
  readonly isLast: boolean;
}

const getFailedOutcome = (reply: UpstreamCallResult): AttemptOutcome => ({
  run: reply.kind === 'not_sent' ? 'not_run' : 'unknown',
  answered: false,
});

/** What an attempt says of its upstream's health. */
const getResult = (reply: UpstreamCallResult, outcome: AttemptOutcome): AttemptResult => {
  if (outcome.answered) return ATTEMPT_RESULT.ok;
  const isRejected = reply.kind === 'answered' && outcome.run === 'not_run';
  return isRejected ? ATTEMPT_RESULT.refused : ATTEMPT_RESULT.failed;
};

const getDetail = (reply: UpstreamCallResult): string =>
  reply.kind === 'answered' ? `status ${reply.message.statusCode}` : reply.detail;

/** Sends the request to the upstream and passes its answer on; `signal` ends the attempt. */
export const runAttempt = async (
  { head: call, team, message, body }: OnlineRequest,
  { upstream, timeLeftMs, expectedWaitMs, isLast }: AttemptPlan,
  answer: CallerResponse,
  signal: AbortSignal,
  {
    protocol,
    view,
    serviceTimes: times,
    upstreamLoads: board,
    health,
    clock,
    log,
  }: OnlineDependencies,
): Promise<AttemptOutcome> => {
  const sentMs = clock.monotonic();
  const silence = new AbortController();
  const attemptSignal = AbortSignal.any([signal, silence.signal]);

  const onSilence = (): void => {
    health.record(upstream.id, ATTEMPT_RESULT.failed, SILENCE_MS, clock.monotonic());
    log.warn({ request: call.id, upstream: upstream.id, silenceMs: SILENCE_MS }, 'upstream silent');
    if (answer.canRetry() && !isLast) silence.abort();
  };
  let watchdog = clock.after(SILENCE_MS, onSilence);
  const onProgress = (): void => {
    watchdog.cancel();
    watchdog = clock.after(SILENCE_MS, onSilence);
  };

  const note = (reply: UpstreamCallResult, outcome: AttemptOutcome, delayMs: number): void => {
    const result = getResult(reply, outcome);
    health.record(upstream.id, result, delayMs, clock.monotonic());
    if (result === ATTEMPT_RESULT.ok) {
      // With a wait the time would tell more of the queue than of the upstream.
      if (expectedWaitMs === 0) {
        times.learn(upstream.service, upstream.id, clock.monotonic() - sentMs);
      }
      return;
    }
    const detail = getDetail(reply);
    log.warn(
      { request: call.id, upstream: upstream.id, run: outcome.run, detail },
      'attempt failed',
    );
  };

  board.begin(upstream.id, SERVICE_CLASS.online);
  try {
    const headers = protocol.getUpstreamHeaders(message.rawHeaders, {
      upstreamId: upstream.id,
      team,
      timeLeftMs,
      resumeAfterId: answer.lastEventId(),
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
      attemptSignal,
      clock,
    );
    const delayMs = clock.monotonic() - sentMs;
    if (reply.kind === 'answered' && protocol.isMisdirected(reply.message.statusCode ?? 0)) {
      view.reportReplaced(upstream);
    }
    const outcome =
      reply.kind === 'answered'
        ? await answer.relay(reply.message, isLast, attemptSignal, onProgress)
        : getFailedOutcome(reply);
    // A caller that leaves, or whose time is up, says nothing of the upstream.
    if (!attemptSignal.aborted) note(reply, outcome, delayMs);
    return outcome;
  } finally {
    watchdog.cancel();
    board.end(upstream.id, SERVICE_CLASS.online);
  }
};
