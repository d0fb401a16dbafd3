import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { Agent, request } from 'undici';
import { getFaultMessage } from '@anvilpaddle/common';
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
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Readable;
      readonly load: Load | undefined;
    }
  | { readonly kind: 'refusal'; readonly refusal: Refusal }
  /** The sidecar could not be reached: nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The connection was lost before an answer: only the sidecar knows what became of it. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Sends attempts to sidecars. */
export interface AttemptClient {
  send(member: Member, attempt: Attempt, body: Buffer, signal: AbortSignal): Promise<AttemptReply>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

const isNotSent = (fault: unknown): boolean =>
  typeof fault === 'object' &&
  fault !== null &&
  'code' in fault &&
  NOT_SENT_CODES.has(String(fault.code));

const parseLoad = (header: unknown): Load | undefined => {
  if (typeof header !== 'string') return undefined;
  try {
    return loadSchema.parse(JSON.parse(header));
  } catch {
    return undefined;
  }
};

/** Client that sends the fleet secret with each attempt. */
export const newAttemptClient = (secret: string, localAddress?: string): AttemptClient => {
  const agent = new Agent({
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
        if (answer.headers[HEADER.refusal] !== undefined) {
          const refusal = refusalSchema.parse(await answer.body.json());
          return { kind: 'refusal', refusal };
        }
        if (answer.headers[HEADER.attemptId] !== attempt.attempt) {
          answer.body.destroy();
          return { kind: 'lost', detail: 'the answer belongs to another attempt' };
        }
        return {
          kind: 'answer',
          status: answer.statusCode,
          headers: answer.headers,
          body: answer.body,
          load: parseLoad(answer.headers[HEADER.load]),
        };
      } catch (fault) {
        const detail = getFaultMessage(fault);
        return { kind: isNotSent(fault) ? 'unreachable' : 'lost', detail };
      }
    },
    close: () => agent.destroy(),
  };
};
