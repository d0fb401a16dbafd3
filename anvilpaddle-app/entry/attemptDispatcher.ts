/** Attempts of the entry process at upstreams, through their sidecars. */
import { ATTEMPT_RESULT, type AttemptResult } from '@anvilpaddle/decisions';
import { newFailure, newId, newOk, SERVICE_CLASS, type Result } from '@anvilpaddle/common';
import {
  newApiError,
  type ApiError,
  type Attempt,
  type Member,
  type Refusal,
  type RevocationResult,
  type RunState,
} from '@anvilpaddle/protocol';
import {
  isEventStream,
  readCompleteResponse,
  recordQueueWait,
  type UpstreamResponse,
  type CompleteResponse,
} from './upstreamResponse';
import type { AttemptReply } from './attemptClient';
import type { EntryDependencies, Exchange } from './types';
import type { StreamRelay } from './streamRelay';
import { getCallerCredential, getUpstreamHeaders, getUpstreamPath } from './upstreamHeaders';

const SEQUENCES_PER_MS = 1024;
const MAX_REVOCATION_WAIT_MS = 1000;
const STATUS_SERVER_ERROR = 500;
const FAILED_RETRY_AFTER_MS = 1000;

/** An attempt that failed, and what it means for a retry and for the upstream's health. */
export interface FailedAttempt {
  readonly error: ApiError;
  /**
   * Whether a retry doesn't draw on the retry budget: a sidecar that is stopping or was replaced
   * refused the attempt before it cost the upstream anything.
   */
  readonly isFreeRetry: boolean;
  /** Whether the attempt counts as a failure of the upstream. */
  readonly isUpstreamFailure: boolean;
  /** The upstream's own error response, sent to the caller if there is no other attempt. */
  readonly errorResponse?: CompleteResponse;
}

/** A request that is being forwarded, with its stream and its time limits. */
export interface ForwardContext {
  readonly exchange: Exchange;
  readonly stream: StreamRelay;
  /** Aborted when the caller's connection closes or the attempts' deadline passes. */
  readonly signal: AbortSignal;
  /** Monotonic milliseconds by which attempts must end, so that the response is in time. */
  readonly attemptsDeadlineMs: number;
}

/** Outcome of an attempt: a complete response, or undefined after a stream was fully relayed. */
export type AttemptOutcome = Result<CompleteResponse | undefined, FailedAttempt>;

/** Makes attempts at sidecars. */
export interface AttemptDispatcher {
  send(context: ForwardContext, member: Member): Promise<AttemptOutcome>;
}

/** Whether a request may be run more than once. */
export const isIdempotent = ({ route, request }: Exchange): boolean =>
  route?.kind === 'model' || (route?.idempotentMethods.includes(request.method ?? '') ?? false);

const failAttempt = (
  message: string,
  run: RunState,
  overrides: Partial<FailedAttempt> = {},
): Result<never, FailedAttempt> =>
  newFailure({
    error: newApiError('upstream_failed', message, { run, retryAfterMs: FAILED_RETRY_AFTER_MS }),
    isFreeRetry: false,
    isUpstreamFailure: true,
    ...overrides,
  });

const FREE_RETRY_REASONS = new Set<Refusal['reason']>(['stopping', 'incarnation']);
const OVERLOAD_REASONS = new Set<Refusal['reason']>(['overloaded', 'stopping']);

const getRefusalCode = ({ reason }: Refusal): ApiError['code'] => {
  if (reason === 'deadline') return 'deadline_exceeded';
  return OVERLOAD_REASONS.has(reason) ? 'overloaded' : 'upstream_failed';
};

const newRefusedAttempt = (refusal: Refusal): FailedAttempt => ({
  error: {
    code: getRefusalCode(refusal),
    message: `the upstream's queue refused the request: ${refusal.reason}`,
    run: refusal.run,
    retryAfterMs: refusal.retryAfterMs ?? FAILED_RETRY_AFTER_MS,
  },
  isFreeRetry: FREE_RETRY_REASONS.has(refusal.reason),
  isUpstreamFailure: refusal.reason === 'upstream_failed',
});

