import { JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0';
import { Agent, request } from 'undici';
import { getFaultMessage, newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import { METHODS, PEER_PATH, type Answer, type Method, type Params } from '@anvilpaddle/protocol';
import type { PeerError } from './errors';

/** Sends messages to other processes of the fleet. */
export interface PeerClient {
  /** Calls a method at `host:port`; messages of one turn to one address share an exchange. */
  call<M extends Method>(
    address: string,
    method: M,
    params: Params<M>,
  ): Promise<Result<Answer<M>, PeerError>>;
  close(): Promise<void>;
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const RPC_REFUSED = 'refused';

const getErrorKind = (fault: unknown): PeerError['kind'] => {
  if (typeof fault !== 'object' || fault === null || !('code' in fault)) return 'no_answer';
  if (fault.code === RPC_REFUSED) return 'refused';
  return NOT_SENT_CODES.has(String(fault.code)) ? 'unreachable' : 'no_answer';
};

interface Message {
  readonly payload: JSONRPCRequest;
  readonly resolve: () => void;
  readonly reject: (fault: unknown) => void;
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
  const links = new Map<string, JSONRPCClient>();

  const post = async (address: string, payload: unknown): Promise<unknown> => {
    const answer = await request(`http://${address}${PEER_PATH.rpc}`, {
      method: 'POST',
      body: JSON.stringify(payload),
      headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
      dispatcher: agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const body = await answer.body.text();
    if (answer.statusCode !== 200) throw newCodedError(body, RPC_REFUSED);
    return JSON.parse(body);
  };

  const newLink = (address: string): JSONRPCClient => {
    let waiting: Message[] = [];
    const client = new JSONRPCClient(
      (payload: JSONRPCRequest) =>
        new Promise<void>((resolve, reject) => {
          waiting.push({ payload, resolve, reject });
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
        (fault: unknown) => messages.forEach(({ reject }) => reject(fault)),
      );
    };
    return client;
  };

  const getLink = (address: string): JSONRPCClient => {
    const known = links.get(address);
    if (known !== undefined) return known;
    const link = newLink(address);
    links.set(address, link);
    return link;
  };

  return {
    call: async (address, method, params) => {
      try {
        const result: unknown = await getLink(address).request(method, params);
        return newOk(METHODS[method].result.parse(result) as Answer<typeof method>);
      } catch (fault) {
        return newFailure({
          kind: getErrorKind(fault),
          detail: `${method} at ${address}: ${getFaultMessage(fault)}`,
        });
      }
    },
    close: () => agent.destroy(),
  };
};
