import type { Readable } from 'node:stream';
import { once } from 'node:events';
import { createParser } from 'eventsource-parser';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { HEADER, newApiError, type ApiError } from '@anvilpaddle/protocol';
import type { AttemptReply } from './attemptClient';
import type { EntryServices, Exchange } from './exchange';

type Answer = Extract<AttemptReply, { kind: 'answer' }>;

const STREAM_TYPE = 'text/event-stream';
const STREAM_END = '[DONE]';
const DROPPED_HEADERS = new Set<string>([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'set-cookie',
  HEADER.attemptId,
  HEADER.load,
  HEADER.refusal,
]);

const getCallerHeaders = (exchange: Exchange, answer: Answer): Record<string, string> => ({
  ...Object.fromEntries(
    Object.entries(answer.headers).flatMap(([name, value]) =>
      typeof value === 'string' && !DROPPED_HEADERS.has(name) ? [[name, value] as const] : [],
    ),
  ),
  [HEADER.requestId]: exchange.id,
});

const readWhole = async (body: Readable, limitBytes: number): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** An answer of known length is passed on only when all of it has come. */
const relayWhole = async (exchange: Exchange, answer: Answer): Promise<Result<void, ApiError>> => {
  let body: Buffer | undefined;
  try {
    body = await readWhole(answer.body, exchange.settings['request.max_answer']);
  } catch {
    const message = "the upstream's answer was cut";
    return newFailure(newApiError('upstream_failed', message, { run: 'unknown' }));
  }
  if (body === undefined) {
    const message = "the upstream's answer is too large";
    return newFailure(newApiError('upstream_failed', message, { run: 'ran' }));
  }
  exchange.response.writeHead(answer.status, {
    ...getCallerHeaders(exchange, answer),
    'content-length': String(body.length),
  });
  exchange.response.end(body);
  return newOk(undefined);
};

/** A stream is passed on as it comes; without its end mark it ends with an explicit error. */
const relayStream = async (
  exchange: Exchange,
  answer: Answer,
  services: EntryServices,
): Promise<Result<void, ApiError>> => {
  const { response, outcome } = exchange;
  let isEnded = false;
  const parser = createParser({
    onEvent: ({ data }) => {
      outcome.firstTokenMs ??= services.clock.monotonic();
      if (data === STREAM_END) isEnded = true;
    },
  });
  response.writeHead(answer.status, getCallerHeaders(exchange, answer));
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      parser.feed(chunk.toString());
      if (!response.write(chunk)) await once(response, 'drain', { signal: exchange.signal });
    }
  } catch {
    // The missing end mark below tells of it.
  }
  if (isEnded) {
    response.end();
    return newOk(undefined);
  }
  const error = newApiError('upstream_failed', 'the stream was cut', { run: 'unknown' });
  response.end(`data: ${JSON.stringify({ error: { code: error.code, run: error.run } })}\n\n`);
  return newFailure(error);
};

/** Passes an upstream's answer to the caller, whole or with an explicit error. */
export const relayAnswer = (
  exchange: Exchange,
  answer: Answer,
  services: EntryServices,
): Promise<Result<void, ApiError>> => {
  exchange.outcome.run = 'ran';
  const isStream = String(answer.headers['content-type'] ?? '').startsWith(STREAM_TYPE);
  return isStream ? relayStream(exchange, answer, services) : relayWhole(exchange, answer);
};
