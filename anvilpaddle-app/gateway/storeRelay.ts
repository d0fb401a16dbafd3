/**
 * Store calls of a gateway that can't reach the store go through one of its peers: each gateway
 * passes on the calls of others, and only by its own path.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { request } from 'undici';
import { z } from 'zod';
import {
  formatAddress,
  getErrorMessage,
  getRandomElement,
  listen,
  newFailure,
  newOk,
  readBody,
  sendJson,
  BYTES_PER_MIB,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
  type Random,
  type Result,
} from '@anvilpaddle/common';
import {
  getPlatformErrorText,
  type Answer,
  type HttpClient,
  type PlatformError,
} from '@anvilpaddle/platform';

const STATUS_HEADER = 'x-store-status';
const TIMEOUT_HEADER = 'x-store-timeout-ms';
const NOT_REACHED = 503;
const MAX_BODY_BYTES = 16 * BYTES_PER_MIB;
/** Time beyond a call's own timeout for the way to the peer and back. */
const RELAY_GRACE_MS = 200;
/** Time between two tries of the own path while calls go through peers. */
const PROBE_MS = MS_PER_SECOND;
/** Time since the last answer up to which the store counts as answering; it is read each 400 ms. */
const ANSWERED_MS = 900;
/** Time for which no peer is asked after one has not reached the store either. */
const PEERS_REST_MS = 300;

const errorSchema = z.union([
  z.object({ kind: z.enum(['unavailable', 'unknown', 'invalid_answer']), detail: z.string() }),
  z.object({ kind: z.literal('limited'), retryAfterMs: z.number() }),
]);

type Method = Parameters<HttpClient['call']>[0];
const METHODS: readonly string[] = ['GET', 'PUT', 'POST', 'DELETE'] satisfies Method[];

const isMethod = (text: string | undefined): text is Method =>
  text !== undefined && METHODS.includes(text);

const getText = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** Passes a peer's call on to the store and its answer back. */
const passOn = async (
  client: HttpClient,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const body = await readBody(message, MAX_BODY_BYTES);
  if (!body.ok || !isMethod(message.method)) {
    response.destroy();
    return;
  }
  const contentType = message.headers['content-type'];
  const answer = await client.call(
    message.method,
    message.url ?? '/',
    message.method === 'GET' || message.method === 'DELETE' ? undefined : body.value,
    {
      ...(contentType === undefined ? {} : { contentType }),
      timeoutMs: Number(getText(message.headers[TIMEOUT_HEADER]) ?? MS_PER_SECOND),
    },
  );
  if (!answer.ok) {
    sendJson(response, NOT_REACHED, answer.error);
    return;
  }
  response.writeHead(200, {
    [STATUS_HEADER]: String(answer.value.status),
    'content-length': String(answer.value.body.length),
  });
  response.end(answer.value.body);
};

/** Serves the calls of peers by this gateway's own path to the store. */
export const serveStoreRelay = async (
  address: Address,
  client: HttpClient,
  log: Logger,
): Promise<Server> => {
  const server = createServer((message, response) => {
    passOn(client, message, response).catch((fault: unknown) => {
      log.warn({ reason: getErrorMessage(fault) }, 'relay failed');
      response.destroy();
    });
  });
  await listen(server, address);
  return server;
};

const parseError = (body: Buffer): PlatformError => {
  try {
    return errorSchema.parse(JSON.parse(body.toString()));
  } catch {
    return { kind: 'invalid_answer', detail: 'unreadable answer of a relay' };
  }
};

