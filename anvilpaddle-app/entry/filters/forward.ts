import { isRetryable, newRetryBudget, type Need } from '@anvilpaddle/decisions';
import { newFailure, newId, newOk, SERVICE_CLASS, type Result } from '@anvilpaddle/common';
import {
  newApiError,
  type ApiError,
  type Attempt,
  type Member,
  type Refusal,
} from '@anvilpaddle/protocol';
import { relayAnswer } from '../answer';
import type { EntryServices, Exchange, Filter } from '../exchange';
import { getUpstreamHeaders, getUpstreamPath } from '../upstreamHeaders';

const NO_UPSTREAM_RETRY_MS = 1000;

/** An attempt that gave the caller nothing. */
interface Miss {
  readonly error: ApiError;
  readonly answered: boolean;
}

const isIdempotent = (exchange: Exchange): boolean =>
  exchange.route?.kind === 'model' ||
  (exchange.route?.idempotentMethods.includes(exchange.request.method ?? '') ?? false);

const getNeed = (exchange: Exchange, services: EntryServices, tried: Set<string>): Need => ({
  group: exchange.route?.group ?? '',
  model: exchange.json?.model as string | undefined,
  failureDomain: services.failureDomain,
  tried,
});

const getRefusalError = (refusal: Refusal): ApiError => {
  const code = refusal.reason === 'deadline' ? 'deadline_exceeded' : 'overloaded';
  return {
    code: refusal.reason === 'upstream_failed' ? 'upstream_failed' : code,
    message: `the upstream's queue refused the request: ${refusal.reason}`,
    run: refusal.run,
    retryAfterMs: refusal.retryAfterMs,
  };
};

/** Sends the request to an upstream, and again elsewhere when that is safe. */
export const newForwardFilter = (services: EntryServices): Filter => {
  const { clock, attempts, members } = services;
  const budget = newRetryBudget(0.1);

  const newAttempt = (exchange: Exchange, member: Member): Attempt => {
    const maxTokens = exchange.json?.max_tokens ?? exchange.json?.max_completion_tokens;
    return {
      attempt: newId('att'),
      incarnation: member.incarnation,
      request: exchange.id,
      team: exchange.team ?? '',
      route: exchange.route?.name ?? '',
      serviceClass: SERVICE_CLASS.online,
      idempotent: isIdempotent(exchange),
      timeLeftMs: Math.max(1, exchange.deadlineMs - clock.monotonic()),
      method: exchange.request.method ?? 'GET',
      path: getUpstreamPath(exchange.url),
      model: exchange.json?.model as string | undefined,
      maxTokens: typeof maxTokens === 'number' ? maxTokens : undefined,
      headers: getUpstreamHeaders(exchange.request.headers),
    };
  };

  /** Asks the sidecar what became of an attempt whose connection was lost. */
  const settleLost = async (member: Member, attempt: Attempt): Promise<ApiError> => {
    const revoked = await services.revoke(member.address, {
      attempt: attempt.attempt,
      incarnation: attempt.incarnation,
    });
    const run = revoked === 'not_sent' ? 'not_run' : 'unknown';
    return newApiError('upstream_failed', 'the connection to the upstream was lost', { run });
  };

  const tryOnce = async (exchange: Exchange, member: Member): Promise<Result<void, Miss>> => {
    const attempt = newAttempt(exchange, member);
    const reply = await attempts.send(member, attempt, exchange.body, exchange.signal);
    switch (reply.kind) {
      case 'answer': {
        if (reply.load !== undefined) members.hearLoad(member.vm, reply.load);
        const relayed = await relayAnswer(exchange, reply, services);
        if (relayed.ok) return newOk(undefined);
        return newFailure({ error: relayed.error, answered: exchange.response.headersSent });
      }
      case 'refusal':
        return newFailure({ error: getRefusalError(reply.refusal), answered: false });
      case 'unreachable':
        return newFailure({
          error: newApiError('upstream_failed', 'the upstream could not be reached'),
          answered: false,
        });
      default:
        return newFailure({ error: await settleLost(member, attempt), answered: false });
    }
  };

  const run = async (exchange: Exchange): Promise<Result<void, ApiError>> => {
    const tried = new Set<string>();
    let error = newApiError('no_upstream', 'no upstream serves this request now', {
      retryAfterMs: NO_UPSTREAM_RETRY_MS,
    });
    budget.earn();
    for (;;) {
      const member = services.router.pick(members.live(), getNeed(exchange, services, tried));
      if (member === undefined) return newFailure(error);
      tried.add(member.vm);
      exchange.outcome.attempts += 1;
      exchange.outcome.upstream = member.vm;
      const result = await tryOnce(exchange, member);
      if (result.ok) return result;
      error = result.error.error;
      exchange.outcome.run = error.run;
      const again = isRetryable(
        { run: error.run, answered: result.error.answered },
        {
          idempotent: isIdempotent(exchange),
          attempts: exchange.outcome.attempts,
          maxAttempts: exchange.settings['retries.max_attempts'],
          timeLeftMs: exchange.deadlineMs - clock.monotonic(),
        },
      );
      if (!again || exchange.signal.aborted || !budget.spend()) return newFailure(error);
    }
  };

  return { name: 'forward', apply: run };
};
