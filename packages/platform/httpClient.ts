import { Agent, request } from 'undici';
import {
  getErrorMessage,
  isConnectError,
  newFailure,
  newOk,
  MS_PER_SECOND,
  type Result,
} from '@anvilpaddle/common';
import type { PlatformError } from './errors';

const BYTES_TYPE = 'application/octet-stream';

/** Answer of a platform service. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** How one call differs from the usual one. */
export interface CallOptions {
  /** Media type of the body; bytes when missing. */
  readonly contentType?: string;
  /** Longest wait for the whole answer, in milliseconds; the client's own when missing. */
  readonly timeoutMs?: number;
}

/** Calls one platform service over kept-alive HTTP. */
export interface HttpClient {
  call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: Buffer,
    options?: CallOptions,
  ): Promise<Result<HttpResponse, PlatformError>>;
  close(): Promise<void>;
}

/** Client of the service at a base URL; a call without answer in time is `unknown`. */
export const newHttpClient = (
  baseUrl: string,
  timeoutMs: number,
  localAddress?: string,
): HttpClient => {
  const agent = new Agent({
    connect: { timeout: timeoutMs },
    // A call that waits for news may be silent for as long as it was asked to wait.
    headersTimeout: 0,
    bodyTimeout: 0,
    localAddress,
    keepAliveTimeout: 30 * MS_PER_SECOND,
  });
  return {
    call: async (method, path, body, options = {}) => {
      try {
        const answer = await request(`${baseUrl}${path}`, {
          method,
          body: body ?? null,
          headers: body === undefined ? {} : { 'content-type': options.contentType ?? BYTES_TYPE },
          dispatcher: agent,
          signal: AbortSignal.timeout(options.timeoutMs ?? timeoutMs),
        });
        const content = Buffer.from(await answer.body.arrayBuffer());
        if (answer.statusCode === 429) {
          const seconds = Number(answer.headers['retry-after'] ?? 1);
          return newFailure({ kind: 'limited', retryAfterMs: seconds * MS_PER_SECOND });
        }
        if (answer.statusCode === 503) {
          return newFailure({ kind: 'unavailable', detail: `${method} ${path}: 503` });
        }
        return newOk({ status: answer.statusCode, body: content });
      } catch (fault) {
        const kind = isConnectError(fault) ? 'unavailable' : 'unknown';
        return newFailure({ kind, detail: `${method} ${path}: ${getErrorMessage(fault)}` });
      }
    },
    close: () => agent.destroy(),
  };
};
