/** How an upstream's response ended, and whether it is complete. */
import type { IncomingMessage } from 'node:http';
import {
  BODY_DELIMITER,
  BODY_END,
  ForeignBytesError,
  getBodyDelimiter,
  ReaderError,
  type BodyDelimiter,
  type BodyEnd,
} from '@anvilpaddle/common';
import type { EventSplitter } from './eventSplitter';

/** How an upstream's response ended, for decisions and the log. */
export interface ResponseEnd {
  readonly delimiter: BodyDelimiter;
  readonly bodyEnd: BodyEnd;
  /** Bytes of an event that a stream did not finish; 0 for other responses. */
  readonly unfinishedBytes: number;
  /** Whether the upstream had to wait for a caller that reads slowly. */
  readonly waitedForCaller?: true;
  /** Why the response could not be read on, if its reader threw. */
  readonly readerError?: string;
  /** What in a stream is no event of the output. */
  readonly fault?: string;
}

/** Whether nothing of the response is missing. */
export const isResponseComplete = ({ bodyEnd, unfinishedBytes }: ResponseEnd): boolean =>
  bodyEnd === BODY_END.complete && unfinishedBytes === 0;

/** Whether this gateway broke the response off for want of memory, which says nothing of its upstream. */
export const isOutOfMemory = (end: ResponseEnd | undefined): boolean =>
  end?.bodyEnd === BODY_END.noMemory;

/** Whether the upstream sent what does not belong to the response. */
export const isForeign = (end: ResponseEnd | undefined): boolean =>
  end?.bodyEnd === BODY_END.foreign;

/**
 * Whether the response is incomplete for the sake of this gateway or its caller, which says nothing of
 * the upstream: one cuts off a response that stays unread.
 */
export const isEndBlameless = (end: ResponseEnd | undefined): boolean =>
  isOutOfMemory(end) ||
  (end?.waitedForCaller === true && !isForeign(end) && !isResponseComplete(end));

/** End of a response that is not a stream. */
export const getResponseEnd = ({ headers }: IncomingMessage, bodyEnd: BodyEnd): ResponseEnd => ({
  delimiter: getBodyDelimiter(headers),
  bodyEnd,
  unfinishedBytes: 0,
});

/**
 * End of an event stream; `hasEvents` tells whether the reader has any event, of this response or
 * of one that it resumes. Where only the connection delimits the stream, an end before the first
 * event comes too early.
 */
export const getStreamEnd = (
  { headers, errored }: IncomingMessage,
  bodyEnd: BodyEnd,
  splitter: EventSplitter,
  hasEvents: boolean,
): ResponseEnd => {
  const delimiter = getBodyDelimiter(headers);
  const isTooEarly = delimiter === BODY_DELIMITER.close && !hasEvents;
  return {
    delimiter,
    bodyEnd: isTooEarly && bodyEnd === BODY_END.complete ? BODY_END.closed : bodyEnd,
    unfinishedBytes: splitter.getUnfinishedBytes(),
    ...(errored instanceof ReaderError ? { readerError: errored.message } : {}),
    ...(errored instanceof ForeignBytesError ? { fault: errored.message } : {}),
  };
};
