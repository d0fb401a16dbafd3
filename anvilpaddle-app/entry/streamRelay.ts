/** Relay of server-sent events from upstreams to the caller. */
import { once } from 'node:events';
import { createParser } from 'eventsource-parser';
import { breakOffResponse, BYTES_PER_MIB, HISTOGRAM, SERVICE_CLASS } from '@anvilpaddle/common';
import { getErrorBody, type ApiError } from '@anvilpaddle/protocol';
import {
  getCallerResponseHeaders,
  isFromOtherAttempt,
  type UpstreamResponse,
} from './upstreamResponse';
import type { EntryDependencies, Exchange } from './types';
import { newStreamPosition, type StreamEvent } from './streamPosition';

const MAX_EVENT_BYTES = BYTES_PER_MIB;
const FLUSH_TIMEOUT_MS = 1000;

/** How an upstream's segment of a stream ended; `cut` means that the rest is missing. */
export type StreamEnd = 'ended' | 'cut';

/** The stream that a caller receives; several upstreams may each send a segment of it. */
export interface StreamRelay {
  /** Relays an upstream's complete events until its stream ends or is cut. */
  relay(segment: UpstreamResponse, signal: AbortSignal): Promise<StreamEnd>;
  /** Whether the response to the caller has begun. */
  isStarted(): boolean;
  /** Request body with which another upstream resumes the stream; undefined if it can't resume. */
  getResumeRequestBody(): Buffer | undefined;
  /** Ends a started stream with an error event and closes the connection without the end mark. */
  fail(error: ApiError): Promise<void>;
}

const getEventText = ({ event, data }: StreamEvent): string => {
  const name = event === undefined ? '' : `event: ${event}\n`;
  const lines = data.split('\n').map((line) => `data: ${line}\n`);
  return `${name}${lines.join('')}\n`;
};

/** Creates the relay for one request. */
export const newStreamRelay = (
  exchange: Exchange,
  dependencies: EntryDependencies,
): StreamRelay => {
  const { response, outcome } = exchange;
  const isModelRoute = exchange.route?.kind === 'model';
  const position = newStreamPosition(exchange.json ?? {});
  const tokenIntervalsMs: number[] = [];
  let lastTokenMs: number | undefined;
  let isStarted = false;

  const write = (segment: UpstreamResponse, text: string): boolean => {
    if (!isStarted) {
      isStarted = true;
      response.writeHead(segment.status, getCallerResponseHeaders(exchange, segment));
    }
    return response.write(text);
  };

  const recordToken = (): void => {
    const nowMs = dependencies.clock.monotonic();
    outcome.firstTokenMs ??= nowMs;
    if (lastTokenMs !== undefined) tokenIntervalsMs.push(nowMs - lastTokenMs);
    lastTokenMs = nowMs;
  };

  const recordTokenIntervals = (): void => {
    if (exchange.team === undefined || tokenIntervalsMs.length === 0) return;
    const { team } = exchange;
    dependencies.metrics.recordAll(
      HISTOGRAM.betweenTokens,
      team,
      SERVICE_CLASS.online,
      tokenIntervalsMs,
    );
    tokenIntervalsMs.length = 0;
  };

  /**
   * Converts the upstream's chunks to the text of complete events for the caller. The state is
   * `bad` after an invalid or too large event: the rest of the stream is not relayed.
   */
  const newEventReader = (segment: UpstreamResponse) => {
    const texts: string[] = [];
    let state: 'open' | 'ended' | 'bad' = 'open';
    let bytesSinceEvent = 0;
    const decoder = new TextDecoder();
    const onModelEvent = (event: StreamEvent): void => {
      const processed = position.accept(event, (json) => isFromOtherAttempt(json, segment.attempt));
      if (processed.kind === 'bad') state = 'bad';
      if (processed.kind === 'end') state = 'ended';
      if (processed.kind === 'bad' || processed.kind === 'drop') return;
      if (processed.kind === 'token') recordToken();
      texts.push(getEventText(processed.event));
    };
    const parser = createParser({
      onEvent: (event) => {
        bytesSinceEvent = 0;
        if (state !== 'open') return;
        if (isModelRoute) onModelEvent(event);
        else texts.push(getEventText(event));
      },
    });
    return {
      feed: (chunk: Buffer): string => {
        bytesSinceEvent += chunk.length;
        if (bytesSinceEvent > MAX_EVENT_BYTES) state = 'bad';
        else parser.feed(decoder.decode(chunk, { stream: true }));
        return texts.splice(0).join('');
      },
      state: () => state,
    };
  };

  const relay = async (segment: UpstreamResponse, signal: AbortSignal): Promise<StreamEnd> => {
    const reader = newEventReader(segment);
    position.beginSegment();
    try {
      for await (const chunk of segment.body as AsyncIterable<Buffer>) {
        const text = reader.feed(chunk);
        if (text !== '' && !write(segment, text)) await once(response, 'drain', { signal });
        if (reader.state() === 'bad') break;
      }
    } catch {
      // After the end mark, a lost connection leaves nothing of the response missing.
      if (reader.state() !== 'ended') return 'cut';
    } finally {
      recordTokenIntervals();
    }
    // A plain service's stream has no end mark: it ends with its last chunk.
    const isPlainEnd = !isModelRoute && reader.state() === 'open' && !signal.aborted;
    const isEnded = reader.state() === 'ended' || isPlainEnd;
    if (!isEnded) return 'cut';
    if (!isStarted) write(segment, '');
    response.end();
    return 'ended';
  };

  return {
    relay,
    isStarted: () => isStarted,
    getResumeRequestBody: () => (isModelRoute ? position.getResumeRequestBody() : undefined),
    fail: (error) =>
      new Promise((resolve) => {
        if (response.destroyed) {
          resolve();
          return;
        }
        // A caller that has stopped reading must not keep the request open.
        const timer = dependencies.clock.after(FLUSH_TIMEOUT_MS, () => breakOffResponse(response));
        response.once('close', () => {
          timer.cancel();
          resolve();
        });
        response.write(`data: ${JSON.stringify(getErrorBody(error))}\n\n`, () =>
          breakOffResponse(response),
        );
      }),
  };
};
