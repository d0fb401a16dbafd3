/** One attempt to serve an online request on one upstream. */
import {
  getCompositeKey,
  MS_PER_SECOND,
  SERVICE_CLASS,
  type HttpCallResult,
} from '@anvilpaddle/common';
import {
  ATTEMPT_RESULT,
  getTotalLoad,
  type AttemptOutcome,
  type AttemptResult,
} from '@anvilpaddle/decisions';
import type { AttemptReport, CallerResponse } from '../callerResponse';
import { isEndBlameless, isForeign, isResponseComplete } from '../responseEnd';
import { newSilenceTimer, SILENCE_TIMEOUT_MS } from '../silenceTimer';
import type { Route, Upstream } from '../types';
import { SEND_REASON, type SendReason } from '../upstreamClient';
import type { OnlineRequest, OnlineDependencies } from './types';

/** Kind of request for which durations of attempts are learned together. */
export const getHedgingKind = ({ name }: Route, service: string): string =>
  getCompositeKey(name, service);

/** Upstream and limits of one attempt. */
export interface AttemptPlan {
  readonly upstream: Upstream;
  readonly reason: SendReason;
  /** Time left for the response, in milliseconds. */
  readonly timeLeftMs: number;
  /** Expected wait for a slot, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Whether no other upstream may be tried after this one. */
  readonly isLast: () => boolean;
}

/** Called for the progress of one attempt. */
export interface AttemptListener {
  /** The upstream is silent; called again while that lasts. */
  onSilence(): void;
  /** The upstream has begun to answer. */
  onHead(): void;
  onContent(): void;
  /** The response begins to go to the caller. */
  onAnswer(): void;
}

/** An attempt whose request has been sent; its response goes to the caller. */
export interface OnlineAttempt {
  readonly upstream: Upstream;
  readonly ended: Promise<AttemptReport>;
  /** Sets who is told of the progress, in place of the listener before. */
  listen(listener: AttemptListener): void;
  /** Closes the connection to the upstream. */
  abandon(): void;
}

const getFailedOutcome = (callResult: HttpCallResult): AttemptOutcome => ({
  run: callResult.kind === 'not_sent' ? 'not_run' : 'unknown',
  answered: false,
});

/** How an attempt counts in its upstream's health. */
const getHealthResult = (callResult: HttpCallResult, outcome: AttemptOutcome): AttemptResult => {
  if (outcome.answered) return ATTEMPT_RESULT.ok;
  const isRejected = callResult.kind === 'answered' && outcome.run === 'not_run';
  return isRejected ? ATTEMPT_RESULT.refused : ATTEMPT_RESULT.failed;
};

/** Time from the first content of a response after which its request has outlived its start. */
const OUTLIVED_MS = MS_PER_SECOND;

/** Whether the upstream broke the attempt off, before or during its response. */
const isLost = (callResult: HttpCallResult, { responseEnd }: AttemptReport): boolean => {
  if (callResult.kind !== 'answered') return callResult.kind === 'lost';
  if (responseEnd === undefined || isEndBlameless(responseEnd)) return false;
  if (isForeign(responseEnd)) return false;
  return !isResponseComplete(responseEnd);
};

const getDetail = (callResult: HttpCallResult, { fault }: AttemptReport): string => {
  if (callResult.kind !== 'answered') return callResult.detail;
  return fault ?? `status ${callResult.message.statusCode}`;
};

