import type { Readable } from 'node:stream';
import { HISTOGRAM, newFailure, newOk, SERVICE_CLASS, type Result } from '@anvilpaddle/common';
import {
  HEADER,
  INTERNAL_HEADER_PREFIX,
  newApiError,
  type ApiError,
  type RunState,
} from '@anvilpaddle/protocol';
import type { AttemptReply } from './attemptClient';
import type { EntryDependencies, Exchange } from './types';

/** Answer of an upstream through its sidecar. */
export type UpstreamResponse = Extract<AttemptReply, { kind: 'answer' }>;

/** Answer that has come whole and is ready for the caller. */
export interface CompleteResponse {
  readonly response: UpstreamResponse;
  readonly body: Buffer;
}

const STREAM_TYPE = 'text/event-stream';
const STATUS_OK = 200;
const ATTEMPT_ID = /att_[0-9a-f]{24}/;
const DROPPED_HEADERS = new Set<string>([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-authenticate',
  'set-cookie',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Whether the answer is a stream of server-sent events. */
export const isEventStream = (answer: UpstreamResponse): boolean =>
  answer.status === STATUS_OK &&
  String(answer.headers['content-type'] ?? '').startsWith(STREAM_TYPE);

/** Headers of an answer that a caller may see; the length is set anew. */
export const getCallerResponseHeaders = (
  exchange: Exchange,
  answer: UpstreamResponse,
): Record<string, string> => ({
  ...Object.fromEntries(
    Object.entries(answer.headers).flatMap(([name, value]) =>
      typeof value === 'string' &&
      !DROPPED_HEADERS.has(name) &&
      !name.startsWith(INTERNAL_HEADER_PREFIX)
        ? [[name, value] as const]
        : [],
    ),
  ),
  [HEADER.requestId]: exchange.id,
});

/** Whether an engine's answer names another attempt than ours; one that names none passes. */
export const isFromOtherAttempt = (json: unknown, attempt: string): boolean => {
  if (typeof json !== 'object' || json === null || !('id' in json)) return false;
  const named = ATTEMPT_ID.exec(String(json.id))?.[0];
  return named !== undefined && named !== attempt;
};

/** Records how long the attempt waited for a slot. */
export const recordQueueWait = (
  exchange: Exchange,
  answer: UpstreamResponse,
  { metrics }: EntryDependencies,
): void => {
  const waitedMs = Number(answer.headers[HEADER.queueWait]);
  if (!Number.isFinite(waitedMs) || exchange.team === undefined) return;
  metrics.record(HISTOGRAM.queueWait, exchange.team, SERVICE_CLASS.online, waitedMs);
};

const readAll = async (body: Readable, limitBytes: number): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(String(body));
  } catch {
    return undefined;
  }
};

const getModelFault = ({ response: answer, body }: CompleteResponse): string | undefined => {
  if (answer.status !== STATUS_OK || answer.headers['content-encoding'] !== undefined) {
    return undefined;
  }
  const json = parseJson(body);
  if (json === undefined) return "the engine's answer is not JSON";
  return isFromOtherAttempt(json, answer.attempt)
    ? 'the answer belongs to another attempt'
    : undefined;
};

const newBadAnswer = (message: string, run: RunState): Result<never, ApiError> =>
  newFailure(newApiError('upstream_failed', message, { run }));

/** Reads an answer of known length; only a whole one that belongs to the attempt comes back. */
export const readCompleteResponse = async (
  exchange: Exchange,
  answer: UpstreamResponse,
): Promise<Result<CompleteResponse, ApiError>> => {
  let body: Buffer | undefined;
  try {
    body = await readAll(answer.body, exchange.settings['request.max_answer']);
  } catch {
    return newBadAnswer("the upstream's answer was cut", 'unknown');
  }
  if (body === undefined) return newBadAnswer("the upstream's answer is too large", 'unknown');
  const whole = { response: answer, body };
  const fault = exchange.route?.kind === 'model' ? getModelFault(whole) : undefined;
  return fault === undefined ? newOk(whole) : newBadAnswer(fault, 'unknown');
};

/** Passes a whole answer to the caller. */
export const sendCompleteResponse = (
  exchange: Exchange,
  { response: answer, body }: CompleteResponse,
): void => {
  const isHead = exchange.request.method === 'HEAD';
  exchange.response.writeHead(answer.status, {
    ...getCallerResponseHeaders(exchange, answer),
    ...(isHead ? {} : { 'content-length': String(body.length) }),
  });
  exchange.response.end(body);
};
