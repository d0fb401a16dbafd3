/** Stand-in of a model engine with an HTTP API for completions. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import {
  closeServer,
  BYTES_PER_MIB,
  listen,
  readBody,
  sendJson,
  type Address,
} from '@anvilpaddle/common';
import {
  respondOrFail,
  applyDelay,
  failBeforeEffect,
  newFaults,
  type Fault,
  type Faults,
} from './faults';
import { getResponseTokens } from './tokens';

const MAX_BODY_BYTES = 16 * BYTES_PER_MIB;
const DEFAULT_MAX_TOKENS = 16;
const OTHER_ATTEMPT = `att_${'0'.repeat(24)}`;

/** Models, capacity and speed of an engine stand-in. */
export interface EngineOptions {
  readonly models: readonly string[];
  /** Number of requests decoded concurrently; further requests wait in the engine's own queue. */
  readonly slots: number;
  /** Time from admission to the first token, in milliseconds. */
  readonly prefillMs: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs: number;
}

/** One request as the engine received it and its progress; tests assert on these values. */
export interface EngineRequest {
  readonly attempt: string;
  readonly model: string;
  readonly receivedMs: number;
  readonly headers: Readonly<Record<string, string>>;
  startedMs: number | undefined;
  tokens: number;
  state: 'waiting' | 'running' | 'finished' | 'cancelled';
}

/** Stand-in of a model engine with continuous batching. */
export interface EngineStandIn {
  readonly url: string;
  readonly faults: Faults;
  readonly requests: EngineRequest[];
  /** Orders accepted at `/orders`, each with its fencing number, in the order of their arrival. */
  readonly orders: { fence: number; kind: string; model: string; version: string }[];
  close(): Promise<void>;
}

interface Completion {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly isChat: boolean;
  /** Number of tokens that the caller already has; generation resumes after them. */
  readonly resumeAt: number;
}

const parseCompletion = (path: string, body: Buffer): Completion => {
  const json = JSON.parse(String(body)) as Record<string, unknown>;
  const maxTokens = json.max_tokens ?? json.max_completion_tokens;
  const resume = json.resume as { tokens?: number } | undefined;
  return {
    model: String(json.model),
    prompt: JSON.stringify(json.messages ?? json.prompt),
    maxTokens: typeof maxTokens === 'number' ? maxTokens : DEFAULT_MAX_TOKENS,
    stream: json.stream === true,
    isChat: path.endsWith('/chat/completions'),
    resumeAt: resume?.tokens ?? 0,
  };
};

const newStreamChunk = (completion: Completion, id: string, token: string | undefined): object => {
  const finish = token === undefined ? 'stop' : null;
  const choice = completion.isChat
    ? { index: 0, delta: token === undefined ? {} : { content: token }, finish_reason: finish }
    : { index: 0, text: token ?? '', finish_reason: finish };
  return {
    id,
    object: completion.isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model: completion.model,
    choices: [choice],
  };
};

const newCompleteResponse = (
  completion: Completion,
  id: string,
  tokens: readonly string[],
): object => {
  const text = tokens.join('');
  return {
    id,
    object: completion.isChat ? 'chat.completion' : 'text_completion',
    created: 0,
    model: completion.model,
    choices: [
      completion.isChat
        ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
        : { index: 0, text, finish_reason: 'stop' },
    ],
    usage: {
      prompt_tokens: 1,
      completion_tokens: tokens.length,
      total_tokens: tokens.length + 1,
    },
  };
};

