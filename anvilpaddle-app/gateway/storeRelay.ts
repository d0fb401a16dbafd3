/**
 * Relays store calls between gateways. A gateway that can't reach the store sends its calls through
 * a peer, which forwards them directly to the store and never through a third gateway.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import {
  BODY_DELIMITER,
  formatAddress,
  getAnnouncedBytes,
  getBodyDelimiter,
  getErrorMessage,
  getRandomElement,
  listen,
  newFailure,
  newOk,
  NoRoomError,
  readBody,
  readStream,
  requestHttp,
  sendJson,
  BYTES_PER_MIB,
  MS_PER_MINUTE,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
  type Random,
  type Result,
  type Room,
  type StoredRooms,
} from '@anvilpaddle/common';
import {
  getPlatformErrorMessage,
  type HttpResponse,
  type HttpClient,
  type PlatformError,
} from '@anvilpaddle/platform';

const STATUS_HEADER = 'x-store-status';
const TIMEOUT_HEADER = 'x-store-timeout-ms';
/** Bytes of a response that may be large, for which the peer takes room before it passes the call on. */
const EXPECTED_BYTES_HEADER = 'x-store-expected-bytes';
const STORE_UNREACHABLE_STATUS = 503;
const MAX_BODY_BYTES = 16 * BYTES_PER_MIB;
/** Time beyond a call's own timeout for the round trip to the peer. */
const RELAY_OVERHEAD_MS = 200;
/** Time between probes of the direct path while calls go through peers. */
const PROBE_INTERVAL_MS = MS_PER_SECOND;
/**
 * Age of the last answer up to which the store counts as answering. The configuration is read from
 * it every 400 ms.
 */
const STORE_ANSWER_MAX_AGE_MS = 900;
/** Time for which no call goes through peers after a peer has not reached the store either. */
const PEER_BACKOFF_MS = 300;

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

/** Timeout that a peer asks for its call, within reason. */
const getTimeoutMs = (text: string | undefined): number => {
  const timeoutMs = Number(text ?? MS_PER_SECOND);
  return Number.isFinite(timeoutMs)
    ? Math.min(Math.max(1, timeoutMs), MS_PER_MINUTE)
    : MS_PER_SECOND;
};

/** Bytes that a peer's call holds here: its body, and what it expects of the store. */
const getCallBytes = (message: IncomingMessage): number => {
  const expectedBytes = Number(getText(message.headers[EXPECTED_BYTES_HEADER]) ?? 0);
  const bytes = getAnnouncedBytes(message) + (Number.isFinite(expectedBytes) ? expectedBytes : 0);
  return Math.min(Math.max(0, bytes), MAX_BODY_BYTES);
};

