/** Client for messages to other processes: JSON-RPC in batches over HTTP. */
import {
  JSONRPCClient,
  JSONRPCErrorCode,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { Agent } from 'undici';
import {
  getErrorMessage,
  newFailure,
  newId,
  newOk,
  requestHttp,
  type Clock,
  type Result,
  isConnectError,
} from '@anvilpaddle/common';
import {
  HEADER,
  METHODS,
  PEER_PATH,
  type MethodResult,
  type Method,
  type MethodParams,
} from '@anvilpaddle/protocol';
import type { PeerError } from './peerError';

/** Sends messages to other processes of the fleet. */
export interface PeerClient {
  /**
   * Calls a method of the process at `HOST:PORT`. Calls to one address that are made in the same
   * turn of the event loop are sent as one batch.
   */
  call<M extends Method>(
    address: string,
    method: M,
    params: MethodParams<M>,
  ): Promise<Result<MethodResult<M>, PeerError>>;
  /** Closes all connections; running calls fail. */
  close(): Promise<void>;
}

const RPC_REFUSED = 'refused';
const REFUSED_CODES = new Set<unknown>([
  RPC_REFUSED,
  JSONRPCErrorCode.InvalidRequest,
  JSONRPCErrorCode.MethodNotFound,
  JSONRPCErrorCode.InvalidParams,
]);

const getErrorKind = (error: unknown): PeerError['kind'] => {
  if (isConnectError(error)) return 'unreachable';
  if (typeof error !== 'object' || error === null || !('code' in error)) return 'no_answer';
  return REFUSED_CODES.has(error.code) ? 'refused' : 'no_answer';
};

/** Carries the error of the HTTP exchange past the JSON-RPC library, which does not pass it on. */
interface SendContext {
  error: unknown;
}

interface QueuedMessage {
  readonly payload: JSONRPCRequest;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
  readonly context: SendContext;
}

/**
 * Creates an error with a code, by which `getErrorKind` tells a refused message from a lost one.
 */
const newCodedError = (message: string, code: string): Error =>
  Object.assign(new Error(message), { code });

/** Creates a client that sends the fleet secret; each call ends within the timeout. */
export const newPeerClient = (
  secret: string,
  timeoutMs: number,
  clock: Clock,
  localAddress?: string,
): PeerClient => {
  const agent = new Agent({
    connect: { timeout: timeoutMs },
    localAddress,
    bodyTimeout: timeoutMs,
  });
  const rpcClients = new Map<string, JSONRPCClient<SendContext>>();
  // Identifies this client to receivers; after a restart the process is a new sender.
  const senderId = newId('peer');
  const sequences = new Map<string, number>();

  const post = async (address: string, payload: unknown): Promise<unknown> => {
    const sequence = (sequences.get(address) ?? 0) + 1;
    sequences.set(address, sequence);
    const response = await requestHttp(`http://${address}${PEER_PATH.rpc}`, {
      method: 'POST',
      body: JSON.stringify(payload),
      headers: {
        authorization: `Bearer ${secret}`,
        'content-type': 'application/json',
        [HEADER.exchange]: `${senderId}.${sequence}`,
      },
      dispatcher: agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const body = await response.body.text();
    if (response.statusCode !== 200) throw newCodedError(body, RPC_REFUSED);
    return JSON.parse(body);
  };

  const newRpcClient = (address: string): JSONRPCClient<SendContext> => {
    let queue: QueuedMessage[] = [];
    const client = new JSONRPCClient<SendContext>(
      (payload: JSONRPCRequest, context: SendContext) =>
        new Promise<void>((resolve, reject) => {
          queue.push({ payload, resolve, reject, context });
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the client and flush refer to each other
          if (queue.length === 1) clock.after(0, flush);
        }),
    );
    const sendBatch = async (messages: readonly QueuedMessage[]): Promise<void> => {
      const responses = await post(
        address,
        messages.map(({ payload }) => payload),
      );
      client.receive(responses as JSONRPCResponse[]);
    };
    const flush = (): void => {
      const messages = queue;
      queue = [];
      sendBatch(messages).then(
        () => messages.forEach(({ resolve }) => resolve()),
        (error: unknown) =>
          messages.forEach(({ reject, context }) => {
            Object.assign(context, { error });
            reject(error);
          }),
      );
    };
    return client;
  };

  const getRpcClient = (address: string): JSONRPCClient<SendContext> => {
    const existing = rpcClients.get(address);
    if (existing !== undefined) return existing;
    const client = newRpcClient(address);
    rpcClients.set(address, client);
    return client;
  };

  return {
    call: async (address, method, params) => {
      const context: SendContext = { error: undefined };
      try {
        const result: unknown = await getRpcClient(address)
          // Without the timeout, a call that the batch response leaves out would wait forever.
          .timeout(timeoutMs)
          .request(method, params, context);
        return newOk(METHODS[method].result.parse(result) as MethodResult<typeof method>);
      } catch (error) {
        return newFailure({
          kind: getErrorKind(context.error ?? error),
          detail: `${method} at ${address}: ${getErrorMessage(error)}`,
        });
      }
    },
    close: () => agent.destroy(),
  };
};