/** Sends the request to the upstream; `signal` aborts the attempt. */
export const openAttempt = (
  { head, route, team, priority, message, body, digest }: OnlineRequest,
  { upstream, reason, timeLeftMs, expectedWaitMs, isLast }: AttemptPlan,
  callerResponse: CallerResponse,
  signal: AbortSignal,
  dependencies: OnlineDependencies,
): OnlineAttempt => {
  const { protocol, view, serviceTimes, upstreamLoads, health, crashDetector, quarantine } =
    dependencies;
  const { teamSlots, upstreamClient, hedging, clock, log, metrics } = dependencies;
  const sentMs = clock.monotonic();
  const resumeAfterId = callerResponse.lastEventId();
  const wasCold = view.isCold(upstream);
  const holder = team === undefined ? undefined : { service: upstream.service, team, priority };
  upstreamLoads.begin(upstream.id, SERVICE_CLASS.online);
  if (holder !== undefined) teamSlots.begin(holder);
  const concurrency = getTotalLoad(upstreamLoads.getLoad(upstream.id, sentMs));
  const abandonment = new AbortController();
  const attemptSignal = AbortSignal.any([signal, abandonment.signal]);
  let firstByteMs = 0;
  let contentMs: number | undefined;
  let hasAnswered = false;
  let isSilent = false;
  let hasBeenSilent = false;
  let listener: AttemptListener | undefined;

  const hasContent = (): boolean => contentMs !== undefined;
  const hasOutlivedStart = (): boolean =>
    contentMs !== undefined && clock.monotonic() - contentMs >= OUTLIVED_MS;

  /** Whether the upstream may be slow because it is cold, or was when the request was sent. */
  const isSlowAsCold = (): boolean => wasCold || view.isCold(upstream);

  const silenceTimer = newSilenceTimer(clock, (isFirstReport) => {
    if (isFirstReport) {
      isSilent = true;
      hasBeenSilent = true;
      if (!isSlowAsCold()) health.recordSilence(upstream.id, clock.monotonic());
      metrics.countSilence();
      log.warn(
        {
          request: head.id,
          upstream: upstream.id,
          hasContent: hasContent(),
          silenceMs: SILENCE_TIMEOUT_MS,
        },
        'upstream silent',
      );
    }
    listener?.onSilence();
  });

  const onContent = (): void => {
    silenceTimer.recordContent();
    if (isSilent) health.recordSilenceEnd(upstream.id, clock.monotonic());
    isSilent = false;
    contentMs ??= clock.monotonic();
    listener?.onContent();
  };

  const onAnswer = (): void => {
    if (hasAnswered) return;
    hasAnswered = true;
    if (reason === SEND_REASON.request) {
      const nowMs = clock.monotonic();
      hedging.learn(getHedgingKind(route, upstream.service), nowMs - sentMs, nowMs);
    }
    listener?.onAnswer();
  };

  const end = (): void => {
    silenceTimer.stop();
    upstreamLoads.end(upstream.id, SERVICE_CLASS.online);
    if (holder !== undefined) teamSlots.end(holder);
  };

  const call = async (): Promise<HttpCallResult> => {
    const headers = protocol.getUpstreamHeaders(message.rawHeaders, {
      upstreamId: upstream.id,
      team,
      timeLeftMs,
      resumeAfterId,
      bodyBytes: body.length,
    });
    const { method = 'GET', url: path = '/' } = message;
    const callResult = await upstreamClient.send(
      upstream,
      { method, path, headers, body },
      reason,
      attemptSignal,
    );
    firstByteMs = clock.monotonic() - sentMs;
    if (callResult.kind === 'not_sent' && callResult.isRefused) {
      crashDetector.reportRefused(upstream);
    }
    if (
      callResult.kind === 'answered' &&
      protocol.isMisdirected(callResult.message.statusCode ?? 0)
    ) {
      view.reportReplaced(upstream);
    }
    return callResult;
  };

  const recordAttempt = (callResult: HttpCallResult, outcome: AttemptReport): void => {
    const result = getHealthResult(callResult, outcome);
    // With a silence, or a cold upstream, the time would measure that rather than the upstream.
    const isUsual = !hasBeenSilent && !isSlowAsCold();
    const usualFirstByteMs = isUsual ? firstByteMs : undefined;
    if (!isEndBlameless(outcome.responseEnd)) {
      health.record(upstream.id, result, usualFirstByteMs, clock.monotonic());
    }
    if (result === ATTEMPT_RESULT.ok) {
      // The same holds for a request that waited, and for a caller that reads slowly.
      const hasWaited = expectedWaitMs > 0 || outcome.responseEnd?.waitedForCaller === true;
      if (isUsual && !hasWaited) {
        serviceTimes.learn(upstream.service, upstream.id, clock.monotonic() - sentMs);
      }
      return;
    }
    const detail = getDetail(callResult, outcome);
    log.warn(
      {
        request: head.id,
        upstream: upstream.id,
        run: outcome.run,
        detail,
        hasContent: hasContent(),
        promptParts: head.promptParts,
        ...outcome.responseEnd,
      },
      'attempt failed',
    );
  };

  /** Reports that the upstream broke the attempt off; returns the parts that may be the cause. */
  const reportLost = (): readonly string[] => {
    crashDetector.reportLost(upstream, {
      id: head.id,
      promptParts: head.promptParts,
      digest: digest.get(),
      runMs: clock.monotonic() - sentMs,
      concurrency,
      hasOutlivedStart: hasOutlivedStart(),
    });
    return [...head.promptParts, digest.get()];
  };

  /** Records that the upstream has answered as a whole, or that the caller left long after the start. */
  const recordSurvival = ({ responseEnd }: AttemptReport): void => {
    const nowMs = clock.monotonic();
    const isAnswered = responseEnd !== undefined && isResponseComplete(responseEnd);
    if (isAnswered) quarantine.parts.recordSurvival(head.promptParts, nowMs - sentMs, nowMs);
    if (isAnswered || (attemptSignal.aborted && hasOutlivedStart())) {
      quarantine.recordAnswer(digest, nowMs);
    }
  };

  const run = async (): Promise<AttemptReport> => {
    const callResult = await call();
    if (callResult.kind === 'answered' && callerResponse.isAnswer(callResult.message)) {
      listener?.onHead();
    }
    const outcome: AttemptReport =
      callResult.kind === 'answered'
        ? await callerResponse.relay(callResult.message, attemptSignal, {
            isLast,
            resumeAfterId,
            onContent,
            onAnswer,
            onBlocked: silenceTimer.pause,
          })
        : getFailedOutcome(callResult);
    if (outcome.responseEnd !== undefined) metrics.countResponseEnd(outcome.responseEnd);
    recordSurvival(outcome);
    // An end that the gateway or the caller caused says nothing about the upstream's health.
    if (attemptSignal.aborted) return outcome;
    recordAttempt(callResult, outcome);
    if (!isLost(callResult, outcome)) return outcome;
    return { ...outcome, suspectedParts: reportLost() };
  };

  return {
    upstream,
    ended: run().finally(end),
    listen: (newListener) => {
      listener = newListener;
    },
    abandon: () => abandonment.abort(),
  };
};
