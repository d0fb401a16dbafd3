/** Sends one request to one upstream on a new connection. */
import { Agent, type IncomingMessage } from 'node:http';
import {
  BYTES_PER_MIB,
  callHttp,
  newByteCollector,
  ResponseTooLargeError,
  waitForBodyEnd,
  type BodyEnd,
  type Clock,
  type HttpCall,
  type HttpCallResult,
} from '@anvilpaddle/common';

/**
 * Connections are not reused: bytes that an upstream sends late or after a response can't be taken
 * for the response to another request, and no request waits on an idle connection that has died.
 */
const AGENT = new Agent({ keepAlive: false, maxSockets: Infinity });
/** Timeout for establishing a connection; within a data centre that takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Size of the largest response that is not a stream: a VM holds several at a time. */
const MAX_RESPONSE_BYTES = 4 * BYTES_PER_MIB;
/** Size of the largest event of a stream. */
export const MAX_EVENT_BYTES = BYTES_PER_MIB;
/** Size of the largest stream that one run of a batch item may send. */
export const MAX_RUN_BYTES = 4 * BYTES_PER_MIB;

/** Request as it is sent to the upstream. */
export type UpstreamRequest = Omit<HttpCall, 'agent' | 'connectTimeoutMs' | 'isSecure'>;

/** Sends a request and waits for the head of its response; aborting closes the connection. */
export const callUpstream = (
  request: UpstreamRequest,
  signal: AbortSignal,
  clock: Clock,
): Promise<HttpCallResult> =>
  callHttp({ ...request, agent: AGENT, connectTimeoutMs: CONNECT_TIMEOUT_MS }, signal, clock);

/** Body of a response as far as it arrived. */
export interface ReceivedBody {
  readonly content: Buffer;
  readonly end: BodyEnd;
}

/** Reads a response's body to its end, or until it is too large. */
export const readResponseBody = async (message: IncomingMessage): Promise<ReceivedBody> => {
  const collector = newByteCollector();
  message.on('data', (chunk: Buffer) => {
    collector.append(chunk);
    if (collector.getLength() > MAX_RESPONSE_BYTES || collector.isWasteful()) {
      message.destroy(new ResponseTooLargeError());
    }
  });
  const end = await waitForBodyEnd(message);
  return { content: collector.peek(), end };
};
