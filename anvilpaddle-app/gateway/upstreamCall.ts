/** Sends one request to one upstream on a new connection. */
import { Agent, type IncomingMessage } from 'node:http';
import {
  BYTES_PER_MIB,
  callHttp,
  getAnnouncedBytes,
  newBodyCollector,
  NoMemoryForResponseError,
  ResponseTooLargeError,
  waitForBodyEnd,
  type BodyEnd,
  type ByteHolder,
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
  /** The bytes in order. */
  readonly blocks: readonly Buffer[];
  readonly end: BodyEnd;
}

/** Why a body of this size is not read, or not any further. */
const getBreakOffError = (
  bytes: number,
  allocatedBytes: number,
  holder: ByteHolder,
): Error | undefined => {
  if (bytes > MAX_RESPONSE_BYTES) return new ResponseTooLargeError();
  return holder.canHold(allocatedBytes) ? undefined : new NoMemoryForResponseError();
};

/** Reads a response's body to its end, or until it is too large or passes the share of its holder. */
export const readResponseBody = async (
  message: IncomingMessage,
  holder: ByteHolder,
): Promise<ReceivedBody> => {
  const collector = newBodyCollector();
  // A length without a body is no promise: the response to a HEAD request has one.
  message.once('data', () => {
    const announcedBytes = getAnnouncedBytes(message);
    const error = getBreakOffError(announcedBytes, announcedBytes, holder);
    if (error !== undefined) message.destroy(error);
  });
  message.on('data', (chunk: Buffer) => {
    collector.append(chunk);
    const capacity = collector.getCapacity();
    const error = collector.isWasteful()
      ? new ResponseTooLargeError()
      : getBreakOffError(collector.getLength(), capacity, holder);
    if (error === undefined) holder.hold(capacity);
    else message.destroy(error);
  });
  const end = await waitForBodyEnd(message);
  return { blocks: collector.getBlocks(), end };
};
