import type { Readable } from 'node:stream';
import { Agent, request, type Dispatcher } from 'undici';
import {
  getErrorMessage,
  newFailure,
  newOk,
  type Result,
  isConnectError,
} from '@anvilpaddle/common';

/** Call to the upstream. */
export interface UpstreamRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** Answer of the upstream; the body is read by the owner of the call. */
export interface UpstreamResponse {
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
  send(call: UpstreamRequest): Promise<Result<UpstreamResponse, UpstreamError>>;
  /** Models that the upstream serves; undefined when it did not answer. */
  listModels(): Promise<readonly string[] | undefined>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 2000;
const MODELS_TIMEOUT_MS = 2000;

/** Client of the upstream at a base URL, with at most so many connections. */
export const newUpstreamClient = (baseUrl: string, connections: number): UpstreamClient => {
  const connect = { timeout: CONNECT_TIMEOUT_MS };
  // One request on a connection at a time: the loss of one connection then concerns one attempt,
  // and nothing that was sent is sent again.
  const calls = new Agent({
    connections,
    pipelining: 1,
    connect,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  // Questions to the upstream must not wait behind its long answers.
  const questions = new Agent({ connections: 1, pipelining: 1, connect });
  return {
    send: async ({ id, method, path, headers, body, signal }) => {
      try {
        const answer = await request(`${baseUrl}${path}`, {
          method: method as Dispatcher.HttpMethod,
          headers: { ...headers, 'x-request-id': id },
          body: body.length === 0 ? null : body,
          dispatcher: calls,
          signal,
        });
        return newOk({ status: answer.statusCode, headers: answer.headers, body: answer.body });
      } catch (fault) {
        const kind = isConnectError(fault) ? 'not_sent' : 'no_answer';
        return newFailure({ kind, detail: getErrorMessage(fault) });
      }
    },
    listModels: async () => {
      try {
        const answer = await request(`${baseUrl}/v1/models`, {
          dispatcher: questions,
          signal: AbortSignal.timeout(MODELS_TIMEOUT_MS),
        });
        const { data } = (await answer.body.json()) as { data: { id: string }[] };
        return data.map(({ id }) => id);
      } catch {
        return undefined;
      }
    },
    close: async () => {
      await Promise.all([calls.destroy(), questions.destroy()]);
    },
  };
};
