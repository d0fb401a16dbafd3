/** Answers that the gateway gives of its own. */
import type { ServerResponse } from 'node:http';
import { MS_PER_SECOND, sendJson } from '@anvilpaddle/common';

/** Status of an answer with what it promises. */
export const STATUS = {
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  payloadTooLarge: 413,
  /** Has not run and will not. */
  tooManyRequests: 429,
  /** May have run. */
  badGateway: 502,
  /** Has not run and will not. */
  unavailable: 503,
  /** May have run. */
  timeout: 504,
} as const;

/** A refusal, with its reason for the caller and the log. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Time after which the caller may come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Sends a refusal; does nothing when an answer has begun. */
export const sendRefusal = (response: ServerResponse, refusal: Refusal): void => {
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string> =
    refusal.retryAfterMs === undefined
      ? {}
      : { 'retry-after': (refusal.retryAfterMs / MS_PER_SECOND).toFixed(3) };
  sendJson(response, refusal.status, { error: { message: refusal.reason } }, headers);
};
