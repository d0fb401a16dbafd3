/**
 * Sends single HTTP requests. The body of a response is a stream that fails unless the response
 * arrived whole, also where only the end of its connection delimits it.
 */
import {
  request as newHttpRequest,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import { request as newHttpsRequest } from 'node:https';
import type { Socket } from 'node:net';
import { isConnectionRefused } from './connectError';
import type { Clock, Timer } from './clock';
import { watchCloseDelimitedEnd } from './closeDelimitedEnd';
import type { Address } from './http';
import { BODY_DELIMITER, getBodyDelimiter, STATUSES_WITHOUT_BODY } from './responseEnd';
import { getErrorMessage } from './logging';
import { getHeadFault, UnsoundHeadError, type ResponseHead } from './responseHead';

/** Number of interim responses (status 1xx) to one request before its response. */
const MAX_INTERIM_RESPONSES = 16;

/** A request and the connections that it may use. */
export interface HttpCall {
  readonly agent: Agent;
  readonly isSecure?: boolean;
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values; the host is not added. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs: number;
  /**
   * Whether the connection reads nothing ahead of its reader, which closes it after an abort once it
   * has read what had arrived.
   */
  readonly isBulk?: boolean;
}

/** Reason why there is no response. */
export type HttpCallFailure =
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'not_sent'; readonly detail: string; readonly isRefused: boolean }
  /** The request was sent and may have run. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Result of a call up to the head of the response. */
export type HttpCallResult =
  { readonly kind: 'answered'; readonly message: IncomingMessage } | HttpCallFailure;

const hasBody = (method: string, status: number): boolean =>
  method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);

const isCloseDelimited = ({ headers }: IncomingMessage): boolean =>
  getBodyDelimiter(headers) === BODY_DELIMITER.close;

const getResponseHead = ({
  httpVersion: version,
  statusCode: status = 0,
  statusMessage: reason = '',
  rawHeaders: fields,
}: IncomingMessage): ResponseHead => ({ version, status, reason, fields });

/** Creates the request, which is sent by its `end`. */
const newOutgoingRequest = ({
  agent,
  isSecure = false,
  address,
  method,
  path,
  headers,
  isBulk = false,
}: HttpCall): ClientRequest => {
  const newRequest = isSecure ? newHttpsRequest : newHttpRequest;
  return newRequest({
    agent,
    host: address.host,
    port: address.port,
    method,
    path,
    headers: headers as unknown as string[],
    setHost: false,
    // Passed through to the socket, which then reads no data ahead.
    ...(isBulk ? { highWaterMark: 1 } : {}),
  });
};

/** Sends a request and waits for the head of its response; aborting closes the connection. */
export const callHttp = (
  call: HttpCall,
  signal: AbortSignal,
  clock: Clock,
): Promise<HttpCallResult> =>
  new Promise((resolve) => {
    if (signal.aborted) {
      resolve({ kind: 'not_sent', detail: 'aborted', isRefused: false });
      return;
    }
    let isConnected = false;
    let response: IncomingMessage | undefined;
    let outgoing: ClientRequest;
    try {
      outgoing = newOutgoingRequest(call);
    } catch (error) {
      // An address, a path or a header with which no request can be made.
      resolve({ kind: 'not_sent', detail: getErrorMessage(error), isRefused: false });
      return;
    }
    let connectTimer: Timer | undefined;
    const abort = (): void => {
      outgoing.destroy(new Error('aborted'));
    };
    const setConnected = (): void => {
      isConnected = true;
      connectTimer?.cancel();
    };
    const waitForConnection = (socket: Socket): void => {
      connectTimer = clock.after(call.connectTimeoutMs, () =>
        outgoing.destroy(new Error('connect timeout')),
      );
      socket.once('connect', setConnected);
    };
    signal.addEventListener('abort', abort, { once: true });
    outgoing.on('close', () => {
      signal.removeEventListener('abort', abort);
      connectTimer?.cancel();
      // A response that changes the protocol closes the request without an error or a response.
      const detail = 'closed without a response';
      resolve(
        isConnected ? { kind: 'lost', detail } : { kind: 'not_sent', detail, isRefused: false },
      );
    });
    let bytesBefore = 0;
    outgoing.on('socket', (socket) => {
      bytesBefore = socket.bytesRead;
      socket.setNoDelay(true);
      if (socket.connecting) waitForConnection(socket);
      else setConnected();
    });
    let interimResponses = 0;
    outgoing.on('information', () => {
      interimResponses += 1;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        outgoing.destroy(new Error('too many interim responses'));
      }
    });
    outgoing.on('response', (message) => {
      const { statusCode = 0 } = message;
      const fault = getHeadFault(getResponseHead(message));
      if (fault !== undefined) {
        outgoing.destroy();
        resolve({ kind: 'lost', detail: getErrorMessage(new UnsoundHeadError(fault)) });
        return;
      }
      response = message;
      if (hasBody(call.method, statusCode) && isCloseDelimited(message)) {
        watchCloseDelimitedEnd(message, outgoing, bytesBefore);
      }
      // A reader in bulk closes the connection itself, after it has read what has arrived.
      if (call.isBulk === true) signal.removeEventListener('abort', abort);
      resolve({ kind: 'answered', message });
    });
    outgoing.on('error', (error) => {
      connectTimer?.cancel();
      // The parser takes a reset for the end of a response without a length. An error after the end
      // of a response is harmless.
      if (response?.complete === false) response.destroy(error);
      const detail = getErrorMessage(error);
      resolve(
        isConnected
          ? { kind: 'lost', detail }
          : { kind: 'not_sent', detail, isRefused: isConnectionRefused(error) },
      );
    });
    outgoing.end(call.body);
  });
