/** Filter that forwards requests to upstreams. */
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

const NO_UPSTREAM_RETRY_AFTER_MS = 1000;
// The rest of the timeout after the attempts' deadline: it is for revoking a lost attempt and for
// the response.
const REVOCATION_RESERVE_FRACTION = 0.1;
const MAX_REVOCATION_RESERVE_MS = 500;

const NO_UPSTREAM: FailedAttempt = {
  error: newApiError('no_upstream', 'no upstream serves this request now', {
    retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS,
  }),
  isFreeRetry: true,
  isUpstreamFailure: false,
};

const getRoutingCriteria = (
  exchange: Exchange,
  dependencies: EntryDependencies,
  triedVms: ReadonlySet<string>,
): RoutingCriteria => ({
  group: exchange.route?.group ?? '',
  model: exchange.json?.model as string | undefined,
  failureDomain: dependencies.failureDomain,
  prefix: exchange.json === undefined ? undefined : getPromptPrefixHash(exchange.json),
  triedVms,
});

/** Forwards the request to an upstream, and retries at another one when that is safe. */
export const newForwardFilter = (dependencies: EntryDependencies): Filter => {
  const { clock } = dependencies;
  const dispatcher = newAttemptDispatcher(dependencies);
  const budgets = new Map<string, RetryBudget>();

  /** Retry budget of a group; each has its own, so that a failing group can't use up another's. */
  const getBudget = (group: string): RetryBudget => {
    const existing = budgets.get(group);
    if (existing !== undefined) return existing;
    const budget = newRetryBudget();
    budgets.set(group, budget);
    return budget;
  };

  const canRetry = (context: ForwardContext): boolean => {
    const { exchange, stream, signal } = context;
    const answered = stream.isStarted() && stream.getResumeRequestBody() === undefined;
    if (signal.aborted) return false;
    return isRetryable(
      { run: exchange.outcome.run, answered },
      {
        idempotent: isIdempotent(exchange),
        attempts: exchange.outcome.attempts,
        maxAttempts: exchange.settings['retries.max_attempts'],
        timeLeftMs: context.attemptsDeadlineMs - clock.monotonic(),
      },
    );
  };

  const makeAttempt = async (
    context: ForwardContext,
    member: Member,
    previousRun: RunState,
  ): Promise<AttemptOutcome> => {
    const { outcome } = context.exchange;
    outcome.attempts += 1;
    outcome.upstream = member.vm;
    // If the attempt throws, it is unknown whether it was run.
    outcome.run = getCombinedRunState(previousRun, 'unknown');
    const attemptOutcome = await dispatcher.send(context, member);
    outcome.run = attemptOutcome.ok
      ? 'ran'
      : getCombinedRunState(previousRun, attemptOutcome.error.error.run);
    return attemptOutcome;
  };

  const runAttempts = async (context: ForwardContext): Promise<AttemptOutcome> => {
    const { exchange } = context;
    const budget = getBudget(exchange.route?.group ?? '');
    const triedVms = new Set<string>();
    const criteria = getRoutingCriteria(exchange, dependencies, triedVms);
    let lastFailure = NO_UPSTREAM;
    let usesRetryBudget = false;
    budget.deposit(exchange.settings['retries.budget']);
    for (;;) {
      const member = dependencies.router.pick(dependencies.members.live(), criteria);
      if (member === undefined) return newFailure(lastFailure);
      if (usesRetryBudget && !budget.tryWithdraw(clock.monotonic())) return newFailure(lastFailure);
      triedVms.add(member.vm);
      const outcome = await makeAttempt(context, member, exchange.outcome.run);
      if (usesRetryBudget) budget.recordResult(outcome.ok, clock.monotonic());
      if (outcome.ok) return outcome;
      lastFailure = outcome.error;
      usesRetryBudget = !lastFailure.isFreeRetry;
      if (!canRetry(context)) return newFailure(lastFailure);
    }
  };

  /** Error of a request that is not retried; its run state covers all of the attempts. */
  const getFinalError = (
    { exchange, signal }: ForwardContext,
    failedAttempt: FailedAttempt,
  ): ApiError => {
    const { run } = exchange.outcome;
    if (exchange.signal.aborted) return newApiError('caller_gone', 'the caller is gone', { run });
    const hasTimedOut = signal.aborted;
    const error = hasTimedOut
      ? newApiError('deadline_exceeded', 'the time for the request is over', {
          retryAfterMs: failedAttempt.error.retryAfterMs,
        })
      : failedAttempt.error;
    // A retry-after would invite the caller to repeat a request that may have run.
    const canRepeat = run === 'not_run' || isIdempotent(exchange);
    return { ...error, run, retryAfterMs: canRepeat ? error.retryAfterMs : undefined };
  };

  const sendOutcome = async (
    context: ForwardContext,
    outcome: AttemptOutcome,
  ): Promise<Result<void, ApiError>> => {
    const { exchange, stream, signal } = context;
    if (outcome.ok) {
      if (outcome.value !== undefined) sendCompleteResponse(exchange, outcome.value);
      return newOk(undefined);
    }
    const { errorResponse } = outcome.error;
    if (errorResponse !== undefined && exchange.route?.kind === 'plain' && !signal.aborted) {
      sendCompleteResponse(exchange, errorResponse);
      return newOk(undefined);
    }
    const error = getFinalError(context, outcome.error);
    if (stream.isStarted()) await stream.fail(error);
    return newFailure(error);
  };

  const forward = async (exchange: Exchange): Promise<Result<void, ApiError>> => {
    const timeoutMs = exchange.settings['request.timeout'];
    const revocationReserveMs = Math.min(
      MAX_REVOCATION_RESERVE_MS,
      timeoutMs * REVOCATION_RESERVE_FRACTION,
    );
    const deadlineController = new AbortController();
    exchange.deadlineMs = exchange.startedMs + timeoutMs;
    const attemptsDeadlineMs = exchange.deadlineMs - revocationReserveMs;
    const timer = clock.after(Math.max(0, attemptsDeadlineMs - clock.monotonic()), () =>
      deadlineController.abort(),
    );
    const context: ForwardContext = {
      exchange,
      stream: newStreamRelay(exchange, dependencies),
      signal: AbortSignal.any([exchange.signal, deadlineController.signal]),
      attemptsDeadlineMs,
    };
    try {
      return await sendOutcome(context, await runAttempts(context));
    } finally {
      timer.cancel();
    }
  };

  return { name: 'forward', apply: forward };
};
