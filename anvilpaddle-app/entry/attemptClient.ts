/** HTTP client with which the entry process sends attempts to sidecars. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { Agent, type Dispatcher } from 'undici';
import {
  BODY_DELIMITER,
  getBodyDelimiter,
  getErrorMessage,
  isConnectError,
  requestHttp,
  STATUSES_WITHOUT_BODY,
} from '@anvilpaddle/common';
import {
  getAttemptHeader,
  HEADER,
  loadSchema,
  PEER_PATH,
  refusalSchema,
  type Attempt,
  type Load,
  type Member,
  type Refusal,
} from '@anvilpaddle/protocol';

/** First result of an attempt at a sidecar: a response's head, a refusal or a failed connection. */
export type AttemptReply =
  | {
      readonly kind: 'answer';
      readonly attempt: string;
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Readable;
      readonly load: Load | undefined;
    }
  | { readonly kind: 'refusal'; readonly refusal: Refusal }
  /** The connection failed or the sidecar rejected the fleet secret: nothing was sent upstream. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** No response to this attempt arrived: only the sidecar knows whether it was run. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Sends attempts to sidecars over HTTP. */
export interface AttemptClient {
  send(member: Member, attempt: Attempt, body: Buffer, signal: AbortSignal): Promise<AttemptReply>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;
const STATUS_UNAUTHORIZED = 401;

const parseLoad = (header: unknown): Load | undefined => {
  if (typeof header !== 'string') return undefined;
  try {
    return loadSchema.parse(JSON.parse(header));
  } catch {
    return undefined;
  }
};

/** Whether the end of the response shows; sidecars always give bodies a length or chunks. */
const isDelimited = ({ statusCode, headers }: Dispatcher.ResponseData): boolean =>
  STATUSES_WITHOUT_BODY.has(statusCode) || getBodyDelimiter(headers) !== BODY_DELIMITER.close;

/** Reads the head of a sidecar's response; a response that names another attempt counts as lost. */
const readReply = async (
  response: Dispatcher.ResponseData,
  attempt: Attempt,
): Promise<AttemptReply> => {
  const namedAttempt = response.headers[HEADER.attemptId];
  if (namedAttempt !== attempt.attempt) {
    response.body.on('error', () => undefined).destroy();
    return namedAttempt === undefined && response.statusCode === STATUS_UNAUTHORIZED
      ? { kind: 'unreachable', detail: 'the sidecar does not accept the fleet secret' }
      : { kind: 'lost', detail: 'the response belongs to another attempt' };
  }
  if (!isDelimited(response)) {
    response.body.on('error', () => undefined).destroy();
    return { kind: 'lost', detail: 'the response has neither a length nor chunks' };
  }
  if (response.headers[HEADER.refusal] !== undefined) {
    return { kind: 'refusal', refusal: refusalSchema.parse(await response.body.json()) };
  }
  return {
    kind: 'answer',
    attempt: attempt.attempt,
    status: response.statusCode,
    headers: response.headers,
    body: response.body,
    load: parseLoad(response.headers[HEADER.load]),
  };
};

/** Creates a client that sends the fleet secret with each attempt. */
export const newAttemptClient = (secret: string, localAddress?: string): AttemptClient => {
  // Each connection carries one attempt at a time, and there are as many connections as attempts:
  // no attempt waits for another, and none is sent again after its connection was lost.
  const agent = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    localAddress,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    send: async (member, attempt, body, signal) => {
      try {
        const response = await requestHttp(`http://${member.address}${PEER_PATH.attempts}`, {
          method: 'POST',
          headers: {
            authorization: `Bearer ${secret}`,
            [HEADER.attempt]: getAttemptHeader(attempt),
            'content-type': 'application/octet-stream',
          },
          body,
          dispatcher: agent,
          signal,
        });
        return await readReply(response, attempt);
      } catch (error) {
        const detail = getErrorMessage(error);
        return { kind: isConnectError(error) ? 'unreachable' : 'lost', detail };
      }
    },
    close: () => agent.destroy(),
  };
};
