/**
 * Server for messages from other processes: JSON-RPC over HTTP, authenticated by the fleet secret.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createHash, timingSafeEqual } from 'node:crypto';
import { JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import { z } from 'zod';
import {
  closeServer,
  BYTES_PER_KIB,
  BYTES_PER_MIB,
  listen,
  newFailure,
  newOk,
  readBody,
  sendJson,
  type Address,
  type BodyError,
  type Logger,
  type Result,
} from '@anvilpaddle/common';
import {
  HEADER,
  METHODS,
  PEER_PATH,
  type MethodResult,
  type Method,
  type MethodParams,
} from '@anvilpaddle/protocol';
import { newRefusalCounter, type RefusalCounter } from './refusalCounter';
import { newReplayWindow } from './replayWindow';

const MAX_MESSAGE_BYTES = 4 * BYTES_PER_MIB;
// A request for an attempt carries the caller's path and headers in a header of its own, encoded
// and therefore longer, so that this limit must exceed the one for callers.
const MAX_HEADER_BYTES = 64 * BYTES_PER_KIB;
const MAX_MESSAGES_PER_BATCH = 10_000;
const REPLAY_BOUNDS = { width: 256, maxSenders: 10_000 } as const;
const EXCHANGE_PATTERN = /^([\w-]{1,80})\.(\d{1,15})$/;

/** Handlers of the methods that a process implements. */
export type MethodHandlers = {
  readonly [M in Method]?: (params: MethodParams<M>) => MethodResult<M> | Promise<MethodResult<M>>;
};

/** Handler of an HTTP request whose body is not a batch of messages. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Server for messages from other processes of the fleet. */
export interface PeerServer {
  readonly address: Address;
  /** Messages refused so far, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
  close(): Promise<void>;
}

/** Why an HTTP request with all its messages was refused. */
interface ExchangeRefusal {
  readonly status: number;
  readonly reason: BodyError['kind'] | 'malformed' | 'replayed';
}

const messageSchema = z.looseObject({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string(), z.number()]),
  method: z.string(),
});
const messagesSchema = z.union([
  messageSchema.transform((message) => [message]),
  z.array(messageSchema).min(1).max(MAX_MESSAGES_PER_BATCH),
]);
type Messages = z.infer<typeof messagesSchema>;

const getDigest = (text: string): Buffer => createHash('sha256').update(text).digest();

const newSecretCheck = (secrets: readonly string[]) => {
  const digests = secrets.map((secret) => getDigest(`Bearer ${secret}`));
  return (header: string | undefined): boolean => {
    const digest = getDigest(header ?? '');
    // Compares with every secret, so that the duration does not reveal which one matched.
    return digests.filter((known) => timingSafeEqual(known, digest)).length > 0;
  };
};

const parseMessages = (body: Buffer): Messages | undefined => {
  try {
    const parsed = messagesSchema.safeParse(JSON.parse(String(body)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

const newRpcServer = (
  handlers: MethodHandlers,
  refusals: RefusalCounter,
  log: Logger,
): JSONRPCServer => {
  const server = new JSONRPCServer({
    errorListener: (_message: string, error: unknown) => {
      if (!(error instanceof JSONRPCErrorException)) log.warn({ err: error }, 'handler failed');
    },
  });
  (Object.keys(handlers) as Method[]).forEach((method) => {
    const handler = handlers[method] as (params: unknown) => unknown;
    server.addMethod(method, async (params) => {
      const parsed = METHODS[method].params.safeParse(params);
      if (parsed.success) return handler(parsed.data);
      refusals.add('params');
      throw new JSONRPCErrorException('invalid params', JSONRPCErrorCode.InvalidParams);
    });
  });
  return server;
};

/** Starts the server; requests without an accepted fleet secret are refused and counted. */
export const newPeerServer = async (
  address: Address,
  secrets: readonly string[],
  handlers: MethodHandlers,
  httpHandlers: Readonly<Record<string, HttpHandler>>,
  log: Logger,
): Promise<PeerServer> => {
  const isAuthorized = newSecretCheck(secrets);
  const refusals = newRefusalCounter('message between processes', log);
  const rpc = newRpcServer(handlers, refusals, log);
  const replayWindow = newReplayWindow(REPLAY_BOUNDS);

  const refuse = (response: ServerResponse, status: number, reason: string): void => {
    refusals.add(reason);
    if (response.destroyed) return;
    sendJson(response, status, { error: reason }, { connection: 'close' });
  };

  /** Records the sequence number; false for a replay, undefined when the number is malformed. */
  const acceptSequence = (request: IncomingMessage): boolean | undefined => {
    const match = EXCHANGE_PATTERN.exec(String(request.headers[HEADER.exchange]));
    if (match?.[1] === undefined) return undefined;
    return replayWindow.accept(match[1], Number(match[2]));
  };

  const readMessages = async (
    request: IncomingMessage,
  ): Promise<Result<Messages, ExchangeRefusal>> => {
    const body = await readBody(request, MAX_MESSAGE_BYTES);
    if (!body.ok) {
      const { kind } = body.error;
      return newFailure({ status: kind === 'body_too_large' ? 413 : 400, reason: kind });
    }
    const messages = parseMessages(body.value);
    const isAccepted = acceptSequence(request);
    if (messages === undefined || isAccepted === undefined) {
      return newFailure({ status: 400, reason: 'malformed' });
    }
    return isAccepted ? newOk(messages) : newFailure({ status: 409, reason: 'replayed' });
  };

  const handleRpc = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const messages = await readMessages(request);
    if (!messages.ok) {
      refuse(response, messages.error.status, messages.error.reason);
      return;
    }
    messages.value
      .filter(({ method }) => !rpc.hasMethod(method))
      .forEach(() => refusals.add('method'));
    sendJson(response, 200, await rpc.receive(messages.value));
  };

  const serve = (request: IncomingMessage, response: ServerResponse): void => {
    if (!isAuthorized(request.headers.authorization)) {
      refuse(response, 401, 'secret');
      return;
    }
    const path = request.url ?? '/';
    const httpHandler = httpHandlers[path];
    if (httpHandler !== undefined) {
      httpHandler(request, response);
    } else if (path === PEER_PATH.rpc) {
      handleRpc(request, response).catch((error: unknown) => {
        log.warn({ err: error }, 'request with messages between processes failed');
        response.destroy();
      });
    } else {
      refuse(response, 404, 'path');
    }
  };

  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, serve);
  const boundAddress = await listen(server, address);
  return {
    address: boundAddress,
    refusals: refusals.counts,
    close: () => closeServer(server),
  };
};