/** Takes room for a peer's call until the peer has the answer; undefined if there is none in time. */
const takeRoom = async (
  rooms: StoredRooms,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<Room | undefined> => {
  const timeoutMs = getTimeoutMs(getText(message.headers[TIMEOUT_HEADER]));
  const left = new AbortController();
  response.once('close', () => left.abort());
  try {
    const room = await rooms.take(getCallBytes(message), { timeoutMs, signal: left.signal });
    response.once('close', room.release);
    if (response.closed) room.release();
    return room;
  } catch (error) {
    if (!(error instanceof NoRoomError)) throw error;
    return undefined;
  }
};

/** Forwards a peer's call to the store and returns the store's answer. */
const relayPeerCall = async (
  client: HttpClient,
  rooms: StoredRooms,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const room = await takeRoom(rooms, message, response);
  if (room === undefined) {
    const error: PlatformError = { kind: 'unavailable', detail: 'the relay has no room' };
    sendJson(response, STORE_UNREACHABLE_STATUS, error, { connection: 'close' });
    return;
  }
  const body = await readBody(message, MAX_BODY_BYTES);
  if (!body.ok || !isMethod(message.method)) {
    response.destroy();
    return;
  }
  const contentType = message.headers['content-type'];
  const result = await client.call(
    message.method,
    message.url ?? '/',
    message.method === 'GET' || message.method === 'DELETE' ? undefined : body.value,
    {
      ...(contentType === undefined ? {} : { contentType }),
      timeoutMs: getTimeoutMs(getText(message.headers[TIMEOUT_HEADER])),
    },
  );
  if (!result.ok) {
    sendJson(response, STORE_UNREACHABLE_STATUS, result.error);
    return;
  }
  response.writeHead(200, {
    [STATUS_HEADER]: String(result.value.status),
    'content-length': String(result.value.body.length),
  });
  response.end(result.value.body);
};

/** Serves the store calls of peers over this gateway's direct path to the store. */
export const serveStoreRelay = async (
  address: Address,
  client: HttpClient,
  rooms: StoredRooms,
  log: Logger,
): Promise<Server> => {
  const server = createServer((message, response) => {
    relayPeerCall(client, rooms, message, response).catch((error: unknown) => {
      log.warn({ reason: getErrorMessage(error) }, 'store relay failed');
      response.destroy();
    });
  });
  await listen(server, address);
  return server;
};

/** The peer may have sent the call to the store. */
const INVALID_RELAY_RESPONSE: PlatformError = {
  kind: 'unknown',
  detail: 'invalid response of a store relay',
};

const parseError = (body: Buffer): PlatformError => {
  try {
    return errorSchema.parse(JSON.parse(body.toString()));
  } catch {
    return INVALID_RELAY_RESPONSE;
  }
};

/** Sends one store call through a peer. */
const callPeer = async (
  peer: Address,
  [method, path, body, options = {}]: Parameters<HttpClient['call']>,
  defaultTimeoutMs: number,
): Promise<Result<HttpResponse, PlatformError>> => {
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  try {
    const response = await requestHttp(`http://${formatAddress(peer)}${path}`, {
      method,
      body: body ?? null,
      headers: {
        [TIMEOUT_HEADER]: String(timeoutMs),
        ...(options.expectedBytes === undefined
          ? {}
          : { [EXPECTED_BYTES_HEADER]: String(options.expectedBytes) }),
        ...(options.contentType === undefined ? {} : { 'content-type': options.contentType }),
      },
      signal: AbortSignal.timeout(timeoutMs + RELAY_OVERHEAD_MS),
    });
    const content = await readStream(response.body, MAX_BODY_BYTES);
    if (content === undefined) return newFailure(INVALID_RELAY_RESPONSE);
    const status = getText(response.headers[STATUS_HEADER]);
    // A peer always sends a length: without one, the end of the content does not show.
    const isDelimited = getBodyDelimiter(response.headers) !== BODY_DELIMITER.close;
    if (!isDelimited) return newFailure(INVALID_RELAY_RESPONSE);
    if (response.statusCode !== 200 || status === undefined) return newFailure(parseError(content));
    return newOk({ status: Number(status), body: content });
  } catch (error) {
    return newFailure({ kind: 'unknown', detail: `relay: ${getErrorMessage(error)}` });
  }
};

/** Paths from a gateway to the store: directly and through peers. */
export interface StorePaths {
  readonly direct: HttpClient;
  /** URL path of a cheap call that shows whether the store is reachable directly. */
  readonly probePath: string;
  /** Addresses of peers that can relay calls. */
  readonly getPeers: () => readonly Address[];
  /** Timeout of calls that set none, in milliseconds. */
  readonly timeoutMs: number;
}

/** Store client that uses both paths and reports their state. */
export interface RelayedClient extends HttpClient {
  /** Whether a call was answered recently over either path. */
  isStoreAnswering(): boolean;
  /** Whether the last call over the direct path was answered. */
  isDirectPathUp(): boolean;
}

type Call = Parameters<HttpClient['call']>;
type StoreResult = Result<HttpResponse, PlatformError>;

/** Whether a failed call may be repeated: it is read-only, or the store has not applied it. */
const isSafeToRetry = ([method]: Call, error: PlatformError): boolean =>
  method === 'GET' || error.kind === 'unavailable' || error.kind === 'limited';

/** Creates a client that sends calls through a peer while the direct path fails. */
export const newRelayedClient = (
  { direct, probePath, getPeers, timeoutMs }: StorePaths,
  clock: Clock,
  random: Random,
  log: Logger,
): RelayedClient => {
  let isDirectPathDown = false;
  let lastAnswerMs = clock.monotonic();
  let nextProbeMs = 0;
  let peerBackoffUntilMs = 0;

  const callDirect = async (call: Call): Promise<StoreResult> => {
    const result = await direct.call(...call);
    if (result.ok && isDirectPathDown) log.info('own path to the store regained');
    if (!result.ok && !isDirectPathDown) {
      log.warn({ reason: getPlatformErrorMessage(result.error) }, 'own path to the store lost');
    }
    isDirectPathDown = !result.ok;
    return result;
  };

  /** Probes the direct path in the background, so that no call waits for an unresponsive store. */
  const probe = (): void => {
    const nowMs = clock.monotonic();
    if (nowMs < nextProbeMs) return;
    nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    void callDirect(['GET', probePath]);
  };

  const callThroughPeer = async (call: Call): Promise<StoreResult | undefined> => {
    if (clock.monotonic() < peerBackoffUntilMs) return undefined;
    const peer = getRandomElement(getPeers(), random);
    if (peer === undefined) return undefined;
    const result = await callPeer(peer, call, timeoutMs);
    if (!result.ok) peerBackoffUntilMs = clock.monotonic() + PEER_BACKOFF_MS;
    return result;
  };

  const callDirectOrRelayed = async (call: Call): Promise<StoreResult> => {
    if (isDirectPathDown) {
      probe();
      const result = await callThroughPeer(call);
      if (result?.ok === true) return result;
      if (result !== undefined && !isSafeToRetry(call, result.error)) return result;
    }
    const result = await callDirect(call);
    if (result.ok || !isSafeToRetry(call, result.error)) return result;
    return (await callThroughPeer(call)) ?? result;
  };

  return {
    call: async (...call) => {
      const result = await callDirectOrRelayed(call);
      if (result.ok) lastAnswerMs = clock.monotonic();
      return result;
    },
    isStoreAnswering: () => clock.monotonic() - lastAnswerMs < STORE_ANSWER_MAX_AGE_MS,
    isDirectPathUp: () => !isDirectPathDown,
    close: () => direct.close(),
  };
};
