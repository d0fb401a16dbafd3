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
import { isStream, readWhole, recordQueueWait, type Answer, type WholeAnswer } from './answer';
import type { AttemptReply } from './attemptClient';
import type { EntryServices, Exchange } from './types';
import type { StreamRelay } from './streamRelay';
import { getCallerSecret, getUpstreamHeaders, getUpstreamPath } from './upstreamHeaders';

const SEQUENCES_PER_MS = 1024;
const MAX_SETTLE_MS = 1000;
const STATUS_SERVER_ERROR = 500;
const FAILED_RETRY_MS = 1000;

/** An attempt that did not bring the request to its end. */
export interface Miss {
  readonly error: ApiError;
  /** Refused before it cost the upstream anything, by a sidecar that is stopping or was replaced. */
  readonly isFree: boolean;
  /** Whether it speaks against the upstream's health. */
  readonly isFailure: boolean;
  /** The upstream's own error answer, for the caller when there is no other attempt. */
  readonly whole?: WholeAnswer;
}

/** One request on its way to upstreams. */
export interface Delivery {
  readonly exchange: Exchange;
  readonly stream: StreamRelay;
  /** Aborted when the caller is gone or the time is over. */
  readonly signal: AbortSignal;
  /** Monotonic milliseconds by which attempts must end, so that the answer is in time. */
  readonly attemptsEndMs: number;
}

/** How an attempt ended: by a whole answer, or undefined when a stream was passed to its end. */
export type Ending = Result<WholeAnswer | undefined, Miss>;

/** Makes one attempt at a sidecar. */
export interface Dispatcher {
  send(delivery: Delivery, member: Member): Promise<Ending>;
}

/** Whether a request may be run again. */
export const isIdempotent = ({ route, request }: Exchange): boolean =>
  route?.kind === 'model' || (route?.idempotentMethods.includes(request.method ?? '') ?? false);

const newMiss = (message: string, run: RunState, more: Partial<Miss> = {}): Result<never, Miss> =>
  newFailure({
    error: newApiError('upstream_failed', message, { run, retryAfterMs: FAILED_RETRY_MS }),
    isFree: false,
    isFailure: true,
    ...more,
  });

const FREE_REASONS = new Set<Refusal['reason']>(['stopping', 'incarnation']);
const OVERLOAD_REASONS = new Set<Refusal['reason']>(['overloaded', 'stopping']);

const getRefusalCode = ({ reason }: Refusal): ApiError['code'] => {
  if (reason === 'deadline') return 'deadline_exceeded';
  return OVERLOAD_REASONS.has(reason) ? 'overloaded' : 'upstream_failed';
};

const getRefusalMiss = (refusal: Refusal): Miss => ({
  error: {
    code: getRefusalCode(refusal),
    message: `the upstream's queue refused the request: ${refusal.reason}`,
    run: refusal.run,
    retryAfterMs: refusal.retryAfterMs ?? FAILED_RETRY_MS,
  },
  isFree: FREE_REASONS.has(refusal.reason),
  isFailure: refusal.reason === 'upstream_failed',
});

/** New dispatcher; its attempts bear growing sequence numbers. */
export const newDispatcher = (services: EntryServices): Dispatcher => {
  const { clock, attempts, members, router } = services;
  // Starts at the time of day, so that a later incarnation's numbers are beyond an earlier one's.
  let sequence = Math.floor(clock.wall()) * SEQUENCES_PER_MS;

  const newAttempt = ({ exchange, attemptsEndMs }: Delivery, member: Member): Attempt => {
    const maxTokens = exchange.json?.max_tokens ?? exchange.json?.max_completion_tokens;
    const secret = getCallerSecret(exchange.request.headers);
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
    { exchange }: Delivery,
    member: Member,
    attempt: Attempt,
  ): Promise<RunState> => {
    const limitMs = Math.min(MAX_SETTLE_MS, exchange.deadlineMs - clock.monotonic());
    if (exchange.signal.aborted || limitMs <= 0) return 'unknown';
    const { attempt: id, incarnation, sender, sequence: number } = attempt;
    const revocation = { attempt: id, incarnation, sender, sequence: number };
    const word = await new Promise<RevocationResult['state'] | undefined>((resolve) => {
      const timer = clock.after(limitMs, () => resolve(undefined));
      void services.revoke(member.address, revocation).then((state) => {
        timer.cancel();
        resolve(state);
      });
    });
    return word === 'not_sent' ? 'not_run' : 'unknown';
  };

  const takeStream = async (
    { stream, signal }: Delivery,
    answer: Answer,
  ): Promise<Result<undefined, Miss>> => {
    const end = await stream.relay(answer, signal);
    return end === 'ended' ? newOk(undefined) : newMiss('the stream was cut', 'unknown');
  };

  const takeAnswer = async (
    delivery: Delivery,
    member: Member,
    answer: Answer,
  ): Promise<Ending> => {
    const { exchange, stream } = delivery;
    if (answer.load !== undefined) members.updateLoad(member.vm, answer.load);
    recordQueueWait(exchange, answer, services);
    if (isStream(answer)) return takeStream(delivery, answer);
    const whole = await readWhole(exchange, answer);
    if (!whole.ok) return newMiss(whole.error.message, whole.error.run);
    if (stream.isStarted()) return newMiss('the stream could not be resumed', 'unknown');
    if (answer.status < STATUS_SERVER_ERROR) return whole;
    // An error answer does not tell whether the upstream did the work before it.
    return newMiss(`the upstream answered ${answer.status}`, 'unknown', { whole: whole.value });
  };

  const getEnding = async (
    delivery: Delivery,
    member: Member,
    attempt: Attempt,
    reply: AttemptReply,
  ): Promise<Ending> => {
    if (reply.kind === 'answer') return takeAnswer(delivery, member, reply);
    if (reply.kind === 'refusal') return newFailure(getRefusalMiss(reply.refusal));
    if (reply.kind === 'unreachable') return newMiss('the upstream was not reached', 'not_run');
    const run = await settleLost(delivery, member, attempt);
    return newMiss('the connection to the upstream was lost', run);
  };

  /** What an attempt says of the upstream; one that the caller or its deadline ended, nothing. */
  const getResult = ({ signal }: Delivery, ending: Ending): AttemptResult => {
    if (ending.ok) return ATTEMPT_RESULT.ok;
    const isFailure = ending.error.isFailure && !signal.aborted;
    return isFailure ? ATTEMPT_RESULT.failed : ATTEMPT_RESULT.refused;
  };

  const send: Dispatcher['send'] = async (delivery, member) => {
    const { exchange, stream, signal } = delivery;
    const attempt = newAttempt(delivery, member);
    const body = stream.isStarted() ? stream.getResumedBody() : exchange.body;
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
