/** One request to one upstream, on a connection of its own. */
import { Agent, request as newRequest, type IncomingMessage } from 'node:http';
import { getErrorMessage, type Address, type Clock } from '@anvilpaddle/common';

/**
 * Connections are not kept: what an upstream sends late or beyond an answer can't reach another
 * request, and a kept connection that has gone silent can't hold one up.
 */
const AGENT = new Agent({ keepAlive: false, maxSockets: Infinity });
/** Longest wait for a connection to stand; within a data centre it takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Request as the upstream is to see it. */
export interface UpstreamRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the answer is read in bulk rather than as it arrives. */
  readonly isBulk?: boolean;
}

/** Why there is no answer. */
export type UpstreamFailure =
  /** The connection never stood, so that nothing was sent. */
  | { readonly kind: 'not_sent'; readonly detail: string }
  /** The request was sent and may have run. */
  | { readonly kind: 'lost'; readonly detail: string };

/** How a call went up to the head of the answer. */
export type UpstreamCallResult =
  { readonly kind: 'answered'; readonly message: IncomingMessage } | UpstreamFailure;

const isFramed = ({ headers }: IncomingMessage): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

/**
 * Watches an answer that ends with its connection. A reset that is read together with data is
 * reported by the runtime as the usual end, but in the same turn of the event loop as that data; a
 * usual end takes a turn of its own.
 */
const watchUnframedEnd = (message: IncomingMessage): void => {
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
    if (!isLaterTurn) message.destroy(new Error('reset with the last data'));
  });
};

/** Sends a request and waits for the head of its answer; aborting closes the connection. */
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
      // Passed on to the socket: with no read-ahead it takes in data only when asked.
      ...(isBulk ? { highWaterMark: 1 } : {}),
    });
    const timer = clock.after(CONNECT_TIMEOUT_MS, () =>
      outgoing.destroy(new Error('no connection in time')),
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
    let answer: IncomingMessage | undefined;
    outgoing.on('response', (message) => {
      answer = message;
      if (!isFramed(message)) watchUnframedEnd(message);
      // The reader of a bulk answer closes the connection itself, after what has arrived is read.
      if (isBulk) signal.removeEventListener('abort', abort);
      resolve({ kind: 'answered', message });
    });
    outgoing.on('error', (fault) => {
      timer.cancel();
      // The parser takes a reset for the end of an answer without a length. A fault after the end of
      // an answer means nothing.
      if (answer?.complete === false) answer.destroy(fault);
      resolve({ kind: isConnected ? 'lost' : 'not_sent', detail: getErrorMessage(fault) });
    });
    outgoing.end(body);
  });

/** Whole body of an answer; undefined when it was cut. */
export const readResponseBody = async (message: IncomingMessage): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  } catch {
    return undefined;
  }
  return message.complete ? Buffer.concat(chunks) : undefined;
};
