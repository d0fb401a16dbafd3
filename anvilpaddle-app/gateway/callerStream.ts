/** Event stream to one caller, relayed from one upstream or from several in turn. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  breakOffResponse,
  ForeignBytesError,
  HELD_FOR,
  NoMemoryForResponseError,
  readOrFail,
  ResponseTooLargeError,
  waitForBodyEnd,
  type ByteBudget,
} from '@anvilpaddle/common';
import { newEventSequence, type RunPart } from './eventSequence';
import { newEventSplitter } from './eventSplitter';
import { holdUntilRead } from './unreadResponse';
import { getStreamEnd, isResponseComplete, type ResponseEnd } from './responseEnd';
import { MAX_EVENT_BYTES } from './upstreamCall';

/** Called for the progress of a stream. */
export interface StreamHooks {
  /** Called for whole events. */
  readonly onContent: () => void;
  /** Called when the caller does not take more events for now; `onContent` is called after it. */
  readonly onBlocked: () => void;
}

/** Stream to one caller. */
export interface CallerStream {
  /**
   * Relays an upstream's complete events until its response ends, is cut off or has anything else. The
   * upstream was asked to go on after an event, or to begin.
   */
  relay(
    message: IncomingMessage,
    resumeAfterId: string | undefined,
    signal: AbortSignal,
    hooks: StreamHooks,
  ): Promise<ResponseEnd>;
  isStarted(): boolean;
  /** Id of the last relayed event, after which another upstream can go on. */
  lastEventId(): string | undefined;
  /** Closes the caller's connection, so that the caller can tell that the stream is incomplete. */
  abort(): void;
}

/**
 * Creates the stream; `getHeaders` derives its headers from the first upstream's response.
 * `isResumption` tells whether the caller resumes an earlier stream, of which nothing may be left.
 */
export const newCallerStream = (
  response: ServerResponse,
  isResumption: boolean,
  getHeaders: (message: IncomingMessage) => string[],
  byteBudget: ByteBudget,
  onFirstEvent: () => void,
): CallerStream => {
  let isStarted = false;
  let lastId: number | undefined;

  /** Writes to the caller; false when its buffer is full. */
  const write = (message: IncomingMessage, bytes: Buffer): boolean => {
    if (!isStarted) {
      response.writeHead(message.statusCode ?? 502, getHeaders(message));
      isStarted = true;
      onFirstEvent();
    }
    return response.write(bytes);
  };

  /** Bytes that the caller does not have yet: another upstream may have gone on with the stream. */
  const getUnseenBytes = ({ events, bytes }: RunPart): Buffer => {
    const firstId = events[0]?.id;
    if (lastId === undefined || firstId === undefined || firstId > lastId) return bytes;
    const seenId = lastId;
    return Buffer.concat(events.filter(({ id }) => id > seenId).map((event) => event.bytes));
  };

  const relayPart = (message: IncomingMessage, part: RunPart): boolean => {
    const bytes = getUnseenBytes(part);
    if (bytes.length === 0) return true;
    const hasRoom = write(message, bytes);
    const id = part.events.at(-1)?.id;
    if (id !== undefined) lastId = Math.max(id, lastId ?? id);
    return hasRoom;
  };

  const relayUntilEnd = async (
    message: IncomingMessage,
    resumeAfterId: string | undefined,
    signal: AbortSignal,
    hooks: StreamHooks,
  ): Promise<ResponseEnd> => {
    const splitter = newEventSplitter();
    const sequence = newEventSequence(resumeAfterId);
    const holder = byteBudget.newHolder(HELD_FOR.response);
    let hasWaited = false;
    const relayChunk = (chunk: Buffer): void => {
      const part = sequence.take(splitter.feed(chunk));
      if (part.bytes.length > 0) hooks.onContent();
      if (part.fault !== undefined) {
        message.destroy(new ForeignBytesError(part.fault));
      } else if (splitter.getPendingBytes() > MAX_EVENT_BYTES || splitter.isWasteful()) {
        message.destroy(new ResponseTooLargeError());
      } else if (!holder.canHold(splitter.getCapacity())) {
        message.destroy(new NoMemoryForResponseError());
      }
      if (relayPart(message, part)) {
        holder.force(splitter.getCapacity());
        return;
      }
      // The upstream may cut off a response that stays unread, so that a slow caller's is read ahead.
      const heldBytes = splitter.getCapacity() + response.writableLength;
      if (holder.holdWaiting(heldBytes)) return;
      hasWaited = true;
      holder.force(heldBytes);
      if (byteBudget.isUsedUp(HELD_FOR.response)) {
        // New requests would be refused for the sake of this caller.
        message.destroy(new NoMemoryForResponseError());
        return;
      }
      message.pause();
      hooks.onBlocked();
      const resume = (): void => {
        hooks.onContent();
        message.resume();
      };
      once(response, 'drain', { signal }).then(
        () => readOrFail(message, resume),
        () => message.destroy(),
      );
    };
    message.on('data', (chunk: Buffer) => readOrFail(message, () => relayChunk(chunk)));
    const bodyEnd = await waitForBodyEnd(message);
    const hasEvents = isResumption || lastId !== undefined;
    const end = getStreamEnd(message, bodyEnd, splitter, hasEvents);
    if (isResponseComplete(end)) {
      write(message, splitter.rest());
      response.end();
      holdUntilRead(response, holder);
    } else {
      holder.release();
    }
    return hasWaited ? { ...end, waitedForCaller: true } : end;
  };

  return {
    relay: relayUntilEnd,
    isStarted: () => isStarted,
    lastEventId: () => lastId?.toString(),
    abort: () => breakOffResponse(response),
  };
};
