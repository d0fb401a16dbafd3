/** The one stream that a caller sees, though several upstreams may have parts in it. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { splitEvents, getLastEventId, isEventAfter, newEventSplitter } from './eventSplitter';

/** How an upstream's part of a stream ended. */
export type StreamEnd = 'ended' | 'cut';

/** Stream to one caller. */
export interface CallerStream {
  /** Passes on an upstream's whole events until its stream ends or is cut. */
  relay(message: IncomingMessage, signal: AbortSignal, onProgress: () => void): Promise<StreamEnd>;
  isStarted(): boolean;
  /** Id of the last event passed on. */
  lastEventId(): string | undefined;
  /** Ends the caller's connection so that the stream does not look whole. */
  abort(): void;
}

/** New stream; `getHeaders` gives the head from the first upstream's answer. */
export const newCallerStream = (
  response: ServerResponse,
  getHeaders: (message: IncomingMessage) => string[],
  onFirstEvent: () => void,
): CallerStream => {
  let isStarted = false;
  let parts = 0;
  /** Bytes last passed on; they hold the last id. */
  let lastEvents: Buffer | undefined;

  /** Whether the caller takes more at once. */
  const write = (message: IncomingMessage, bytes: Buffer): boolean => {
    if (!isStarted) {
      isStarted = true;
      response.writeHead(message.statusCode ?? 502, getHeaders(message));
      onFirstEvent();
    }
    return response.write(bytes);
  };

  const lastEventId = (): string | undefined => lastEvents && getLastEventId(lastEvents);

  /** Events that the caller does not have; only a part that goes on may repeat some. */
  const getNew = (events: Buffer): Buffer => {
    if (parts === 1 || events.length === 0) return events;
    const lastId = lastEventId();
    return Buffer.concat(splitEvents(events).filter((event) => isEventAfter(event, lastId)));
  };

  const passEvents = (message: IncomingMessage, events: Buffer): boolean => {
    const fresh = getNew(events);
    if (fresh.length === 0) return true;
    lastEvents = fresh;
    return write(message, fresh);
  };

  const pump = (
    message: IncomingMessage,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<StreamEnd> =>
    new Promise((resolve) => {
      const splitter = newEventSplitter();
      message.on('data', (chunk: Buffer) => {
        onProgress();
        if (passEvents(message, splitter.feed(chunk))) return;
        message.pause();
        once(response, 'drain', { signal }).then(
          () => message.resume(),
          () => message.destroy(),
        );
      });
      message.on('end', () => {
        if (!message.complete) {
          resolve('cut');
          return;
        }
        write(message, splitter.rest());
        response.end();
        resolve('ended');
      });
      message.on('error', () => resolve('cut'));
      message.on('close', () => resolve('cut'));
    });

  return {
    relay: (message, signal, onProgress) => {
      parts += 1;
      return pump(message, signal, onProgress);
    },
    isStarted: () => isStarted,
    lastEventId,
    abort: () => {
      response.destroy();
    },
  };
};
