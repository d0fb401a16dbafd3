/** Serves one online request, trying upstreams in turn until one responds. */
import { BODY_END } from '@anvilpaddle/common';
import {
  isRetryable,
  newAttemptBudget,
  PART_STATE,
  type AttemptOutcome,
  type InputAssessment,
  type QuarantineAssessment,
  type TeamShare,
} from '@anvilpaddle/decisions';
import { newCallerResponse, type AttemptReport } from '../callerResponse';
import { CLOSURE, type Closure } from '../fleetView';
import { getQuarantineRefusal, STATUS, type Refusal } from '../refusal';
import { isOutOfMemory, type ResponseEnd } from '../responseEnd';
import { pickService } from '../routeTable';
import { ROUTE_KIND, type Upstream } from '../types';
import { SEND_REASON, type SendReason } from '../upstreamClient';
import { getHedgingKind, openAttempt, type OnlineAttempt } from './onlineAttempt';
import { newRequestPlacement, REJECTED, type RefuseStep, type SendStep } from './requestPlacement';
import { runWithSuccessor, type SuccessorSource } from './successorSearch';
import { HEDGE_END } from './types';
import type { OnlineDependencies, OnlineOutcome, OnlineRequest, PlacementChoice } from './types';

/** Number of upstreams that may reject a request unrun before the gateway refuses it. */
const MAX_REJECTIONS = 3;
/** Reason of a refusal where each upstream has a limit that allows no request now. */
const LIMITS_REACHED = 'the upstreams have reached their limits';
/** Reason of a refusal where the team of the request holds more slots than its share. */
const OVER_SHARE = 'the team is over its share';
/** Retry delay for a caller whose route has no service. */
const NO_SERVICE_RETRY_MS = 1000;

/** Refusals of requests to a service whose upstreams may get none, whatever room they have. */
const CLOSURE_REFUSALS: Readonly<Record<Closure, Required<Omit<Refusal, 'status'>>>> = {
  // When the evacuation ends is unknown; callers don't heed a longer time.
  [CLOSURE.evacuated]: { reason: 'the upstreams are evacuated', retryAfterMs: 1500 },
  // The next read of the store tells.
  [CLOSURE.unknown]: { reason: 'the evacuations are not known yet', retryAfterMs: 300 },
};

/** Why there is no whole response, for the caller and the log. */
const getLossReason = ({ responseEnd }: AttemptReport): string => {
  if (responseEnd?.waitedForCaller === true) return 'the caller reads too slowly';
  switch (responseEnd?.bodyEnd) {
    case BODY_END.tooLarge:
      return 'the answer was too large';
    case BODY_END.foreign:
      return 'the answer had foreign bytes';
    case BODY_END.noMemory:
      return 'the gateway has no memory for the answer';
    default:
      return 'the answer was lost';
  }
};

/** Why no upstream gets a request. */
const getShortageReason = ({ limitWaitMs, isOverShare }: RefuseStep): string => {
  if (isOverShare === true) return OVER_SHARE;
  return limitWaitMs === undefined ? 'no upstream has room' : LIMITS_REACHED;
};

/** Attempt under way, with the knowledge on which its upstream was chosen. */
interface OpenRequest {
  readonly attempt: OnlineAttempt;
  readonly assessment: InputAssessment;
  readonly choice: PlacementChoice;
}

