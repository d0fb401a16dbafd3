import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { Agent, request, type Dispatcher } from 'undici';
import { getErrorMessage, isConnectError } from '@anvilpaddle/common';
import {
  getAttemptHeader,
  HEADER,
  loadSchema,
  PEER_PATH,
  refusalSchema,
  type Attempt,
  type Load,
  type Member,
  type Refusal,
} from '@anvilpaddle/protocol';

/** How the exchange with a sidecar began. */
export type AttemptReply =
  | {
      readonly kind: 'answer';
      readonly attempt: string;
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Readable;
      readonly load: Load | undefined;
    }
  | { readonly kind: 'refusal'; readonly refusal: Refusal }
  /** The sidecar could not be reached or did not accept our secret: nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** No answer of this attempt came: only the sidecar knows what became of it. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Sends attempts to sidecars. */
export interface AttemptClient {
  send(member: Member, attempt: Attempt, body: Buffer, signal: AbortSignal): Promise<AttemptReply>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;
const STATUS_UNTRUSTED = 401;

const parseLoad = (header: unknown): Load | undefined => {
  if (typeof header !== 'string') return undefined;
  try {
    return loadSchema.parse(JSON.parse(header));
  } catch {
    return undefined;
  }
};

/** Reads the head of a sidecar's answer; one that names another attempt is no answer to this. */
const getReply = async (
  answer: Dispatcher.ResponseData,
  attempt: Attempt,
): Promise<AttemptReply> => {
  const named = answer.headers[HEADER.attemptId];
  if (named !== attempt.attempt) {
    answer.body.on('error', () => undefined).destroy();
    return named === undefined && answer.statusCode === STATUS_UNTRUSTED
      ? { kind: 'unreachable', detail: 'the sidecar does not accept the fleet secret' }
      : { kind: 'lost', detail: 'the answer belongs to another attempt' };
  }
  if (answer.headers[HEADER.refusal] !== undefined) {
    return { kind: 'refusal', refusal: refusalSchema.parse(await answer.body.json()) };
  }
  return {
    kind: 'answer',
    attempt: attempt.attempt,
    status: answer.statusCode,
    headers: answer.headers,
    body: answer.body,
    load: parseLoad(answer.headers[HEADER.load]),
  };
};

/** Client that sends the fleet secret with each attempt. */
export const newAttemptClient = (secret: string, localAddress?: string): AttemptClient => {
  // One attempt on a connection at a time, and as many connections as there are attempts: none
  // waits behind another, and a lost connection is never repaired by sending again.
  const agent = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    localAddress,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    send: async (member, attempt, body, signal) => {
      try {
        const answer = await request(`http://${member.address}${PEER_PATH.attempts}`, {
          method: 'POST',
          headers: {
            authorization: `Bearer ${secret}`,
            [HEADER.attempt]: getAttemptHeader(attempt),
            'content-type': 'application/octet-stream',
          },
          body,
          dispatcher: agent,
          signal,
        });
        return await getReply(answer, attempt);
      } catch (fault) {
        const detail = getErrorMessage(fault);
        return { kind: isConnectError(fault) ? 'unreachable' : 'lost', detail };
      }
    },
    close: () => agent.destroy(),
  };
};