/** One call through a peer. */
const callPeer = async (
  peer: Address,
  [method, path, body, options = {}]: Parameters<HttpClient['call']>,
  usualTimeoutMs: number,
): Promise<Result<Answer, PlatformError>> => {
  const timeoutMs = options.timeoutMs ?? usualTimeoutMs;
  try {
    const answer = await request(`http://${formatAddress(peer)}${path}`, {
      method,
      body: body ?? null,
      headers: {
        [TIMEOUT_HEADER]: String(timeoutMs),
        ...(options.contentType === undefined ? {} : { 'content-type': options.contentType }),
      },
      signal: AbortSignal.timeout(timeoutMs + RELAY_GRACE_MS),
    });
    const content = Buffer.from(await answer.body.arrayBuffer());
    const status = getText(answer.headers[STATUS_HEADER]);
    if (answer.statusCode !== 200 || status === undefined) return newFailure(parseError(content));
    return newOk({ status: Number(status), body: content });
  } catch (fault) {
    return newFailure({ kind: 'unknown', detail: `relay: ${getErrorMessage(fault)}` });
  }
};

/** How a gateway reaches the store. */
export interface StorePaths {
  readonly direct: HttpClient;
  /** Path of a cheap call that shows whether the direct way works. */
  readonly probePath: string;
  /** Addresses of peers that pass calls on. */
  readonly getPeers: () => readonly Address[];
  /** Usual timeout of a call, in milliseconds. */
  readonly timeoutMs: number;
}

/** Client that knows whether the store answers at all. */
export interface RelayedClient extends HttpClient {
  /** Whether any call was answered of late, by either way. */
  isStoreAnswering(): boolean;
  /** Whether the last call by the own path was answered. */
  isDirectPathUp(): boolean;
}

type Call = Parameters<HttpClient['call']>;
type Reply = Result<Answer, PlatformError>;

/** Whether a call that failed in this way may be made again: nothing was done, or it changes nothing. */
const isRepeatable = ([method]: Call, error: PlatformError): boolean =>
  method === 'GET' || error.kind === 'unavailable' || error.kind === 'limited';

/** Client that takes the way through a peer while its own way to the store fails. */
export const newRelayedClient = (
  { direct, probePath, getPeers, timeoutMs }: StorePaths,
  clock: Clock,
  random: Random,
  log: Logger,
): RelayedClient => {
  let isLost = false;
  let answeredMs = clock.monotonic();
  let nextProbeMs = 0;
  let peersRestUntilMs = 0;

  const callDirect = async (call: Call): Promise<Reply> => {
    const reply = await direct.call(...call);
    if (reply.ok && isLost) log.info('own path to the store regained');
    if (!reply.ok && !isLost) {
      log.warn({ reason: getPlatformErrorText(reply.error) }, 'own path to the store lost');
    }
    isLost = !reply.ok;
    return reply;
  };

  /** Tries the own path again beside the calls, so that none waits for a silent store. */
  const probe = (): void => {
    const nowMs = clock.monotonic();
    if (nowMs < nextProbeMs) return;
    nextProbeMs = nowMs + PROBE_MS;
    void callDirect(['GET', probePath]);
  };

  const callThroughPeer = async (call: Call): Promise<Reply | undefined> => {
    if (clock.monotonic() < peersRestUntilMs) return undefined;
    const peer = getRandomElement(getPeers(), random);
    if (peer === undefined) return undefined;
    const reply = await callPeer(peer, call, timeoutMs);
    if (!reply.ok) peersRestUntilMs = clock.monotonic() + PEERS_REST_MS;
    return reply;
  };

  const callEitherWay = async (call: Call): Promise<Reply> => {
    if (isLost) {
      probe();
      const reply = await callThroughPeer(call);
      if (reply?.ok === true) return reply;
      if (reply !== undefined && !isRepeatable(call, reply.error)) return reply;
    }
    const reply = await callDirect(call);
    if (reply.ok || !isRepeatable(call, reply.error)) return reply;
    return (await callThroughPeer(call)) ?? reply;
  };

  return {
    call: async (...call) => {
      const reply = await callEitherWay(call);
      if (reply.ok) answeredMs = clock.monotonic();
      return reply;
    },
    isStoreAnswering: () => clock.monotonic() - answeredMs < ANSWERED_MS,
    isDirectPathUp: () => !isLost,
    close: () => direct.close(),
  };
};
