import { Agent, request } from 'undici';
import {
  getFaultMessage,
  isNeverSent,
  newFailure,
  newOk,
  MS_PER_SECOND,
  type Result,
} from '@anvilpaddle/common';
import type { PlatformError } from './errors';

/** Answer of a platform service. */
export interface Answer {
  readonly status: number;
  readonly body: Buffer;
}

/** Calls one platform service over kept-alive HTTP. */
export interface HttpClient {
  call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: Buffer,
  ): Promise<Result<Answer, PlatformError>>;
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
    localAddress,
    keepAliveTimeout: 30 * MS_PER_SECOND,
  });
  return {
    call: async (method, path, body) => {
      try {
        const answer = await request(`${baseUrl}${path}`, {
          method,
          body: body ?? null,
          headers: body === undefined ? {} : { 'content-type': 'application/octet-stream' },
          dispatcher: agent,
          signal: AbortSignal.timeout(timeoutMs),
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
        const kind = isNeverSent(fault) ? 'unavailable' : 'unknown';
        return newFailure({ kind, detail: `${method} ${path}: ${getFaultMessage(fault)}` });
      }
    },
    close: () => agent.destroy(),
  };
};
