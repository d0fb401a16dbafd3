/** Serves one online request, trying upstreams in turn until one responds. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BODY_END, type Clock, type Logger, type Random } from '@anvilpaddle/common';
import {
  getIsolatedCandidates,
  getPlacement,
  isRetryable,
  PART_STATE,
  type AttemptOutcome,
  type Health,
  type LoadTracker,
  type Placement,
  type PromptAssessment,
  type PromptQuarantine,
  type RequestTiming,
  type RetryAfterSchedule,
  type ServiceTimes,
} from '@anvilpaddle/decisions';
import { newCallerResponse, type AttemptReport } from './callerResponse';
import type { RequestHead, CallerProtocol } from './callerProtocol';
import { QUARANTINE_REFUSAL, STATUS, type Refusal } from './refusal';
import type { CrashDetector } from './crashDetector';
import type { FleetView } from './fleetView';
import { openAttempt, type OnlineAttempt } from './onlineAttempt';
import { pickService } from './routeTable';
import type { GatewayMetrics } from './gatewayMetrics';
import type { ResponseEnd } from './responseEnd';
import { runWithSuccessor, type SuccessorSource } from './successorSearch';
import { ROUTE_KIND, type Route, type Upstream } from './types';

/** Number of upstreams that may reject a request unrun before the gateway refuses it. */
const MAX_REJECTIONS = 3;
/** Retry delay for a caller whose route has no service. */
const NO_SERVICE_RETRY_MS = 1000;

/** Dependencies of all online requests. */
export interface OnlineDependencies {
  readonly protocol: CallerProtocol;
  readonly view: FleetView;
  readonly upstreamLoads: LoadTracker;
  readonly health: Health;
  readonly serviceTimes: ServiceTimes;
  readonly crashDetector: CrashDetector;
  readonly quarantine: PromptQuarantine;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Pick<GatewayMetrics, 'countResponseEnd' | 'countSilence'>;
  readonly retrySchedule: RetryAfterSchedule;
  /** Number of gateways that may be running, including this one. */
  readonly getGatewayCount: () => number;
}

/** Caller's request with its body. */
export interface OnlineRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly team: string | undefined;
  readonly message: IncomingMessage;
  readonly body: Buffer;
  readonly response: ServerResponse;
  /** Monotonic time at which the head was received. */
  readonly startedMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Upstream that was chosen last, with the load on which the choice was based. */
interface PlacementChoice {
  readonly upstream: string;
  /** Online requests and batch items at the upstream. */
  readonly online: number;
  readonly batch: number;
  /** Expected wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** What was known of the prompt's parts, if any of them was suspect. */
  readonly assessment?: PromptAssessment;
}

/** How a request ended, for the log and the metrics. */
export interface OnlineOutcome extends Partial<PlacementChoice>, Partial<ResponseEnd> {
  readonly result: 'served' | 'refused' | 'failed' | 'left';
  readonly reason: string;
  readonly attempts: number;
  readonly firstByteMs: number | undefined;
  /** Time from the request's head to its end, in milliseconds. */
  readonly durationMs: number;
}

/** Why there is no whole response, for the caller and the log. */
const getLossReason = ({ responseEnd }: AttemptReport): string =>
  responseEnd?.bodyEnd === BODY_END.tooLarge ? 'the answer was too large' : 'the answer was lost';

interface SendStep {
  readonly kind: 'send';
  readonly upstream: Upstream;
  readonly choice: PlacementChoice;
}

type PlacementStep = SendStep | { readonly kind: 'refuse'; readonly queueMs: number };

/** Attempt under way, with the knowledge on which its upstream was chosen. */
interface OpenRequest {
  readonly attempt: OnlineAttempt;
  readonly assessment: PromptAssessment;
  readonly choice: PlacementChoice;
}

