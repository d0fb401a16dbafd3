import {
  getCombinedRunState,
  getPromptPrefixHash,
  isRetryable,
  newRetryBudget,
  type RoutingCriteria,
  type RetryBudget,
} from '@anvilpaddle/decisions';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError, type Member, type RunState } from '@anvilpaddle/protocol';
import { sendCompleteResponse } from '../upstreamResponse';
import {
  isIdempotent,
  newAttemptDispatcher,
  type ForwardContext,
  type AttemptOutcome,
  type FailedAttempt,
} from '../attemptDispatcher';
import type { EntryDependencies, Exchange, Filter } from '../types';
import { newStreamRelay } from '../streamRelay';

const NO_UPSTREAM_RETRY_MS = 1000;
const SETTLE_SHARE = 0.1;
const MAX_SETTLE_MS = 500;

const NO_UPSTREAM: FailedAttempt = {
  error: newApiError('no_upstream', 'no upstream serves this request now', {
    retryAfterMs: NO_UPSTREAM_RETRY_MS,
  }),
  isFreeRetry: true,
  isUpstreamFailure: false,
};

const getNeed = (
  exchange: Exchange,
  services: EntryDependencies,
  tried: ReadonlySet<string>,
): RoutingCriteria => ({
  group: exchange.route?.group ?? '',
  model: exchange.json?.model as string | undefined,
  failureDomain: services.failureDomain,
  prefix: exchange.json === undefined ? undefined : getPromptPrefixHash(exchange.json),
  triedVms: tried,
});

/** Sends the request to an upstream, and again elsewhere when that is safe. */
export const newForwardFilter = (services: EntryDependencies): Filter => {
  const { clock } = services;
  const dispatcher = newAttemptDispatcher(services);
  const budgets = new Map<string, RetryBudget>();

  /** A group that fails must not spend the retries of another. */
  const getBudget = (group: string): RetryBudget => {
    const known = budgets.get(group);
    if (known !== undefined) return known;
    const budget = newRetryBudget();
    budgets.set(group, budget);
    return budget;
  };

  const isAgain = (delivery: ForwardContext): boolean => {
    const { exchange, stream, signal } = delivery;
    const answered = stream.isStarted() && stream.getResumeRequestBody() === undefined;
    if (signal.aborted) return false;
    return isRetryable(
      { run: exchange.outcome.run, answered },
      {
        idempotent: isIdempotent(exchange),
        attempts: exchange.outcome.attempts,
        maxAttempts: exchange.settings['retries.max_attempts'],
        timeLeftMs: delivery.attemptsDeadlineMs - clock.monotonic(),
      },
    );
  };

  const attempt = async (
    delivery: ForwardContext,
    member: Member,
    before: RunState,
  ): Promise<AttemptOutcome> => {
    const { outcome } = delivery.exchange;
    outcome.attempts += 1;
    outcome.upstream = member.vm;
    // Should the attempt throw, nobody knows what became of it.
    outcome.run = getCombinedRunState(before, 'unknown');
    const ending = await dispatcher.send(delivery, member);
    outcome.run = ending.ok ? 'ran' : getCombinedRunState(before, ending.error.error.run);
    return ending;
  };

  const runAttempts = async (delivery: ForwardContext): Promise<AttemptOutcome> => {
    const { exchange } = delivery;
    const budget = getBudget(exchange.route?.group ?? '');
    const tried = new Set<string>();
    const need = getNeed(exchange, services, tried);
    let miss = NO_UPSTREAM;
    let isPaid = false;
    budget.deposit(exchange.settings['retries.budget']);
    for (;;) {
      const member = services.router.pick(services.members.live(), need);
      if (member === undefined) return newFailure(miss);
      if (isPaid && !budget.tryWithdraw(clock.monotonic())) return newFailure(miss);
      tried.add(member.vm);
      const ending = await attempt(delivery, member, exchange.outcome.run);
      if (isPaid) budget.recordResult(ending.ok, clock.monotonic());
      if (ending.ok) return ending;
      miss = ending.error;
      isPaid = !miss.isFreeRetry;
      if (!isAgain(delivery)) return newFailure(miss);
    }
  };

  /** Error of a request that is given up, true of all its attempts together. */
  const getFinalError = ({ exchange, signal }: ForwardContext, miss: FailedAttempt): ApiError => {
    const { run } = exchange.outcome;
    if (exchange.signal.aborted) return newApiError('caller_gone', 'the caller is gone', { run });
    const isLate = signal.aborted;
    const error = isLate
      ? newApiError('deadline_exceeded', 'the time for the request is over', {
          retryAfterMs: miss.error.retryAfterMs,
        })
      : miss.error;
    // A time to come back would invite a repetition of what may have run.
    const isRepeatable = run === 'not_run' || isIdempotent(exchange);
    return { ...error, run, retryAfterMs: isRepeatable ? error.retryAfterMs : undefined };
  };

  const conclude = async (
    delivery: ForwardContext,
    ending: AttemptOutcome,
  ): Promise<Result<void, ApiError>> => {
    const { exchange, stream, signal } = delivery;
    if (ending.ok) {
      if (ending.value !== undefined) sendCompleteResponse(exchange, ending.value);
      return newOk(undefined);
    }
    const { errorResponse: whole } = ending.error;
    if (whole !== undefined && exchange.route?.kind === 'plain' && !signal.aborted) {
      sendCompleteResponse(exchange, whole);
      return newOk(undefined);
    }
    const error = getFinalError(delivery, ending.error);
    if (stream.isStarted()) await stream.fail(error);
    return newFailure(error);
  };

  const run = async (exchange: Exchange): Promise<Result<void, ApiError>> => {
    const timeoutMs = exchange.settings['request.timeout'];
    const settleMs = Math.min(MAX_SETTLE_MS, timeoutMs * SETTLE_SHARE);
    const lateness = new AbortController();
    exchange.deadlineMs = exchange.startedMs + timeoutMs;
    const attemptsEndMs = exchange.deadlineMs - settleMs;
    const timer = clock.after(Math.max(0, attemptsEndMs - clock.monotonic()), () =>
      lateness.abort(),
    );
    const delivery: ForwardContext = {
      exchange,
      stream: newStreamRelay(exchange, services),
      signal: AbortSignal.any([exchange.signal, lateness.signal]),
      attemptsDeadlineMs: attemptsEndMs,
    };
    try {
      return await conclude(delivery, await runAttempts(delivery));
    } finally {
      timer.cancel();
    }
  };

  return { name: 'forward', apply: run };
};
