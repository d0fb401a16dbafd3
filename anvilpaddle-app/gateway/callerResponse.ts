/** The answer to one caller, from whichever upstreams it comes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AttemptOutcome } from '@anvilpaddle/decisions';
import type { CallerProtocol } from './callerProtocol';
import { newCallerStream } from './callerStream';
import { sendRefusal, STATUS, type Refusal } from './refusal';
import { ROUTE_KIND, type Route } from './types';
import { readResponseBody } from './upstreamCall';

const UNKNOWN: AttemptOutcome = { run: 'unknown', answered: false };
const NOT_RUN: AttemptOutcome = { run: 'not_run', answered: false };
const RAN: AttemptOutcome = { run: 'ran', answered: false };
const ANSWERED: AttemptOutcome = { run: 'ran', answered: true };

/** First status of upstreams' errors. */
const SERVER_ERROR = 500;
/** First status that is no success. */
const NO_SUCCESS = 300;

/** Answer that is on its way to a caller. */
export interface CallerResponse {
  /** Passes an upstream's answer on; `isLast` when no other upstream may be asked after it. */
  relay(
    message: IncomingMessage,
    isLast: boolean,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<AttemptOutcome>;
  /** Id of the event after which another upstream may go on; undefined before the first. */
  lastEventId(): string | undefined;
  /** Whether another upstream can still give the whole answer. */
  canRetry(): boolean;
  /** Ends the answer by a refusal, or by a cut when a part of it has gone out. */
  refuse(refusal: Refusal): void;
}

const hasLength = (headers: readonly string[]): boolean =>
  headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'content-length');

/** New answer to a request; `onFirstByte` is called when its head goes out. */
export const newCallerResponse = (
  requestId: string,
  route: Route,
  response: ServerResponse,
  protocol: CallerProtocol,
  onFirstByte: () => void,
): CallerResponse => {
  const getHeaders = (message: IncomingMessage): string[] =>
    protocol.getCallerHeaders(message.rawHeaders);
  const stream =
    route.kind === ROUTE_KIND.stream
      ? newCallerStream(response, getHeaders, onFirstByte)
      : undefined;

  const passWhole = async (message: IncomingMessage, isLast: boolean): Promise<AttemptOutcome> => {
    const content = await readResponseBody(message);
    if (content === undefined) return UNKNOWN;
    const status = message.statusCode ?? STATUS.badGateway;
    if (status >= SERVER_ERROR && !isLast) return RAN;
    onFirstByte();
    const headers = getHeaders(message);
    const length = hasLength(headers) ? [] : ['Content-Length', String(content.length)];
    response.writeHead(status, [...headers, ...length]);
    response.end(content);
    return ANSWERED;
  };

  const isStarted = (): boolean => stream?.isStarted() === true;

  return {
    relay: async (message, isLast, signal, onProgress) => {
      const status = message.statusCode ?? STATUS.badGateway;
      const isMine = protocol.isResponseTo(message.headers, requestId);
      const isNotRun = protocol.isNotRun(status, message.headers);
      if (!isMine || isNotRun) {
        message.destroy();
        return isMine ? NOT_RUN : UNKNOWN;
      }
      if (stream === undefined || status >= NO_SUCCESS) {
        return isStarted() ? UNKNOWN : passWhole(message, isLast);
      }
      const end = await stream.relay(message, signal, onProgress);
      return end === 'ended' ? ANSWERED : RAN;
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
