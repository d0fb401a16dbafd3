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
const MAX_SETTLE_MS = 1000;
const STATUS_SERVER_ERROR = 500;
const FAILED_RETRY_MS = 1000;

/** An attempt that did not bring the request to its end. */
export interface FailedAttempt {
  readonly error: ApiError;
  /** Refused before it cost the upstream anything, by a sidecar that is stopping or was replaced. */
  readonly isFreeRetry: boolean;
  /** Whether it speaks against the upstream's health. */
  readonly isUpstreamFailure: boolean;
  /** The upstream's own error answer, for the caller when there is no other attempt. */
  readonly errorResponse?: CompleteResponse;
}

/** One request on its way to upstreams. */
export interface ForwardContext {
  readonly exchange: Exchange;
  readonly stream: StreamRelay;
  /** Aborted when the caller is gone or the time is over. */
  readonly signal: AbortSignal;
  /** Monotonic milliseconds by which attempts must end, so that the answer is in time. */
  readonly attemptsDeadlineMs: number;
}

/** How an attempt ended: by a whole answer, or undefined when a stream was passed to its end. */
export type AttemptOutcome = Result<CompleteResponse | undefined, FailedAttempt>;

/** Makes one attempt at a sidecar. */
export interface AttemptDispatcher {
  send(delivery: ForwardContext, member: Member): Promise<AttemptOutcome>;
}

/** Whether a request may be run again. */
export const isIdempotent = ({ route, request }: Exchange): boolean =>
  route?.kind === 'model' || (route?.idempotentMethods.includes(request.method ?? '') ?? false);

const newMiss = (
  message: string,
  run: RunState,
  more: Partial<FailedAttempt> = {},
): Result<never, FailedAttempt> =>
  newFailure({
    error: newApiError('upstream_failed', message, { run, retryAfterMs: FAILED_RETRY_MS }),
    isFreeRetry: false,
    isUpstreamFailure: true,
    ...more,
  });

const FREE_REASONS = new Set<Refusal['reason']>(['stopping', 'incarnation']);
const OVERLOAD_REASONS = new Set<Refusal['reason']>(['overloaded', 'stopping']);

const getRefusalCode = ({ reason }: Refusal): ApiError['code'] => {
  if (reason === 'deadline') return 'deadline_exceeded';
  return OVERLOAD_REASONS.has(reason) ? 'overloaded' : 'upstream_failed';
};

const getRefusalMiss = (refusal: Refusal): FailedAttempt => ({
  error: {
    code: getRefusalCode(refusal),
    message: `the upstream's queue refused the request: ${refusal.reason}`,
    run: refusal.run,
    retryAfterMs: refusal.retryAfterMs ?? FAILED_RETRY_MS,
  },
  isFreeRetry: FREE_REASONS.has(refusal.reason),
  isUpstreamFailure: refusal.reason === 'upstream_failed',
});

