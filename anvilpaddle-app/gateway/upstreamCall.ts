/** Sends one request to one upstream on a new connection. */
import { Agent, request as newRequest, type IncomingMessage } from 'node:http';
import {
  BODY_DELIMITER,
  getBodyDelimiter,
  getErrorMessage,
  ResetWithDataError,
  waitForBodyEnd,
  type Address,
  type BodyEnd,
  type Clock,
} from '@anvilpaddle/common';

/**
 * Connections are not reused: bytes that an upstream sends late or after a response can't be taken
 * for the response to another request, and no request waits on an idle connection that has died.
 */
const AGENT = new Agent({ keepAlive: false, maxSockets: Infinity });
/** Timeout for establishing a connection; within a data centre that takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Request as it is sent to the upstream. */
export interface UpstreamRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the response is read by `readInBulk` rather than as it arrives. */
  readonly isBulk?: boolean;
}

/** Reason why there is no response. */
export type UpstreamFailure =
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'not_sent'; readonly detail: string }
  /** The request was sent and may have run. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Result of a call up to the head of the response. */
export type UpstreamCallResult =
  { readonly kind: 'answered'; readonly message: IncomingMessage } | UpstreamFailure;

/**
 * Detects a connection reset at the end of a response that is delimited by the close of its
 * connection. Node.js reports a reset that it reads together with data as a normal end, but in the
 * same turn of the event loop as that data; a normal end comes in a later turn.
 */
const watchCloseDelimitedEnd = (message: IncomingMessage): void => {
  const { socket } = message;
  let isLaterTurn = false;
  const startTurn = (): void => {
    isLaterTurn = false;
    setImmediate(() => {
      isLaterTurn = true;
    });
  };
  startTurn();
  socket.on('data', startTurn);
  socket.prependListener('end', () => {
    if (!isLaterTurn) message.destroy(new ResetWithDataError());
  });
};

/** Sends a request and waits for the head of its response; aborting closes the connection. */
export const callUpstream = (
  { address, method, path, headers, body, isBulk = false }: UpstreamRequest,
  signal: AbortSignal,
  clock: Clock,
): Promise<UpstreamCallResult> =>
  new Promise((resolve) => {
    if (signal.aborted) {
      resolve({ kind: 'not_sent', detail: 'aborted' });
      return;
    }
    let isConnected = false;
    const outgoing = newRequest({
      agent: AGENT,
      host: address.host,
      port: address.port,
      method,
      path,
      headers: headers as unknown as string[],
      setHost: false,
      // Passed through to the socket, which then reads no data ahead.
      ...(isBulk ? { highWaterMark: 1 } : {}),
    });
    const timer = clock.after(CONNECT_TIMEOUT_MS, () =>
      outgoing.destroy(new Error('connect timeout')),
    );
    const abort = (): void => {
      outgoing.destroy(new Error('aborted'));
    };
    signal.addEventListener('abort', abort, { once: true });
    outgoing.on('close', () => signal.removeEventListener('abort', abort));
    outgoing.on('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        isConnected = true;
        timer.cancel();
      });
    });
    let response: IncomingMessage | undefined;
    outgoing.on('response', (message) => {
      response = message;
      if (getBodyDelimiter(message.headers) === BODY_DELIMITER.close) {
        watchCloseDelimitedEnd(message);
      }
      // `readInBulk` closes the connection itself, after it has read the data that has arrived.
      if (isBulk) signal.removeEventListener('abort', abort);
      resolve({ kind: 'answered', message });
    });
    outgoing.on('error', (error) => {
      timer.cancel();
      // The parser takes a reset for the end of a response without a length. An error after the end
      // of a response is harmless.
      if (response?.complete === false) response.destroy(error);
      resolve({ kind: isConnected ? 'lost' : 'not_sent', detail: getErrorMessage(error) });
    });
    outgoing.end(body);
  });

/** Body of a response as far as it arrived. */
export interface ReceivedBody {
  readonly content: Buffer;
  readonly end: BodyEnd;
}

/** Reads a response's body to its end. */
export const readResponseBody = async (message: IncomingMessage): Promise<ReceivedBody> => {
  const chunks: Buffer[] = [];
  message.on('data', (chunk: Buffer) => chunks.push(chunk));
  const end = await waitForBodyEnd(message);
  return { content: Buffer.concat(chunks), end };
};
