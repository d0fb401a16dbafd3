/** HTTP client for calls to one platform service. */
import { Agent } from 'undici';
import {
  BODY_DELIMITER,
  BYTES_PER_MIB,
  getBodyDelimiter,
  getErrorMessage,
  isConnectError,
  newFailure,
  newOk,
  readStream,
  requestHttp,
  ResponseTooLargeError,
  MS_PER_SECOND,
  type Result,
} from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { ReadOptions } from './types';

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Complete response of a platform service. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Options that override the client's defaults for one call. */
export interface CallOptions extends ReadOptions {
  /** Media type of the request body; `application/octet-stream` by default. */
  readonly contentType?: string;
  /** Time limit for the complete response, in milliseconds; the client's timeout by default. */
  readonly timeoutMs?: number;
  /**
   * Whether a successful response must have a length or chunks, as its content does not show its
   * end; false by default.
   */
  readonly needsDelimiter?: boolean;
}

/** HTTP client of one platform service; it keeps connections alive between calls. */
export interface HttpClient {
  call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: Buffer,
    options?: CallOptions,
  ): Promise<Result<HttpResponse, PlatformError>>;
  close(): Promise<void>;
}

/** Size of the largest response: an object or a page of rows. */
const MAX_RESPONSE_BYTES = 64 * BYTES_PER_MIB;

/**
 * Creates a client of the service at a base URL. A call that ends without a response in time fails
 * as `unknown`, unless no connection was established.
 */
export const newHttpClient = (
  baseUrl: string,
  timeoutMs: number,
  localAddress?: string,
): HttpClient => {
  const agent = new Agent({
    connect: { timeout: timeoutMs },
    // The service may send nothing for the whole wait time of a long-polling call. The agent's own
    // timeouts are therefore off, and the signal of each call limits its duration.
    headersTimeout: 0,
    bodyTimeout: 0,
    localAddress,
    keepAliveTimeout: 30 * MS_PER_SECOND,
  });
  return {
    call: async (method, path, body, options = {}) => {
      try {
        const response = await requestHttp(`${baseUrl}${path}`, {
          method,
          body: body ?? null,
          headers:
            body === undefined
              ? {}
              : { 'content-type': options.contentType ?? DEFAULT_CONTENT_TYPE },
          dispatcher: agent,
          signal: AbortSignal.timeout(options.timeoutMs ?? timeoutMs),
        });
        const content = await readStream(response.body, MAX_RESPONSE_BYTES);
        if (content === undefined) throw new ResponseTooLargeError();
        const isDelimited = getBodyDelimiter(response.headers) !== BODY_DELIMITER.close;
        if (options.needsDelimiter === true && response.statusCode === 200 && !isDelimited) {
          const detail = `${method} ${path}: the response has neither a length nor chunks`;
          return newFailure({ kind: 'unknown', detail });
        }
        if (response.statusCode === 429) {
          const seconds = Number(response.headers['retry-after'] ?? 1);
          return newFailure({ kind: 'limited', retryAfterMs: seconds * MS_PER_SECOND });
        }
        if (response.statusCode === 503) {
          return newFailure({ kind: 'unavailable', detail: `${method} ${path}: 503` });
        }
        return newOk({ status: response.statusCode, body: content });
      } catch (error) {
        const kind = isConnectError(error) ? 'unavailable' : 'unknown';
        return newFailure({ kind, detail: `${method} ${path}: ${getErrorMessage(error)}` });
      }
    },
    close: () => agent.destroy(),
  };
};