/** New dispatcher; its attempts bear growing sequence numbers. */
export const newAttemptDispatcher = (services: EntryDependencies): AttemptDispatcher => {
  const { clock, attempts, members, router } = services;
  // Starts at the time of day, so that a later incarnation's numbers are beyond an earlier one's.
  let sequence = Math.floor(clock.wall()) * SEQUENCES_PER_MS;

  const newAttempt = (
    { exchange, attemptsDeadlineMs: attemptsEndMs }: ForwardContext,
    member: Member,
  ): Attempt => {
    const maxTokens = exchange.json?.max_tokens ?? exchange.json?.max_completion_tokens;
    const secret = getCallerCredential(exchange.request.headers);
    sequence += 1;
    return {
      attempt: newId('att'),
      incarnation: member.incarnation,
      sender: services.incarnation,
      sequence,
      request: exchange.id,
      team: exchange.team ?? '',
      route: exchange.route?.name ?? '',
      serviceClass: SERVICE_CLASS.online,
      idempotent: isIdempotent(exchange),
      timeLeftMs: Math.max(1, attemptsEndMs - clock.monotonic()),
      method: exchange.request.method ?? 'GET',
      path: getUpstreamPath(exchange.url, secret),
      model: exchange.json?.model as string | undefined,
      maxTokens: typeof maxTokens === 'number' ? maxTokens : undefined,
      headers: getUpstreamHeaders(exchange.request.headers, secret),
    };
  };

  /** Asks the sidecar what became of an attempt; without its word in time, nobody knows. */
  const settleLost = async (
    { exchange }: ForwardContext,
    member: Member,
    attempt: Attempt,
  ): Promise<RunState> => {
    const limitMs = Math.min(MAX_SETTLE_MS, exchange.deadlineMs - clock.monotonic());
    if (exchange.signal.aborted || limitMs <= 0) return 'unknown';
    const { attempt: id, incarnation, sender, sequence: number } = attempt;
    const revocation = { attempt: id, incarnation, sender, sequence: number };
    const word = await new Promise<RevocationResult['state'] | undefined>((resolve) => {
      const timer = clock.after(limitMs, () => resolve(undefined));
      void services.revokeAttempt(member.address, revocation).then((state) => {
        timer.cancel();
        resolve(state);
      });
    });
    return word === 'not_sent' ? 'not_run' : 'unknown';
  };

  const takeStream = async (
    { stream, signal }: ForwardContext,
    answer: UpstreamResponse,
  ): Promise<Result<undefined, FailedAttempt>> => {
    const end = await stream.relay(answer, signal);
    return end === 'ended' ? newOk(undefined) : newMiss('the stream was cut', 'unknown');
  };

  const takeAnswer = async (
    delivery: ForwardContext,
    member: Member,
    answer: UpstreamResponse,
  ): Promise<AttemptOutcome> => {
    const { exchange, stream } = delivery;
    if (answer.load !== undefined) members.hearLoad(member.vm, answer.load);
    recordQueueWait(exchange, answer, services);
    if (isEventStream(answer)) return takeStream(delivery, answer);
    const whole = await readCompleteResponse(exchange, answer);
    if (!whole.ok) return newMiss(whole.error.message, whole.error.run);
    if (stream.isStarted()) return newMiss('the stream could not be resumed', 'unknown');
    if (answer.status < STATUS_SERVER_ERROR) return whole;
    // An error answer does not tell whether the upstream did the work before it.
    return newMiss(`the upstream answered ${answer.status}`, 'unknown', {
      errorResponse: whole.value,
    });
  };

  const getEnding = async (
    delivery: ForwardContext,
    member: Member,
    attempt: Attempt,
    reply: AttemptReply,
  ): Promise<AttemptOutcome> => {
    if (reply.kind === 'answer') return takeAnswer(delivery, member, reply);
    if (reply.kind === 'refusal') return newFailure(getRefusalMiss(reply.refusal));
    if (reply.kind === 'unreachable') return newMiss('the upstream was not reached', 'not_run');
    const run = await settleLost(delivery, member, attempt);
    return newMiss('the connection to the upstream was lost', run);
  };

  /** What an attempt says of the upstream; one that the caller or its deadline ended, nothing. */
  const getResult = ({ signal }: ForwardContext, ending: AttemptOutcome): AttemptResult => {
    if (ending.ok) return ATTEMPT_RESULT.ok;
    const isFailure = ending.error.isUpstreamFailure && !signal.aborted;
    return isFailure ? ATTEMPT_RESULT.failed : ATTEMPT_RESULT.refused;
  };

  const send: AttemptDispatcher['send'] = async (delivery, member) => {
    const { exchange, stream, signal } = delivery;
    const attempt = newAttempt(delivery, member);
    const body = stream.isStarted() ? stream.getResumeRequestBody() : exchange.body;
    const startedMs = clock.monotonic();
    router.started(member.vm);
    const reply = await attempts.send(member, attempt, body ?? exchange.body, signal);
    const delayMs = clock.monotonic() - startedMs;
    const ending = await getEnding(delivery, member, attempt, reply);
    router.ended(member.vm, getResult(delivery, ending), delayMs);
    return ending;
  };

  return { send };
};
