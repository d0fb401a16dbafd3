/** Response to one caller, relayed from one or more upstreams. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { isEventStreamType } from '@anvilpaddle/common';
import type { AttemptOutcome } from '@anvilpaddle/decisions';
import type { CallerProtocol, RequestHead } from './callerProtocol';
import { newCallerStream, type OnContent } from './callerStream';
import { sendRefusal, STATUS, type Refusal } from './refusal';
import { getResponseEnd, isResponseComplete, type ResponseEnd } from './responseEnd';
import { ROUTE_KIND, type Route } from './types';
import { readResponseBody } from './upstreamCall';

const UNKNOWN: AttemptOutcome = { run: 'unknown', answered: false };
const NOT_RUN: AttemptOutcome = { run: 'not_run', answered: false };
const RAN: AttemptOutcome = { run: 'ran', answered: false };
const ANSWERED: AttemptOutcome = { run: 'ran', answered: true };

/** Lowest HTTP status of a server error. */
const FIRST_SERVER_ERROR_STATUS = 500;
/** Lowest HTTP status that is not a success. */
const FIRST_NON_SUCCESS_STATUS = 300;

/** Outcome of an attempt, with how the body of its response ended if it was read. */
export interface AttemptReport extends AttemptOutcome {
  readonly responseEnd?: ResponseEnd;
  /** Whether the upstream broke off before any content had arrived. */
  readonly isLostWithoutContent?: boolean;
}

/** Response to one caller. */
export interface CallerResponse {
  /** Relays an upstream's response; `isLast` when no other upstream may be tried after it. */
  relay(
    message: IncomingMessage,
    isLast: boolean,
    signal: AbortSignal,
    onContent: OnContent,
  ): Promise<AttemptReport>;
  /** Id of the event after which another upstream can resume; undefined before the first event. */
  lastEventId(): string | undefined;
  /** Whether the request can be sent to another upstream to complete the response. */
  canRetry(): boolean;
  /** Sends a refusal, or closes the caller's connection when a stream has already started. */
  refuse(refusal: Refusal): void;
}

/** Whether the headers announce an event stream; a response without a media type may be one. */
const isEventStream = ({ headers }: IncomingMessage): boolean =>
  headers['content-type'] === undefined || isEventStreamType(headers['content-type']);

const isContentLength = (name: string): boolean => name.toLowerCase() === 'content-length';

/** Headers without the length, which need not be that of a stream that several upstreams send. */
const removeContentLength = (headers: readonly string[]): string[] =>
  headers.filter((_, index) => !isContentLength(headers[index - (index % 2)] ?? ''));

const hasContentLength = (headers: readonly string[]): boolean =>
  headers.some((text, index) => index % 2 === 0 && isContentLength(text));

/** Creates the response to a request; `onFirstByte` is called when its head is sent. */
export const newCallerResponse = (
  head: RequestHead,
  route: Route,
  response: ServerResponse,
  protocol: CallerProtocol,
  onFirstByte: () => void,
): CallerResponse => {
  const getCallerHeaders = (message: IncomingMessage): string[] =>
    protocol.getCallerHeaders(message.rawHeaders);
  const getStreamHeaders = (message: IncomingMessage): string[] =>
    removeContentLength(getCallerHeaders(message));
  const stream =
    route.kind === ROUTE_KIND.stream
      ? newCallerStream(response, head.resumesAfterId !== undefined, getStreamHeaders, onFirstByte)
      : undefined;

  const relayBuffered = async (
    message: IncomingMessage,
    isLast: boolean,
    onContent: OnContent,
  ): Promise<AttemptReport> => {
    const { content, end: bodyEnd } = await readResponseBody(message);
    const responseEnd = getResponseEnd(message, bodyEnd);
    if (!isResponseComplete(responseEnd)) return { ...UNKNOWN, responseEnd };
    onContent();
    const status = message.statusCode ?? STATUS.badGateway;
    if (status >= FIRST_SERVER_ERROR_STATUS && !isLast) return { ...RAN, responseEnd };
    onFirstByte();
    const headers = getCallerHeaders(message);
    const length = hasContentLength(headers) ? [] : ['Content-Length', String(content.length)];
    response.writeHead(status, [...headers, ...length]);
    response.end(content);
    return { ...ANSWERED, responseEnd };
  };

  const isStarted = (): boolean => stream?.isStarted() === true;

  return {
    relay: async (message, isLast, signal, onContent) => {
      const status = message.statusCode ?? STATUS.badGateway;
      const isForThisRequest = protocol.isResponseTo(message.headers, head.id);
      const isNotRun = protocol.isNotRun(status, message.headers);
      if (!isForThisRequest || isNotRun) {
        message.destroy();
        return isForThisRequest ? NOT_RUN : UNKNOWN;
      }
      const isStream = status < FIRST_NON_SUCCESS_STATUS && isEventStream(message);
      if (stream === undefined || !isStream) {
        return isStarted() ? UNKNOWN : relayBuffered(message, isLast, onContent);
      }
      const responseEnd = await stream.relay(message, signal, onContent);
      return { ...(isResponseComplete(responseEnd) ? ANSWERED : RAN), responseEnd };
    },
    lastEventId: () => stream?.lastEventId(),
    canRetry: () => {
      if (stream === undefined) return route.kind === ROUTE_KIND.repeatable;
      return route.isResumable && (!isStarted() || stream.lastEventId() !== undefined);
    },
    refuse: (refusal) => {
      if (stream !== undefined && isStarted()) stream.abort();
      else sendRefusal(response, refusal);
    },
  };
};