/** Starts the stand-in on an address; port 0 picks a free port. */
export const newEngineStandIn = async (
  address: Address,
  options: EngineOptions,
): Promise<EngineStandIn> => {
  const faults = newFaults();
  const requests: EngineRequest[] = [];
  const orders: EngineStandIn['orders'] = [];
  const queue: (() => void)[] = [];
  let running = 0;

  const startWaiting = (): void => {
    while (running < options.slots) {
      const start = queue.shift();
      if (start === undefined) return;
      running += 1;
      start();
    }
  };

  const decode = (
    record: EngineRequest,
    completion: Completion,
    response: ServerResponse,
    fault: Fault | undefined,
  ): void => {
    const tokens = getResponseTokens(completion.prompt, completion.maxTokens);
    const id = `cmpl-${fault?.kind === 'other_id' ? OTHER_ATTEMPT : record.attempt}`;
    const isCut = fault?.kind === 'cut_chunked' || fault?.kind === 'cut_answer';
    const cutPosition =
      completion.stream && (isCut || fault?.kind === 'end_early')
        ? completion.resumeAt + (fault.afterTokens ?? 0)
        : Infinity;
    let position = completion.resumeAt;
    let timer: NodeJS.Timeout | undefined;
    const freeSlot = (state: EngineRequest['state']): void => {
      if (record.state !== 'running') return;
      clearTimeout(timer);
      record.state = state;
      running -= 1;
      startWaiting();
    };
    const finish = (): void => {
      freeSlot('finished');
      if (!completion.stream) {
        void respondOrFail(fault, response, newCompleteResponse(completion, id, tokens));
        return;
      }
      response.write(`data: ${JSON.stringify(newStreamChunk(completion, id, undefined))}\n\n`);
      response.end('data: [DONE]\n\n');
    };
    const endEarly = (token: string | undefined): void => {
      freeSlot('cancelled');
      if (fault?.kind === 'end_early') {
        response.end();
        return;
      }
      const event = `data: ${JSON.stringify(newStreamChunk(completion, id, token))}\n\n`;
      response.write(event.slice(0, event.length / 2), () => response.destroy());
    };
    const pausePosition = completion.resumeAt + (fault?.afterTokens ?? 0);
    let isPauseDue = fault?.kind === 'pause' || fault?.kind === 'pause_inside';
    /** Sends an event, with a silence inside it if that is the fault. */
    const sendEvent = (event: string, onSent: () => void): void => {
      if (!isPauseDue || position <= pausePosition) {
        response.write(event);
        onSent();
        return;
      }
      isPauseDue = false;
      response.write(event.slice(0, event.length / 2));
      timer = setTimeout(() => sendEvent(event.slice(event.length / 2), onSent), fault?.delayMs);
    };
    const generateToken = (): void => {
      if (isPauseDue && fault?.kind === 'pause' && position === pausePosition) {
        isPauseDue = false;
        timer = setTimeout(generateToken, fault.delayMs);
        return;
      }
      if (position >= cutPosition) {
        endEarly(tokens[position]);
        return;
      }
      if (position >= tokens.length) {
        finish();
        return;
      }
      const token = tokens[position];
      position += 1;
      record.tokens += 1;
      const scheduleNext = (): void => {
        timer = setTimeout(generateToken, options.tokenMs);
      };
      if (!completion.stream) {
        scheduleNext();
        return;
      }
      const event = `data: ${JSON.stringify(newStreamChunk(completion, id, token))}\n\n`;
      sendEvent(event, scheduleNext);
    };
    record.state = 'running';
    record.startedMs = performance.now();
    response.on('close', () => freeSlot('cancelled'));
    if (completion.stream) response.writeHead(200, { 'content-type': 'text/event-stream' });
    if (completion.stream && isPauseDue) response.flushHeaders();
    timer = setTimeout(generateToken, options.prefillMs);
  };

  const serveCompletion = (
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    fault: Fault | undefined,
  ) => {
    const completion = parseCompletion(request.url ?? '', body);
    if (!options.models.includes(completion.model)) {
      sendJson(response, 404, { error: { message: `model ${completion.model} is not loaded` } });
      return;
    }
    const record: EngineRequest = {
      attempt: String(request.headers['x-request-id'] ?? ''),
      model: completion.model,
      receivedMs: performance.now(),
      headers: request.headers as Record<string, string>,
      startedMs: undefined,
      tokens: 0,
      state: 'waiting',
    };
    requests.push(record);
    const start = (): void => decode(record, completion, response, fault);
    response.on('close', () => {
      const index = queue.indexOf(start);
      if (index < 0) return;
      queue.splice(index, 1);
      record.state = 'cancelled';
    });
    queue.push(start);
    startWaiting();
  };

  const serveOrder = (response: ServerResponse, body: Buffer): void => {
    const order = JSON.parse(String(body)) as EngineStandIn['orders'][number];
    orders.push(order);
    sendJson(response, 200, { accepted: true });
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const path = request.url ?? '/';
    const fault = faults.take(path);
    if (fault?.kind === 'reset_unread') {
      request.socket.resetAndDestroy();
      return;
    }
    const body = await readBody(request, MAX_BODY_BYTES);
    if (!body.ok) return;
    await applyDelay(fault);
    if (failBeforeEffect(fault, request, response)) return;
    if (path === '/load') {
      sendJson(response, 200, { running, waiting: queue.length, slots: options.slots });
    } else if (path === '/v1/models') {
      sendJson(response, 200, { data: options.models.map((id) => ({ id, object: 'model' })) });
    } else if (path === '/orders') {
      serveOrder(response, body.value);
    } else {
      serveCompletion(request, response, body.value, fault);
      if (fault?.kind === 'drop_after') request.socket.destroy();
    }
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  const bound = await listen(server, address);
  return {
    url: `http://${bound.host}:${bound.port}`,
    faults,
    requests,
    orders,
    close: () => closeServer(server),
  };
};
