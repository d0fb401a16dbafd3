import {
  JSONRPCClient,
  JSONRPCErrorCode,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { Agent, request } from 'undici';
import {
  getErrorMessage,
  newFailure,
  newId,
  newOk,
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
  /** Calls a method at `host:port`; messages of one turn to one address share an exchange. */
  call<M extends Method>(
    address: string,
    method: M,
    params: MethodParams<M>,
  ): Promise<Result<MethodResult<M>, PeerError>>;
  close(): Promise<void>;
}

const RPC_REFUSED = 'refused';
const REFUSED_CODES = new Set<unknown>([
  RPC_REFUSED,
  JSONRPCErrorCode.InvalidRequest,
  JSONRPCErrorCode.MethodNotFound,
  JSONRPCErrorCode.InvalidParams,
]);

const getErrorKind = (fault: unknown): PeerError['kind'] => {
  if (isConnectError(fault)) return 'unreachable';
  if (typeof fault !== 'object' || fault === null || !('code' in fault)) return 'no_answer';
  return REFUSED_CODES.has(fault.code) ? 'refused' : 'no_answer';
};

/** What the library's error leaves out: why a message could not be sent. */
interface Sending {
  fault: unknown;
}

interface Message {
  readonly payload: JSONRPCRequest;
  readonly resolve: () => void;
  readonly reject: (fault: unknown) => void;
  readonly sending: Sending;
}

/** Error that keeps the code of its cause, so that the caller can tell what was sent. */
const newCodedError = (message: string, code: string): Error =>
  Object.assign(new Error(message), { code });

/** Client that sends the fleet secret; each call ends within the timeout in milliseconds. */
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
  const links = new Map<string, JSONRPCClient<Sending>>();
  // Names this client at every receiver; a restarted process is another sender.
  const sender = newId('peer');
  const sequences = new Map<string, number>();

  const post = async (address: string, payload: unknown): Promise<unknown> => {
    const sequence = (sequences.get(address) ?? 0) + 1;
    sequences.set(address, sequence);
    const answer = await request(`http://${address}${PEER_PATH.rpc}`, {
      method: 'POST',
      body: JSON.stringify(payload),
      headers: {
        authorization: `Bearer ${secret}`,
        'content-type': 'application/json',
        [HEADER.exchange]: `${sender}.${sequence}`,
      },
      dispatcher: agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const body = await answer.body.text();
    if (answer.statusCode !== 200) throw newCodedError(body, RPC_REFUSED);
    return JSON.parse(body);
  };

  const newLink = (address: string): JSONRPCClient<Sending> => {
    let waiting: Message[] = [];
    const client = new JSONRPCClient<Sending>(
      (payload: JSONRPCRequest, sending: Sending) =>
        new Promise<void>((resolve, reject) => {
          waiting.push({ payload, resolve, reject, sending });
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two refer to each other
          if (waiting.length === 1) clock.after(0, flush);
        }),
    );
    const sendAll = async (messages: readonly Message[]): Promise<void> => {
      const answer = await post(
        address,
        messages.map(({ payload }) => payload),
      );
      client.receive(answer as JSONRPCResponse[]);
    };
    const flush = (): void => {
      const messages = waiting;
      waiting = [];
      sendAll(messages).then(
        () => messages.forEach(({ resolve }) => resolve()),
        (fault: unknown) =>
          messages.forEach(({ reject, sending }) => {
            Object.assign(sending, { fault });
            reject(fault);
          }),
      );
    };
    return client;
  };

  const getLink = (address: string): JSONRPCClient<Sending> => {
    const known = links.get(address);
    if (known !== undefined) return known;
    const link = newLink(address);
    links.set(address, link);
    return link;
  };

  return {
    call: async (address, method, params) => {
      const sending: Sending = { fault: undefined };
      try {
        const result: unknown = await getLink(address)
          // An answer that leaves a call out must not leave its caller waiting.
          .timeout(timeoutMs)
          .request(method, params, sending);
        return newOk(METHODS[method].result.parse(result) as MethodResult<typeof method>);
      } catch (fault) {
        return newFailure({
          kind: getErrorKind(sending.fault ?? fault),
          detail: `${method} at ${address}: ${getErrorMessage(fault)}`,
        });
      }
    },
    close: () => agent.destroy(),
  };
};
