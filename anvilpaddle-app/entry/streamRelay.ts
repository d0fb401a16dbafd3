import { once } from 'node:events';
import { createParser } from 'eventsource-parser';
import { BYTES_PER_MIB, HISTOGRAM, SERVICE_CLASS } from '@anvilpaddle/common';
import { getErrorBody, type ApiError } from '@anvilpaddle/protocol';
import {
  getCallerResponseHeaders,
  isFromOtherAttempt,
  type UpstreamResponse,
} from './upstreamResponse';
import type { EntryDependencies, Exchange } from './types';
import { newStreamPosition, type StreamEvent } from './streamPosition';

const MAX_EVENT_BYTES = BYTES_PER_MIB;
const FLUSH_MS = 1000;

/** How an upstream's part of a stream ended; `cut` means that the rest is missing. */
export type StreamEnd = 'ended' | 'cut';

/** The one stream that a caller sees, though several upstreams may have parts in it. */
export interface StreamRelay {
  /** Passes on an upstream's whole events until its stream ends or is cut. */
  relay(answer: UpstreamResponse, signal: AbortSignal): Promise<StreamEnd>;
  /** Whether any event has gone to the caller. */
  isStarted(): boolean;
  /** Body with which another upstream goes on; undefined when none can. */
  getResumeRequestBody(): Buffer | undefined;
  /** Ends a started stream by an error event and a cut connection. */
  fail(error: ApiError): Promise<void>;
}

const getEventText = ({ event, data }: StreamEvent): string => {
  const name = event === undefined ? '' : `event: ${event}\n`;
  const lines = data.split('\n').map((line) => `data: ${line}\n`);
  return `${name}${lines.join('')}\n`;
};

/** New relay for one request. */
export const newStreamRelay = (exchange: Exchange, services: EntryDependencies): StreamRelay => {
  const { response, outcome } = exchange;
  const isModel = exchange.route?.kind === 'model';
  const position = newStreamPosition(exchange.json ?? {});
  const gapsMs: number[] = [];
  let lastEventMs: number | undefined;
  let isStarted = false;

  const write = (answer: UpstreamResponse, text: string): boolean => {
    if (!isStarted) {
      isStarted = true;
      response.writeHead(answer.status, getCallerResponseHeaders(exchange, answer));
    }
    return response.write(text);
  };

  const measure = (): void => {
    const nowMs = services.clock.monotonic();
    outcome.firstTokenMs ??= nowMs;
    if (lastEventMs !== undefined) gapsMs.push(nowMs - lastEventMs);
    lastEventMs = nowMs;
  };

  const recordGaps = (): void => {
    if (exchange.team === undefined || gapsMs.length === 0) return;
    const { team } = exchange;
    services.metrics.recordAll(HISTOGRAM.betweenTokens, team, SERVICE_CLASS.online, gapsMs);
    gapsMs.length = 0;
  };

  /** Events of a chunk as text for the caller; `bad` when the stream can't be trusted further. */
  const newReader = (answer: UpstreamResponse) => {
    const texts: string[] = [];
    let state: 'open' | 'ended' | 'bad' = 'open';
    let sinceEventBytes = 0;
    const decoder = new TextDecoder();
    const onModelEvent = (event: StreamEvent): void => {
      const step = position.accept(event, (json) => isFromOtherAttempt(json, answer.attempt));
      if (step.kind === 'bad') state = 'bad';
      if (step.kind === 'end') state = 'ended';
      if (step.kind === 'bad' || step.kind === 'drop') return;
      if (step.kind === 'token') measure();
      texts.push(getEventText(step.event));
    };
    const parser = createParser({
      onEvent: (event) => {
        sinceEventBytes = 0;
        if (state !== 'open') return;
        if (isModel) onModelEvent(event);
        else texts.push(getEventText(event));
      },
    });
    return {
      feed: (chunk: Buffer): string => {
        sinceEventBytes += chunk.length;
        if (sinceEventBytes > MAX_EVENT_BYTES) state = 'bad';
        else parser.feed(decoder.decode(chunk, { stream: true }));
        return texts.splice(0).join('');
      },
      state: () => state,
    };
  };

  const relay = async (answer: UpstreamResponse, signal: AbortSignal): Promise<StreamEnd> => {
    const reader = newReader(answer);
    position.beginSegment();
    try {
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        const text = reader.feed(chunk);
        if (text !== '' && !write(answer, text)) await once(response, 'drain', { signal });
        if (reader.state() === 'bad') break;
      }
    } catch {
      // A cut after the end mark takes nothing from the answer.
      if (reader.state() !== 'ended') return 'cut';
    } finally {
      recordGaps();
    }
    // A plain service's stream has no end mark: the end of its chunks is its end.
    const isEnded = reader.state() === 'ended' || (!isModel && !signal.aborted);
    if (!isEnded) return 'cut';
    if (!isStarted) write(answer, '');
    response.end();
    return 'ended';
  };

  return {
    relay,
    isStarted: () => isStarted,
    getResumeRequestBody: () => (isModel ? position.getResumeRequestBody() : undefined),
    fail: (error) =>
      new Promise((resolve) => {
        if (response.destroyed) {
          resolve();
          return;
        }
        // A caller that has stopped reading must not hold the request open.
        const timer = services.clock.after(FLUSH_MS, () => response.destroy());
        response.once('close', () => {
          timer.cancel();
          resolve();
        });
        response.write(`data: ${JSON.stringify(getErrorBody(error))}\n\n`, () =>
          response.destroy(),
        );
      }),
  };
};