/** Serves a request and returns its outcome. */
export const serveOnlineRequest = async (
  request: OnlineRequest,
  dependencies: OnlineDependencies,
): Promise<OnlineOutcome> => {
  const { head, digest, route, team, priority, response, startedMs, signal } = request;
  const { protocol, view, quarantine, byteBudget, hedging, metrics, clock, random, log } =
    dependencies;
  const timeoutMs = Math.min(head.budgetMs ?? Infinity, route.timeoutMs);
  const getElapsedMs = (): number => clock.monotonic() - startedMs;
  const getTimeLeftMs = (): number => timeoutMs - getElapsedMs();
  const timeout = new AbortController();
  const timer = clock.after(Math.max(0, getTimeLeftMs()), () => timeout.abort());
  const abortSignal = AbortSignal.any([signal, timeout.signal]);
  const budget = newAttemptBudget(route.maxAttempts);
  let attemptCount = 0;
  let rejectionCount = 0;
  let firstByteMs: number | undefined;
  let lastChoice: PlacementChoice | undefined;
  let lastShare: TeamShare | undefined;
  let lastResponseEnd: ResponseEnd | undefined;
  /** Attempt that has the request. */
  let current: OpenRequest | undefined;
  /** Attempt that runs beside the current one because that is slow. */
  let hedge: OpenRequest | undefined;

  const { getNextStep, getHedgeStep, getRetryAfterMs } = newRequestPlacement(
    { route, team, priority, getElapsedMs, getTimeLeftMs, budget },
    dependencies,
  );
  const callerResponse = newCallerResponse(head, route, response, protocol, byteBudget, () => {
    firstByteMs = getElapsedMs();
  });

  const finish = (result: OnlineOutcome['result'], reason: string): OnlineOutcome => {
    timer.cancel();
    const durationMs = getElapsedMs();
    return {
      result,
      reason,
      attempts: attemptCount,
      firstByteMs,
      durationMs,
      ...lastChoice,
      ...lastResponseEnd,
      ...lastShare,
    };
  };

  const fail = (status: number, reason: string): OnlineOutcome => {
    callerResponse.refuse({ status, reason });
    return finish('failed', reason);
  };

  /** Refuses with a status that means "not run" only if no attempt may have run. */
  const refuse = (reason: string, retryAfterMs: number): OnlineOutcome => {
    if (budget.mayHaveRun()) return fail(STATUS.badGateway, reason);
    const refusal: Refusal = { status: STATUS.unavailable, reason, retryAfterMs };
    callerResponse.refuse(refusal);
    return finish('refused', reason);
  };

  const countOutcome = (upstream: Upstream, { run }: AttemptOutcome): void => {
    if (run === 'not_run') budget.reject(upstream.id);
  };

  /** Whether another upstream may get the request, if it may be repeated. */
  const hasAttemptLeft = (): boolean => budget.countUsed() < route.maxAttempts;

  const shouldRetry = (outcome: AttemptReport, assessment: InputAssessment): boolean =>
    rejectionCount < MAX_REJECTIONS &&
    // Another upstream's response would need as much memory.
    !isOutOfMemory(outcome.responseEnd) &&
    // The loss of a suspect may be its own doing.
    !(
      assessment.state !== PART_STATE.clear &&
      outcome.suspectedParts?.includes(assessment.part) === true
    ) &&
    isRetryable(outcome, {
      idempotent: callerResponse.canRetry(),
      attempts: budget.countUsed(),
      maxAttempts: route.maxAttempts,
      timeLeftMs: getTimeLeftMs(),
    });

  const assess = (): InputAssessment =>
    quarantine.assess({ promptParts: head.promptParts, digest }, clock.monotonic());

  const refuseFor = (service: string, step: RefuseStep): OnlineOutcome => {
    const closure = view.getClosure(service);
    if (closure !== undefined) {
      const { reason, retryAfterMs } = CLOSURE_REFUSALS[closure];
      return refuse(reason, retryAfterMs);
    }
    if (step.isOverShare === true && team !== undefined) metrics.countShareRefusal(team);
    return refuse(getShortageReason(step), getRetryAfterMs(service, step));
  };

  /** Takes a trial of quarantined input, if an upstream has a free slot for it. */
  const takeTrial = async (
    assessment: QuarantineAssessment,
    { choice }: SendStep,
  ): Promise<boolean> =>
    budget.isUnused() &&
    choice.waitMs === 0 &&
    quarantine.trials.isDue(assessment) &&
    (await quarantine.trials.take(assessment.part)) &&
    !abortSignal.aborted;

  const open = (
    { upstream, choice }: SendStep,
    assessment: InputAssessment,
    reason: SendReason,
  ): OpenRequest => {
    budget.begin(upstream.id);
    attemptCount += 1;
    const isClear = assessment.state === PART_STATE.clear;
    const opened: OpenRequest = {
      attempt: openAttempt(
        request,
        {
          upstream,
          reason,
          timeLeftMs: getTimeLeftMs(),
          expectedWaitMs: choice.waitMs,
          isLast: () =>
            current === opened &&
            hedge === undefined &&
            (!hasAttemptLeft() || !callerResponse.canRetry()),
        },
        callerResponse,
        abortSignal,
        dependencies,
      ),
      assessment,
      choice: isClear ? choice : { ...choice, assessment },
    };
    return opened;
  };

  /** Sends the request to another upstream than those that were tried, if one has room. */
  const openSuccessor = (service: string): OpenRequest | undefined => {
    if (abortSignal.aborted || !callerResponse.canRetry() || !hasAttemptLeft()) return undefined;
    const assessment = assess();
    if (assessment.state === PART_STATE.quarantined) return undefined;
    const step = getNextStep(service, assessment);
    return step.kind === 'send' ? open(step, assessment, SEND_REASON.retry) : undefined;
  };

  /** Age at which the first attempt is hedged, if its request may be repeated. */
  const getHedgeDelayMs = (attempt: OnlineAttempt): number | undefined => {
    if (attemptCount > 1 || !callerResponse.canRetry()) return undefined;
    hedging.recordRequest();
    const kind = getHedgingKind(route, attempt.upstream.service);
    return hedging.getDelayMs(kind, clock.monotonic());
  };

  /** Sends the request to a second upstream, if one has room to spare and the budget allows it. */
  const openHedge = (service: string): OpenRequest | undefined => {
    if (abortSignal.aborted || !callerResponse.canRetry() || !hasAttemptLeft()) return undefined;
    const assessment = assess();
    if (assessment.state !== PART_STATE.clear) return undefined;
    const step = getHedgeStep(service);
    if (step === undefined || !hedging.tryTake()) return undefined;
    return open(step, assessment, SEND_REASON.hedge);
  };

  /** Runs an attempt; resolves with its report and the one that goes on after it, if any. */
  const run = async (
    { attempt }: OpenRequest,
    service: string,
  ): Promise<{ readonly report: AttemptReport; readonly next: OpenRequest | undefined }> => {
    let opened: OpenRequest | undefined;
    /** Upstreams that have rejected the request in this round of the search. */
    const rejectingIds = new Set<string>();
    const source: SuccessorSource = {
      startRound: () => {
        budget.readmit(rejectingIds);
        rejectingIds.clear();
      },
      open: () => {
        opened = rejectingIds.size < MAX_REJECTIONS ? openSuccessor(service) : undefined;
        return opened?.attempt;
      },
      onFailed: ({ upstream }, outcome) => {
        countOutcome(upstream, outcome);
        if (outcome.run === 'not_run') rejectingIds.add(upstream.id);
      },
      canRunTwice: route.kind === ROUTE_KIND.repeatable,
      onUnused: ({ upstream }) => budget.giveUp(upstream.id),
      hedgeDelayMs: getHedgeDelayMs(attempt),
      openHedge: () => {
        hedge = openHedge(service);
        opened = hedge;
        return hedge?.attempt;
      },
      onHedgeEnded: (end, ageMs) => {
        hedge = undefined;
        metrics.countHedge(end);
        // The first attempt took at least as long.
        if (end !== HEDGE_END.won) return;
        hedging.learn(getHedgingKind(route, attempt.upstream.service), ageMs, clock.monotonic());
      },
    };
    const { report, successor } = await runWithSuccessor(attempt, source, head.id, clock, log);
    countOutcome(attempt.upstream, report);
    if (report.run === 'not_run') rejectionCount += 1;
    if (successor === undefined) return { report, next: undefined };
    if (!report.answered && !abortSignal.aborted) return { report, next: opened };
    successor.abandon();
    return { report, next: undefined };
  };

  const service = pickService(route, random);
  if (service === undefined) return refuse('the route has no service', NO_SERVICE_RETRY_MS);
  for (;;) {
    if (current === undefined) {
      const assessment = assess();
      let step = getNextStep(service, assessment);
      lastShare = step.share;
      if (step.kind === 'refuse') return refuseFor(service, step);
      if (assessment.state === PART_STATE.quarantined) {
        if (!(await takeTrial(assessment, step))) {
          const { reason, retryAfterMs } = getQuarantineRefusal(assessment);
          return refuse(reason, retryAfterMs);
        }
        // The trial was taken at the store, and the upstreams may have changed meanwhile.
        step = getNextStep(service, assessment);
        if (step.kind === 'refuse') return refuseFor(service, step);
      }
      const reason = budget.isUnused() ? SEND_REASON.request : SEND_REASON.retry;
      current = open(step, assessment, reason);
    }
    const { assessment, choice } = current;
    lastChoice = choice;
    const { report, next } = await run(current, service);
    lastResponseEnd = report.responseEnd;
    if (report.answered) return finish('served', 'answered');
    if (signal.aborted) return finish('left', 'the caller has left');
    if (timeout.signal.aborted) return fail(STATUS.timeout, 'the time for the answer is up');
    current = next;
    if (next !== undefined || shouldRetry(report, assessment)) continue;
    return report.run === 'not_run'
      ? refuse('the upstreams are full', getRetryAfterMs(service, REJECTED))
      : fail(STATUS.badGateway, getLossReason(report));
  }
};
