/** One run of a batch item at one upstream, from where the last one stopped. */
import { SERVICE_CLASS, type Clock, type Logger } from '@anvilpaddle/common';
import type { Health, LoadTracker } from '@anvilpaddle/decisions';
import type { CallerProtocol } from '../callerProtocol';
import { readInBulk } from '../bulkReader';
import {
  getEventData,
  splitEvents,
  getLastEventId,
  isEventAfter,
  newEventSplitter,
} from '../eventSplitter';
import type { FleetView } from '../fleetView';
import type { Upstream } from '../types';
import { callUpstream } from '../upstreamCall';
import type { JobItem } from './types';

/** Status of an item that can never be done. */
const IMPOSSIBLE = 422;
const SERVER_ERROR = 500;
/** Silence of an upstream after which a run goes on elsewhere. */
const SILENCE_MS = 2500;

/** Output of an item so far. */
export interface ItemProgress {
  readonly texts: string[];
  /** Events in the texts. */
  events: number;
  /** Time for which it has run so far, in milliseconds. */
  runMs: number;
  /** Id of the last event that is in the texts. */
  lastEventId: string | undefined;
}

/** How a run ended. */
export type RunOutcome =
  | { readonly kind: 'done' }
  /** The item can never be done. */
  | { readonly kind: 'impossible' }
  /** The upstream ran it and failed. */
  | { readonly kind: 'failed'; readonly detail: string }
  /** It did not come to an end; another run goes on. */
  | { readonly kind: 'broken'; readonly detail: string };

/** What a run uses. */
export interface RunItemDependencies {
  readonly protocol: CallerProtocol;
  readonly view: FleetView;
  readonly upstreamLoads: LoadTracker;
  readonly health: Health;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Runs an item until it is done, fails, breaks or is aborted. */
export const runItem = async (
  item: JobItem,
  target: { readonly upstream: Upstream; readonly host: string; readonly team: string },
  progress: ItemProgress,
  signal: AbortSignal,
  { protocol, view, upstreamLoads: board, health, clock }: RunItemDependencies,
): Promise<RunOutcome> => {
  const { upstream, host, team } = target;
  const silence = new AbortController();
  let watchdog = clock.after(SILENCE_MS, () => silence.abort());
  const heard = (): void => {
    watchdog.cancel();
    watchdog = clock.after(SILENCE_MS, () => silence.abort());
  };
  const stop = AbortSignal.any([signal, silence.signal]);

  const take = (events: Buffer): void =>
    splitEvents(events)
      .filter((event) => isEventAfter(event, progress.lastEventId))
      .forEach((event) => {
        progress.texts.push(getEventData(event));
        progress.events += 1;
        progress.lastEventId = getLastEventId(event) ?? progress.lastEventId;
      });

  const run = async (): Promise<RunOutcome> => {
    const reply = await callUpstream(
      {
        address: upstream.address,
        method: 'POST',
        path: item.path,
        headers: protocol.getUpstreamHeaders(protocol.getItemHeaders(item, host), {
          upstreamId: upstream.id,
          team: team === '' ? undefined : team,
          timeLeftMs: undefined,
          resumeAfterId: progress.lastEventId,
          bodyBytes: item.body.length,
        }),
        body: item.body,
        isBulk: true,
      },
      stop,
      clock,
    );
    if (reply.kind !== 'answered') return { kind: 'broken', detail: reply.detail };
    const { message } = reply;
    const status = message.statusCode ?? 0;
    if (protocol.isMisdirected(status)) view.reportReplaced(upstream);
    if (status !== 200 || !protocol.isResponseTo(message.headers, item.id)) {
      message.destroy();
      if (status === IMPOSSIBLE) return { kind: 'impossible' };
      return { kind: status === SERVER_ERROR ? 'failed' : 'broken', detail: `status ${status}` };
    }
    const splitter = newEventSplitter();
    const isWhole = await readInBulk(
      message,
      (chunk) => {
        heard();
        take(splitter.feed(chunk));
      },
      stop,
      clock,
    );
    if (!isWhole) return { kind: 'broken', detail: 'the stream was cut' };
    return { kind: 'done' };
  };

  const startedMs = clock.monotonic();
  board.begin(upstream.id, SERVICE_CLASS.batch);
  try {
    const end = await run();
    const isFault = end.kind === 'broken' && !signal.aborted && !end.detail.startsWith('status');
    if (isFault) {
      const nowMs = clock.monotonic();
      health.record(upstream.id, 'failed', nowMs - startedMs, nowMs);
    }
    return end;
  } finally {
    progress.runMs += clock.monotonic() - startedMs;
    watchdog.cancel();
    board.end(upstream.id, SERVICE_CLASS.batch);
  }
};
