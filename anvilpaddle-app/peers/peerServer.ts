import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createHash, timingSafeEqual } from 'node:crypto';
import { JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0';
import {
  BYTES_PER_MIB,
  listen,
  readBody,
  sendJson,
  type Address,
  type Logger,
} from '@anvilpaddle/common';
import { METHODS, PEER_PATH, type Answer, type Method, type Params } from '@anvilpaddle/protocol';

const MAX_MESSAGE_BYTES = 4 * BYTES_PER_MIB;

/** Handlers of the methods that a process answers. */
export type Handlers = {
  readonly [M in Method]?: (params: Params<M>) => Answer<M> | Promise<Answer<M>>;
};

/** Handler of an HTTP request that carries bytes rather than messages. */
export type RawHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Server for messages from other processes of the fleet. */
export interface PeerServer {
  readonly address: Address;
  /** Messages refused so far, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
  close(): Promise<void>;
}

const getDigest = (text: string): Buffer => createHash('sha256').update(text).digest();

const getSecretCheck = (secrets: readonly string[]) => {
  const digests = secrets.map((secret) => getDigest(`Bearer ${secret}`));
  return (header: string | undefined): boolean => {
    const digest = getDigest(header ?? '');
    return digests.some((known) => timingSafeEqual(known, digest));
  };
};

const newRpcServer = (handlers: Handlers): JSONRPCServer => {
  const server = new JSONRPCServer();
  (Object.keys(handlers) as Method[]).forEach((method) => {
    const handler = handlers[method] as (params: unknown) => unknown;
    server.addMethod(method, async (params) => handler(METHODS[method].params.parse(params)));
  });
  return server;
};

/** Starts the server; requests without an accepted fleet secret are refused and counted. */
export const newPeerServer = async (
  address: Address,
  secrets: readonly string[],
  handlers: Handlers,
  rawHandlers: Readonly<Record<string, RawHandler>>,
  log: Logger,
): Promise<PeerServer> => {
  const isTrusted = getSecretCheck(secrets);
  const rpc = newRpcServer(handlers);
  const refusals: Record<string, number> = {};

  const refuse = (response: ServerResponse, status: number, reason: string): void => {
    refusals[reason] = (refusals[reason] ?? 0) + 1;
    sendJson(response, status, { error: reason }, { connection: 'close' });
  };

  const handleRpc = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request, MAX_MESSAGE_BYTES);
    if (!body.ok) {
      refuse(response, 413, body.error.kind);
      return;
    }
    let message: JSONRPCRequest | JSONRPCRequest[];
    try {
      message = JSON.parse(String(body.value)) as JSONRPCRequest | JSONRPCRequest[];
    } catch {
      refuse(response, 400, 'malformed');
      return;
    }
    const answer = await (Array.isArray(message) ? rpc.receive(message) : rpc.receive(message));
    sendJson(response, 200, answer);
  };

  const server = createServer((request, response) => {
    if (!isTrusted(request.headers.authorization)) {
      refuse(response, 401, 'secret');
      return;
    }
    const path = request.url ?? '/';
    const raw = rawHandlers[path];
    if (raw !== undefined) {
      raw(request, response);
    } else if (path === PEER_PATH.rpc) {
      handleRpc(request, response).catch((fault: unknown) => {
        log.warn({ err: fault }, 'message between processes failed');
        response.destroy();
      });
    } else {
      refuse(response, 404, 'path');
    }
  });
  const bound = await listen(server, address);
  return {
    address: bound,
    refusals,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
