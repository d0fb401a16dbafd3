import type { Readable } from 'node:stream';
import { Agent, request, type Dispatcher } from 'undici';
import { getFaultMessage, newFailure, newOk, type Result } from '@anvilpaddle/common';

/** Call to the upstream. */
export interface Call {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** Answer of the upstream; the body is read by the owner of the call. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readable;
}

/** `not_sent`: the upstream has seen nothing. `no_answer`: it may have run the call. */
export interface UpstreamError {
  readonly kind: 'not_sent' | 'no_answer';
  readonly detail: string;
}

/** Calls the one upstream of a sidecar. */
export interface UpstreamClient {
  call(call: Call): Promise<Result<UpstreamAnswer, UpstreamError>>;
  /** Models that the upstream serves; empty for a plain service. */
  listModels(): Promise<readonly string[]>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 2000;
const MODELS_TIMEOUT_MS = 2000;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

const isNotSent = (fault: unknown): boolean =>
  typeof fault === 'object' &&
  fault !== null &&
  'code' in fault &&
  NOT_SENT_CODES.has(String(fault.code));

/** Client of the upstream at a base URL, with at most so many connections. */
export const newUpstreamClient = (baseUrl: string, connections: number): UpstreamClient => {
  const agent = new Agent({
    connections,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    call: async ({ id, method, path, headers, body, signal }) => {
      try {
        const answer = await request(`${baseUrl}${path}`, {
          method: method as Dispatcher.HttpMethod,
          headers: { ...headers, 'x-request-id': id },
          body: body.length === 0 ? null : body,
          dispatcher: agent,
          signal,
        });
        return newOk({ status: answer.statusCode, headers: answer.headers, body: answer.body });
      } catch (fault) {
        const kind = isNotSent(fault) ? 'not_sent' : 'no_answer';
        return newFailure({ kind, detail: getFaultMessage(fault) });
      }
    },
    listModels: async () => {
      try {
        const answer = await request(`${baseUrl}/v1/models`, {
          dispatcher: agent,
          signal: AbortSignal.timeout(MODELS_TIMEOUT_MS),
        });
        const { data } = (await answer.body.json()) as { data: { id: string }[] };
        return data.map(({ id }) => id);
      } catch {
        return [];
      }
    },
    close: () => agent.destroy(),
  };
};