/** Serves a request and returns its outcome. */
export const serveOnlineRequest = async (
  request: OnlineRequest,
  dependencies: OnlineDependencies,
): Promise<OnlineOutcome> => {
  const { head, route, response, startedMs, signal } = request;
  const { protocol, view, upstreamLoads, quarantine, clock, random, log } = dependencies;
  const timeoutMs = Math.min(head.budgetMs ?? Infinity, route.timeoutMs);
  const getElapsedMs = (): number => clock.monotonic() - startedMs;
  const getTimeLeftMs = (): number => timeoutMs - getElapsedMs();
  const timeout = new AbortController();
  const timer = clock.after(Math.max(0, getTimeLeftMs()), () => timeout.abort());
  const abortSignal = AbortSignal.any([signal, timeout.signal]);
  const triedUpstreams = new Set<string>();
  let runCount = 0;
  let rejectionCount = 0;
  /** Whether an upstream may have run the request that was given up before it answered. */
  let mayHaveRun = false;
  let firstByteMs: number | undefined;
  let lastChoice: PlacementChoice | undefined;
  let lastResponseEnd: ResponseEnd | undefined;
  /** Attempt that has the request. */
  let current: OpenRequest | undefined;

  const callerResponse = newCallerResponse(head, route, response, protocol, () => {
    firstByteMs = getElapsedMs();
  });

  const finish = (result: OnlineOutcome['result'], reason: string): OnlineOutcome => {
    timer.cancel();
    const attempts = runCount + rejectionCount;
    const durationMs = getElapsedMs();
    return {
      result,
      reason,
      attempts,
      firstByteMs,
      durationMs,
      ...lastChoice,
      ...lastResponseEnd,
    };
  };

  const fail = (status: number, reason: string): OnlineOutcome => {
    callerResponse.refuse({ status, reason });
    return finish('failed', reason);
  };

  /** Refuses with a status that means "not run" only if no attempt may have run. */
  const refuse = (reason: string, retryAfterMs: number): OnlineOutcome => {
    if (runCount > 0 || mayHaveRun) return fail(STATUS.badGateway, reason);
    const refusal: Refusal = { status: STATUS.unavailable, reason, retryAfterMs };
    callerResponse.refuse(refusal);
    return finish('refused', reason);
  };

  /** Places the request; a suspect goes to the upstream of its part if that has room. */
  const place = (
    service: string,
    assessment: PromptAssessment,
    demand: RequestTiming,
  ): Placement => {
    const candidates = view.getCandidates(service, triedUpstreams);
    if (assessment.state === PART_STATE.suspect) {
      const isolated = getIsolatedCandidates(assessment.part, candidates);
      const placement = getPlacement(isolated, demand, random);
      if (placement.kind === 'send') return placement;
    }
    return getPlacement(candidates, demand, random);
  };

  /** Next place for the request; `isUnderWay` tells whether it may have run already. */
  const getNextStep = (
    service: string,
    assessment: PromptAssessment,
    isUnderWay: boolean,
  ): PlacementStep => {
    // A request that may have run already is worth finishing even if it is late.
    const objectiveLeftMs = isUnderWay
      ? route.latencyObjectiveMs
      : route.latencyObjectiveMs - getElapsedMs();
    const demand = { objectiveLeftMs, timeLeftMs: getTimeLeftMs() };
    const placement = place(service, assessment, demand);
    if (placement.kind === 'refuse') return placement;
    const upstream = view.getUpstream(placement.upstream);
    if (upstream === undefined) return { kind: 'refuse', queueMs: 0 };
    const load = upstreamLoads.getLoad(upstream.id, clock.monotonic());
    const choice = { upstream: upstream.id, ...load, waitMs: placement.waitMs };
    return { kind: 'send', upstream, choice };
  };

  const getRetryAfterMs = (service: string, queueMs: number): number => {
    const admissionIntervalMs = view.getAdmissionIntervalMs(
      service,
      1 / dependencies.getGatewayCount(),
    );
    return dependencies.retrySchedule.getRetryAfterMs(
      { queueMs, admissionIntervalMs },
      clock.monotonic(),
    );
  };

  const countAttempt = ({ run }: AttemptOutcome): void => {
    if (run === 'not_run') rejectionCount += 1;
    else runCount += 1;
  };

  const shouldRetry = (outcome: AttemptReport, assessment: PromptAssessment): boolean =>
    rejectionCount < MAX_REJECTIONS &&
    // The loss of a suspect without content may be its own doing.
    !(outcome.isLostWithoutContent === true && assessment.state === PART_STATE.suspect) &&
    isRetryable(outcome, {
      idempotent: callerResponse.canRetry(),
      attempts: runCount,
      maxAttempts: route.maxAttempts,
      timeLeftMs: getTimeLeftMs(),
    });

  const open = ({ upstream, choice }: SendStep, assessment: PromptAssessment): OpenRequest => {
    triedUpstreams.add(upstream.id);
    const isClear = assessment.state === PART_STATE.clear;
    const opened: OpenRequest = {
      attempt: openAttempt(
        request,
        {
          upstream,
          timeLeftMs: getTimeLeftMs(),
          expectedWaitMs: choice.waitMs,
          isLast: () =>
            current === opened && (runCount + 1 >= route.maxAttempts || !callerResponse.canRetry()),
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
    const hasAttemptLeft = callerResponse.canRetry() && runCount + 1 < route.maxAttempts;
    if (abortSignal.aborted || !hasAttemptLeft) return undefined;
    const assessment = quarantine.assess(head.promptParts, clock.monotonic());
    if (assessment.state === PART_STATE.quarantined) return undefined;
    const step = getNextStep(service, assessment, true);
    return step.kind === 'send' ? open(step, assessment) : undefined;
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
        rejectingIds.forEach((id) => triedUpstreams.delete(id));
        rejectingIds.clear();
      },
      open: () => {
        opened = rejectingIds.size < MAX_REJECTIONS ? openSuccessor(service) : undefined;
        return opened?.attempt;
      },
      onFailed: ({ upstream }, outcome) => {
        if (outcome.run === 'not_run') rejectingIds.add(upstream.id);
        else countAttempt(outcome);
      },
      canRunTwice: route.kind === ROUTE_KIND.repeatable,
      onUnused: () => {
        mayHaveRun = true;
      },
    };
    const { report, successor } = await runWithSuccessor(attempt, source, head.id, clock, log);
    countAttempt(report);
    if (successor === undefined) return { report, next: undefined };
    if (!report.answered && !abortSignal.aborted) return { report, next: opened };
    successor.abandon();
    return { report, next: undefined };
  };

  const service = pickService(route, random);
  if (service === undefined) return refuse('the route has no service', NO_SERVICE_RETRY_MS);
  for (;;) {
    if (current === undefined) {
      const assessment = quarantine.assess(head.promptParts, clock.monotonic());
      if (assessment.state === PART_STATE.quarantined) {
        const { reason, retryAfterMs } = QUARANTINE_REFUSAL;
        return refuse(reason, retryAfterMs);
      }
      const step = getNextStep(service, assessment, runCount > 0);
      if (step.kind === 'refuse') {
        return refuse('no upstream has room', getRetryAfterMs(service, step.queueMs));
      }
      current = open(step, assessment);
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
      ? refuse('the upstreams are full', getRetryAfterMs(service, 0))
      : fail(STATUS.badGateway, getLossReason(report));
  }
};
