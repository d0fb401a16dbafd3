/** Reading of upstreams' responses and sending them to the caller. */
import {
  HELD_FOR,
  HISTOGRAM,
  HOP_BY_HOP_HEADERS,
  newFailure,
  newOk,
  NoMemoryForResponseError,
  readStream,
  SERVICE_CLASS,
  type Result,
} from '@anvilpaddle/common';
import {
  HEADER,
  INTERNAL_HEADER_PREFIX,
  newApiError,
  type ApiError,
  type RunState,
} from '@anvilpaddle/protocol';
import type { AttemptReply } from './attemptClient';
import type { EntryDependencies, Exchange } from './types';

/** Response of an upstream, relayed by its sidecar. */
export type UpstreamResponse = Extract<AttemptReply, { kind: 'answer' }>;

/** Response whose body was read to its end and can be sent to the caller. */
export interface CompleteResponse {
  readonly response: UpstreamResponse;
  readonly body: Buffer;
}

const EVENT_STREAM_TYPE = 'text/event-stream';
const STATUS_OK = 200;
const ATTEMPT_ID = /att_[0-9a-f]{24}/;
const REMOVED_HEADERS = new Set<string>([...HOP_BY_HOP_HEADERS, 'content-length', 'set-cookie']);

/** Whether the response is a stream of server-sent events. */
export const isEventStream = (response: UpstreamResponse): boolean =>
  response.status === STATUS_OK &&
  String(response.headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE);

/** Response headers that the caller may see; `content-length` is set again when it is known. */
export const getCallerResponseHeaders = (
  exchange: Exchange,
  response: UpstreamResponse,
): Record<string, string> => ({
  ...Object.fromEntries(
    Object.entries(response.headers).flatMap(([name, value]) =>
      typeof value === 'string' &&
      !REMOVED_HEADERS.has(name) &&
      !name.startsWith(INTERNAL_HEADER_PREFIX)
        ? [[name, value] as const]
        : [],
    ),
  ),
  [HEADER.requestId]: exchange.id,
});

/** Whether an engine's JSON names another attempt in its `id`; JSON that names none is accepted. */
export const isFromOtherAttempt = (json: unknown, attempt: string): boolean => {
  if (typeof json !== 'object' || json === null || !('id' in json)) return false;
  const namedAttempt = ATTEMPT_ID.exec(String(json.id))?.[0];
  return namedAttempt !== undefined && namedAttempt !== attempt;
};

/** Records how long the attempt waited in the sidecar's queue for a slot. */
export const recordQueueWait = (
  exchange: Exchange,
  response: UpstreamResponse,
  { metrics }: EntryDependencies,
): void => {
  const waitedMs = Number(response.headers[HEADER.queueWait]);
  if (!Number.isFinite(waitedMs) || exchange.team === undefined) return;
  metrics.record(HISTOGRAM.queueWait, exchange.team, SERVICE_CLASS.online, waitedMs);
};

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(String(body));
  } catch {
    return undefined;
  }
};

const getModelResponseError = ({ response, body }: CompleteResponse): string | undefined => {
  if (response.status !== STATUS_OK || response.headers['content-encoding'] !== undefined) {
    return undefined;
  }
  const json = parseJson(body);
  if (json === undefined) return "the engine's answer is not JSON";
  return isFromOtherAttempt(json, response.attempt)
    ? 'the answer belongs to another attempt'
    : undefined;
};

const newBadResponse = (message: string, run: RunState): Result<never, ApiError> =>
  newFailure(newApiError('upstream_failed', message, { run }));

/**
 * Reads a response that is not a stream. It fails if it is cut or too large, or if an engine's
 * successful response is not JSON or belongs to another attempt.
 */
export const readCompleteResponse = async (
  exchange: Exchange,
  response: UpstreamResponse,
): Promise<Result<CompleteResponse, ApiError>> => {
  const holder = exchange.byteBudget.newHolder(HELD_FOR.response);
  exchange.response.on('close', holder.release);
  let body: Buffer | undefined;
  try {
    body = await readStream(response.body, exchange.settings['request.max_answer'], holder);
  } catch (error) {
    holder.release();
    return error instanceof NoMemoryForResponseError
      ? newBadResponse('the entry has no memory for the answer', 'unknown')
      : newBadResponse("the upstream's answer was cut", 'unknown');
  }
  if (body === undefined) return newBadResponse("the upstream's answer is too large", 'unknown');
  const complete = { response, body };
  const error = exchange.route?.kind === 'model' ? getModelResponseError(complete) : undefined;
  return error === undefined ? newOk(complete) : newBadResponse(error, 'unknown');
};

/** Sends a complete response to the caller. */
export const sendCompleteResponse = (
  exchange: Exchange,
  { response, body }: CompleteResponse,
): void => {
  const isHead = exchange.request.method === 'HEAD';
  exchange.response.writeHead(response.status, {
    ...getCallerResponseHeaders(exchange, response),
    ...(isHead ? {} : { 'content-length': String(body.length) }),
  });
  exchange.response.end(body);
};
