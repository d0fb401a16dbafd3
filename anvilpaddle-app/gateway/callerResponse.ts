/** Response to one caller, relayed from one or more upstreams. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HELD_FOR, isEventStreamType, type ByteBudget } from '@anvilpaddle/common';
import type { AttemptOutcome } from '@anvilpaddle/decisions';
import type { CallerProtocol, RequestHead } from './callerProtocol';
import { newCallerStream, type StreamHooks } from './callerStream';
import { sendRefusal, STATUS, type Refusal } from './refusal';
import { getResponseEnd, isResponseComplete, type ResponseEnd } from './responseEnd';
import { ROUTE_KIND, type Route } from './types';
import { holdUntilRead } from './unreadResponse';
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
  /** Why the response is not an upstream's to this request. */
  readonly fault?: string;
  /** Parts of the input that the upstream may have broken off for. */
  readonly suspectedParts?: readonly string[];
}

/** What a relay asks and tells its attempt. */
export interface RelayHooks extends StreamHooks {
  /** Whether no other upstream may be tried after this one. */
  readonly isLast: () => boolean;
  /** Event after which the upstream was asked to go on; undefined if it was to begin. */
  readonly resumeAfterId: string | undefined;
  /** Called when the response begins to go to the caller: no other attempt may answer any more. */
  readonly onAnswer: () => void;
}

/** Response to one caller. */
export interface CallerResponse {
  /** Whether a response can go to the caller: it is this request's, which runs without a failure. */
  isAnswer(message: IncomingMessage): boolean;
  /** Relays an upstream's response. */
  relay(message: IncomingMessage, signal: AbortSignal, hooks: RelayHooks): Promise<AttemptReport>;
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

const getTotalLength = (blocks: readonly Buffer[]): number =>
  blocks.reduce((total, { length }) => total + length, 0);

/** Creates the response to a request; `onFirstByte` is called when its head is sent. */
export const newCallerResponse = (
  head: RequestHead,
  route: Route,
  response: ServerResponse,
  protocol: CallerProtocol,
  byteBudget: ByteBudget,
  onFirstByte: () => void,
): CallerResponse => {
  const getCallerHeaders = (message: IncomingMessage): string[] =>
    protocol.getCallerHeaders(message.rawHeaders);
  const getStreamHeaders = (message: IncomingMessage): string[] =>
    removeContentLength(getCallerHeaders(message));
  const stream =
    route.kind === ROUTE_KIND.stream
      ? newCallerStream(
          response,
          head.resumesAfterId !== undefined,
          getStreamHeaders,
          byteBudget,
          onFirstByte,
        )
      : undefined;

  const relayBuffered = async (
    message: IncomingMessage,
    signal: AbortSignal,
    { isLast, onContent, onAnswer }: RelayHooks,
  ): Promise<AttemptReport> => {
    const holder = byteBudget.newHolder(HELD_FOR.response);
    const { blocks, end: bodyEnd } = await readResponseBody(message, holder);
    const responseEnd = getResponseEnd(message, bodyEnd);
    // Another attempt of the request may have answered in the same turn of the event loop.
    if (!isResponseComplete(responseEnd) || signal.aborted) {
      holder.release();
      return { ...UNKNOWN, responseEnd };
    }
    onContent();
    const status = message.statusCode ?? STATUS.badGateway;
    if (status >= FIRST_SERVER_ERROR_STATUS && !isLast()) {
      holder.release();
      return { ...RAN, responseEnd };
    }
    onAnswer();
    onFirstByte();
    const headers = getCallerHeaders(message);
    const length = hasContentLength(headers)
      ? []
      : ['Content-Length', String(getTotalLength(blocks))];
    response.writeHead(status, [...headers, ...length]);
    blocks.slice(0, -1).forEach((block) => response.write(block));
    response.end(blocks.at(-1));
    holdUntilRead(response, holder);
    return { ...ANSWERED, responseEnd };
  };

  const isStarted = (): boolean => stream?.isStarted() === true;

  const isRelayedAsStream = (message: IncomingMessage): boolean => {
    const status = message.statusCode ?? STATUS.badGateway;
    return stream !== undefined && status < FIRST_NON_SUCCESS_STATUS && isEventStream(message);
  };

  /** Outcome of a response that is not this request's answer, or says that it has not run. */
  const getMismatch = (message: IncomingMessage): AttemptReport | undefined => {
    const status = message.statusCode ?? STATUS.badGateway;
    const fault = protocol.getResponseFault(status, message.headers, head.id);
    if (fault !== undefined) return { ...UNKNOWN, fault };
    if (protocol.isNotRun(status, message.headers)) return NOT_RUN;
    return isStarted() && !isRelayedAsStream(message) ? UNKNOWN : undefined;
  };

  return {
    isAnswer: (message) =>
      getMismatch(message) === undefined &&
      (message.statusCode ?? STATUS.badGateway) < FIRST_SERVER_ERROR_STATUS,
    relay: async (message, signal, hooks) => {
      const mismatch = getMismatch(message);
      if (mismatch !== undefined) {
        message.destroy();
        return mismatch;
      }
      if (stream === undefined || !isRelayedAsStream(message)) {
        return relayBuffered(message, signal, hooks);
      }
      const resumeAfterId = hooks.resumeAfterId ?? head.resumesAfterId;
      const responseEnd = await stream.relay(message, resumeAfterId, signal, {
        ...hooks,
        onContent: () => {
          hooks.onAnswer();
          hooks.onContent();
        },
      });
      return { ...(isResponseComplete(responseEnd) ? ANSWERED : RAN), responseEnd };
    },
    lastEventId: () => stream?.lastEventId(),
    canRetry: () => {
      if (stream === undefined) return route.kind === ROUTE_KIND.repeatable;
      return route.isResumable;
    },
    refuse: (refusal) => {
      if (stream !== undefined && isStarted()) stream.abort();
      else sendRefusal(response, refusal);
    },
  };
};