/** Creates a dispatcher that numbers its attempts in increasing order. */
export const newAttemptDispatcher = (dependencies: EntryDependencies): AttemptDispatcher => {
  const { clock, attempts, members, router } = dependencies;
  // Starts at the wall-clock time, so that a later incarnation's numbers exceed an earlier one's.
  let sequence = Math.floor(clock.wall()) * SEQUENCES_PER_MS;

  const newAttempt = (
    { exchange, attemptsDeadlineMs }: ForwardContext,
    member: Member,
  ): Attempt => {
    const maxTokens = exchange.json?.max_tokens ?? exchange.json?.max_completion_tokens;
    const credential = getCallerCredential(exchange.request.headers);
    sequence += 1;
    return {
      attempt: newId('att'),
      incarnation: member.incarnation,
      sender: dependencies.incarnation,
      sequence,
      request: exchange.id,
      team: exchange.team ?? '',
      route: exchange.route?.name ?? '',
      serviceClass: SERVICE_CLASS.online,
      idempotent: isIdempotent(exchange),
      timeLeftMs: Math.max(1, attemptsDeadlineMs - clock.monotonic()),
      method: exchange.request.method ?? 'GET',
      path: getUpstreamPath(exchange.url, credential),
      model: exchange.json?.model as string | undefined,
      maxTokens: typeof maxTokens === 'number' ? maxTokens : undefined,
      headers: getUpstreamHeaders(exchange.request.headers, credential),
    };
  };

  /** Revokes a lost attempt and returns its run state; `unknown` without a reply in time. */
  const getLostRunState = async (
    { exchange }: ForwardContext,
    member: Member,
    attempt: Attempt,
  ): Promise<RunState> => {
    const limitMs = Math.min(MAX_REVOCATION_WAIT_MS, exchange.deadlineMs - clock.monotonic());
    if (exchange.signal.aborted || limitMs <= 0) return 'unknown';
    const { attempt: id, incarnation, sender, sequence: sequenceNumber } = attempt;
    const revocation = { attempt: id, incarnation, sender, sequence: sequenceNumber };
    const revocationState = await new Promise<RevocationResult['state'] | undefined>((resolve) => {
      const timer = clock.after(limitMs, () => resolve(undefined));
      void dependencies.revokeAttempt(member.address, revocation).then((state) => {
        timer.cancel();
        resolve(state);
      });
    });
    return revocationState === 'not_sent' ? 'not_run' : 'unknown';
  };

  const relayStream = async (
    { stream, signal }: ForwardContext,
    response: UpstreamResponse,
  ): Promise<Result<undefined, FailedAttempt>> => {
    const end = await stream.relay(response, signal);
    return end === 'ended' ? newOk(undefined) : failAttempt('the stream was cut', 'unknown');
  };

  const handleResponse = async (
    context: ForwardContext,
    member: Member,
    response: UpstreamResponse,
  ): Promise<AttemptOutcome> => {
    const { exchange, stream } = context;
    if (response.load !== undefined) members.updateLoad(member.vm, response.load);
    recordQueueWait(exchange, response, dependencies);
    if (isEventStream(response)) return relayStream(context, response);
    const complete = await readCompleteResponse(exchange, response);
    if (!complete.ok) return failAttempt(complete.error.message, complete.error.run);
    if (stream.isStarted()) return failAttempt('the stream could not be resumed', 'unknown');
    if (response.status < STATUS_SERVER_ERROR) return complete;
    // An error response does not show whether the upstream did the work before it failed.
    return failAttempt(`the upstream answered ${response.status}`, 'unknown', {
      errorResponse: complete.value,
    });
  };

  const getOutcome = async (
    context: ForwardContext,
    member: Member,
    attempt: Attempt,
    reply: AttemptReply,
  ): Promise<AttemptOutcome> => {
    if (reply.kind === 'answer') return handleResponse(context, member, reply);
    if (reply.kind === 'refusal') return newFailure(newRefusedAttempt(reply.refusal));
    if (reply.kind === 'unreachable') return failAttempt('the upstream was not reached', 'not_run');
    const run = await getLostRunState(context, member, attempt);
    return failAttempt('the connection to the upstream was lost', run);
  };

  /**
   * Result of an attempt for the router's health tracking. An attempt that was ended by the caller
   * or the deadline does not count as a failure of the upstream.
   */
  const getAttemptResult = ({ signal }: ForwardContext, outcome: AttemptOutcome): AttemptResult => {
    if (outcome.ok) return ATTEMPT_RESULT.ok;
    const isFailure = outcome.error.isUpstreamFailure && !signal.aborted;
    return isFailure ? ATTEMPT_RESULT.failed : ATTEMPT_RESULT.refused;
  };

  const send: AttemptDispatcher['send'] = async (context, member) => {
    const { exchange, stream, signal } = context;
    const attempt = newAttempt(context, member);
    const body = stream.isStarted() ? stream.getResumeRequestBody() : exchange.body;
    const startedMs = clock.monotonic();
    router.started(member.vm);
    const reply = await attempts.send(member, attempt, body ?? exchange.body, signal);
    const firstByteMs = clock.monotonic() - startedMs;
    const outcome = await getOutcome(context, member, attempt, reply);
    router.ended(member.vm, getAttemptResult(context, outcome), firstByteMs);
    return outcome;
  };

  return { send };
};
