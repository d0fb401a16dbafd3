/** HTTP client of a sidecar for its upstream. */
import type { Readable } from 'node:stream';
import { Agent, request, type Dispatcher } from 'undici';
import {
  getErrorMessage,
  newFailure,
  newOk,
  type Result,
  isConnectError,
} from '@anvilpaddle/common';

/** Request to the upstream. */
export interface UpstreamRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** Response of the upstream; the caller of `send` has to read or destroy its body. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readable;
}

/**
 * Why there is no response. `not_sent`: the upstream has received nothing. `no_answer`: it may have
 * run the request.
 */
export interface UpstreamError {
  readonly kind: 'not_sent' | 'no_answer';
  readonly detail: string;
}

/** Sends requests to the one upstream of a sidecar. */
export interface UpstreamClient {
  send(upstreamRequest: UpstreamRequest): Promise<Result<UpstreamResponse, UpstreamError>>;
  /** Models that the upstream serves; undefined when it did not respond. */
  listModels(): Promise<readonly string[] | undefined>;
  /** Closes all connections; requests in progress fail. */
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 2000;
const MODELS_TIMEOUT_MS = 2000;

/** Creates a client for the upstream at a base URL, with at most `connections` connections. */
export const newUpstreamClient = (baseUrl: string, connections: number): UpstreamClient => {
  const connect = { timeout: CONNECT_TIMEOUT_MS };
  // Without pipelining, a lost connection affects one attempt only, and no request that was sent is
  // sent again.
  const requestAgent = new Agent({
    connections,
    pipelining: 1,
    connect,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  // Model lists have their own connection, so that they don't wait behind long responses.
  const modelsAgent = new Agent({ connections: 1, pipelining: 1, connect });
  return {
    send: async ({ id, method, path, headers, body, signal }) => {
      try {
        const response = await request(`${baseUrl}${path}`, {
          method: method as Dispatcher.HttpMethod,
          headers: { ...headers, 'x-request-id': id },
          body: body.length === 0 ? null : body,
          dispatcher: requestAgent,
          signal,
        });
        return newOk({
          status: response.statusCode,
          headers: response.headers,
          body: response.body,
        });
      } catch (error) {
        const kind = isConnectError(error) ? 'not_sent' : 'no_answer';
        return newFailure({ kind, detail: getErrorMessage(error) });
      }
    },
    listModels: async () => {
      try {
        const response = await request(`${baseUrl}/v1/models`, {
          dispatcher: modelsAgent,
          signal: AbortSignal.timeout(MODELS_TIMEOUT_MS),
        });
        const { data } = (await response.body.json()) as { data: { id: string }[] };
        return data.map(({ id }) => id);
      } catch {
        return undefined;
      }
    },
    close: async () => {
      await Promise.all([requestAgent.destroy(), modelsAgent.destroy()]);
    },
  };
};
