/** The one stream that a caller sees, though several upstreams may have parts in it. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { newEventSplitter, type EventBytes } from './eventSplitter';

/** How an upstream's part of a stream ended. */
export type StreamEnd = 'ended' | 'cut';

/** Stream to one caller. */
export interface CallerStream {
  /** Passes on an upstream's whole events until its stream ends or is cut. */
  relay(message: IncomingMessage, signal: AbortSignal): Promise<StreamEnd>;
  isStarted(): boolean;
  /** Id of the last event passed on. */
  lastEventId(): string | undefined;
  /** Ends the caller's connection so that the stream does not look whole. */
  cut(): void;
}

/** New stream; `getHeaders` gives the head from the first upstream's answer. */
export const newCallerStream = (
  response: ServerResponse,
  getHeaders: (message: IncomingMessage) => string[],
  onFirstEvent: () => void,
): CallerStream => {
  let isStarted = false;
  let lastId: string | undefined;

  const write = async (
    message: IncomingMessage,
    bytes: Buffer,
    signal: AbortSignal,
  ): Promise<void> => {
    if (!isStarted) {
      isStarted = true;
      response.writeHead(message.statusCode ?? 502, getHeaders(message));
      onFirstEvent();
    }
    if (!response.write(bytes)) await once(response, 'drain', { signal });
  };

  /** Whether an event is new to the caller: ids grow along the stream. */
  const isNew = ({ id }: EventBytes): boolean =>
    id === undefined || lastId === undefined || Number(id) > Number(lastId);

  const passEvents = async (
    message: IncomingMessage,
    events: readonly EventBytes[],
    signal: AbortSignal,
  ): Promise<void> => {
    for (const event of events.filter(isNew)) {
      await write(message, event.bytes, signal);
      lastId = event.id ?? lastId;
    }
  };

  return {
    relay: async (message, signal) => {
      const splitter = newEventSplitter();
      try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
          await passEvents(message, splitter.feed(chunk), signal);
        }
      } catch {
        return 'cut';
      }
      if (!message.complete) return 'cut';
      await write(message, splitter.rest(), signal);
      response.end();
      return 'ended';
    },
    isStarted: () => isStarted,
    lastEventId: () => lastId,
    cut: () => {
      response.destroy();
    },
  };
};
