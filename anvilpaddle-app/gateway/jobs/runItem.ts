/** Runs a batch item at one upstream, resuming where the item's previous run stopped. */
import {
  ForeignBytesError,
  HELD_FOR,
  NoMemoryForResponseError,
  ResponseTooLargeError,
  SERVICE_CLASS,
  type ByteBudget,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import {
  getTotalLoad,
  type Health,
  type InputQuarantine,
  type LoadTracker,
} from '@anvilpaddle/decisions';
import type { CallerProtocol } from '../callerProtocol';
import { readInBulk } from '../bulkReader';
import { newEventSequence, parseEventId, type StreamEvent } from '../eventSequence';
import { newEventSplitter } from '../eventSplitter';
import type { CrashDetector } from '../crashDetector';
import type { FleetView } from '../fleetView';
import type { GatewayMetrics } from '../gatewayMetrics';
import {
  getStreamEnd,
  isForeign,
  isOutOfMemory,
  isResponseComplete,
  type ResponseEnd,
} from '../responseEnd';
import type { Upstream } from '../types';
import { MAX_EVENT_BYTES, MAX_RUN_BYTES } from '../upstreamCall';
import { SEND_REASON, type UpstreamClient } from '../upstreamClient';
import type { JobItem } from './types';

/** Status with which an upstream says that an item can never succeed. */
const UNPROCESSABLE = 422;
const SERVER_ERROR = 500;
/** Time without a whole event after which the item is also tried elsewhere; the run goes on. */
const SILENCE_MS = 4000;
/** Time without a whole event after which the run is given up even if no other run has gone on. */
const MAX_SILENCE_MS = 10_000;
/** Reason for aborting a run: another run of the item has gone on with it. */
export const SUPERSEDED = Symbol('superseded');

/** Output of an item so far, over all of its runs. */
export interface ItemProgress {
  /** Data of each event received, in order. */
  readonly texts: string[];
  /** Number of events received. */
  events: number;
  /** Total duration of the runs so far, in milliseconds. */
  runMs: number;
  /** Id of the last event received, after which the next run resumes. */
  lastEventId: string | undefined;
}

/** Why a run ended early. */
export const BREAK_CAUSE = {
  /** The item was not sent. */
  notSent: 'notSent',
  /** The connection was lost before a response; the item may have run. */
  lost: 'lost',
  /** The response, or a part of it, is not an upstream's to the item. */
  foreign: 'foreign',
  /** The response says that the upstream works, but it is not the item's output. */
  status: 'status',
  /** The stream ended before its last event. */
  cut: 'cut',
  /** The gateway broke the stream off, for want of memory. */
  noMemory: 'noMemory',
} as const;
/** One of the causes. */
export type BreakCause = (typeof BREAK_CAUSE)[keyof typeof BREAK_CAUSE];

/** Outcome of a run. */
export type RunOutcome =
  | { readonly kind: 'done' }
  /** The upstream says that the item can never succeed. */
  | { readonly kind: 'impossible' }
  /** The upstream ran the item and failed; counts towards the item's attempts. */
  | { readonly kind: 'failed'; readonly detail: string }
  /** The run ended early, for example by a lost connection; another run resumes the item. */
  | {
      readonly kind: 'broken';
      readonly detail: string;
      readonly cause: BreakCause;
      /** How the body of the response ended, if it was read. */
      readonly responseEnd?: ResponseEnd;
    };

/** Callbacks of a run. */
export interface RunObserver {
  /** The upstream has fallen silent; it may go on. */
  onSilence(): void;
  /** The upstream has sent a part of its answer, which may complete an event. */
  onData(completesEvent: boolean): void;
}

const NO_OBSERVER: RunObserver = { onSilence: () => undefined, onData: () => undefined };

/** Dependencies of a run. */
export interface RunItemDependencies {
  readonly protocol: CallerProtocol;
  readonly view: FleetView;
  readonly upstreamClient: UpstreamClient;
  readonly upstreamLoads: LoadTracker;
  readonly health: Health;
  readonly crashDetector: CrashDetector;
  readonly quarantine: InputQuarantine;
  readonly byteBudget: ByteBudget;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<GatewayMetrics, 'countResponseEnd'>;
}

/** Why a run with an incomplete stream broke. */
const getBreakCause = (responseEnd: ResponseEnd): BreakCause => {
  if (isOutOfMemory(responseEnd)) return BREAK_CAUSE.noMemory;
  return isForeign(responseEnd) ? BREAK_CAUSE.foreign : BREAK_CAUSE.cut;
};

/** Runs an item until it is done, fails, breaks or is aborted; updates `progress` as events arrive. */
export const runItem = async (
  item: JobItem,
  target: { readonly upstream: Upstream; readonly host: string; readonly team: string },
  progress: ItemProgress,
  signal: AbortSignal,
  dependencies: RunItemDependencies,
  observer = NO_OBSERVER,
): Promise<RunOutcome> => {
  const { protocol, view, upstreamLoads, health, crashDetector, quarantine } = dependencies;
  const { upstreamClient, byteBudget, clock, metrics } = dependencies;
  const { upstream, host, team } = target;
  const reason = progress.runMs === 0 ? SEND_REASON.item : SEND_REASON.resumption;
  const promptParts = protocol.getItemPromptParts(item);
  const silenceTimeout = new AbortController();
  const startTimers = () => [
    clock.after(SILENCE_MS, () => observer.onSilence()),
    clock.after(MAX_SILENCE_MS, () => silenceTimeout.abort()),
  ];
  let timers = startTimers();
  const cancelTimers = (): void => timers.forEach((timer) => timer.cancel());
  const restartTimers = (): void => {
    cancelTimers();
    timers = startTimers();
  };
  const abortSignal = AbortSignal.any([signal, silenceTimeout.signal]);

  /** Adds events to the progress, without those that another run has already received. */
  const addEvents = (events: readonly StreamEvent[]): void => {
    const lastId = parseEventId(progress.lastEventId) ?? 0;
    events
      .filter(({ id }) => id > lastId)
      .forEach(({ id, data }) => {
        progress.texts.push(data);
        progress.events += 1;
        progress.lastEventId = String(id);
      });
  };

  const run = async (): Promise<RunOutcome> => {
    const resumeAfterId = progress.lastEventId;
    const callResult = await upstreamClient.send(
      upstream,
      {
        method: 'POST',
        path: item.path,
        headers: protocol.getUpstreamHeaders(protocol.getItemHeaders(item, host), {
          upstreamId: upstream.id,
          team: team === '' ? undefined : team,
          timeLeftMs: undefined,
          resumeAfterId,
          bodyBytes: item.body.length,
        }),
        body: item.body,
        isBulk: true,
      },
      reason,
      abortSignal,
    );
    if (callResult.kind === 'not_sent' && callResult.isRefused) {
      crashDetector.reportRefused(upstream);
    }
    if (callResult.kind !== 'answered') {
      const cause = callResult.kind === 'lost' ? BREAK_CAUSE.lost : BREAK_CAUSE.notSent;
      return { kind: 'broken', detail: callResult.detail, cause };
    }
    const { message } = callResult;
    const status = message.statusCode ?? 0;
    if (protocol.isMisdirected(status)) view.reportReplaced(upstream);
    const headFault = protocol.getResponseFault(status, message.headers, item.id);
    if (headFault !== undefined) {
      message.destroy();
      return { kind: 'broken', detail: headFault, cause: BREAK_CAUSE.foreign };
    }
    if (status !== 200) {
      message.destroy();
      if (status === UNPROCESSABLE) return { kind: 'impossible' };
      const detail = `status ${status}`;
      return status === SERVER_ERROR
        ? { kind: 'failed', detail }
        : { kind: 'broken', detail, cause: BREAK_CAUSE.status };
    }
    const splitter = newEventSplitter();
    const sequence = newEventSequence(resumeAfterId);
    const holder = byteBudget.newHolder(HELD_FOR.response);
    let runBytes = 0;
    const bodyEnd = await readInBulk(
      message,
      (chunk) => {
        // The output goes on with the events of the run that superseded this one.
        if (signal.reason === SUPERSEDED) return;
        runBytes += chunk.length;
        const isTooLarge = splitter.getPendingBytes() > MAX_EVENT_BYTES || splitter.isWasteful();
        if (runBytes > MAX_RUN_BYTES || isTooLarge) {
          message.destroy(new ResponseTooLargeError());
          return;
        }
        if (!holder.hold(runBytes + splitter.getCapacity())) {
          message.destroy(new NoMemoryForResponseError());
          return;
        }
        const { events, fault } = sequence.take(splitter.feed(chunk));
        if (fault !== undefined) message.destroy(new ForeignBytesError(fault));
        if (events.length > 0) restartTimers();
        if (events.length > 0 || fault === undefined) observer.onData(events.length > 0);
        addEvents(events);
      },
      abortSignal,
      clock,
    );
    holder.release();
    const responseEnd = getStreamEnd(message, bodyEnd, splitter, progress.events > 0);
    if (!signal.aborted) metrics.countResponseEnd(responseEnd);
    if (!isResponseComplete(responseEnd)) {
      const detail = isForeign(responseEnd) ? 'foreign bytes' : 'the stream was cut';
      return { kind: 'broken', detail, cause: getBreakCause(responseEnd), responseEnd };
    }
    return { kind: 'done' };
  };

  const startedMs = clock.monotonic();
  upstreamLoads.begin(upstream.id, SERVICE_CLASS.batch);
  const concurrency = getTotalLoad(upstreamLoads.getLoad(upstream.id, startedMs));
  try {
    const outcome = await run();
    const runMs = clock.monotonic() - startedMs;
    if (outcome.kind === 'done') {
      quarantine.parts.recordSurvival(promptParts, runMs, clock.monotonic());
    }
    // A status shows that the upstream responds; an end by this gateway says nothing about the upstream.
    const isUpstreamFailure =
      outcome.kind === 'broken' &&
      !signal.aborted &&
      outcome.cause !== BREAK_CAUSE.status &&
      outcome.cause !== BREAK_CAUSE.noMemory;
    if (isUpstreamFailure) {
      if (outcome.cause === BREAK_CAUSE.lost || outcome.cause === BREAK_CAUSE.cut) {
        crashDetector.reportLost(upstream, {
          id: item.id,
          promptParts,
          digest: undefined,
          runMs,
          concurrency,
          hasOutlivedStart: false,
        });
      }
      const nowMs = clock.monotonic();
      health.record(upstream.id, 'failed', nowMs - startedMs, nowMs);
    }
    return outcome;
  } finally {
    progress.runMs += clock.monotonic() - startedMs;
    cancelTimers();
    upstreamLoads.end(upstream.id, SERVICE_CLASS.batch);
  }
};
