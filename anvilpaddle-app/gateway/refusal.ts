/** Error responses that a gateway sends itself, instead of relaying a response of an upstream. */
import type { ServerResponse } from 'node:http';
import { MS_PER_HOUR, MS_PER_MINUTE, MS_PER_SECOND, sendJson } from '@anvilpaddle/common';
import { DIGEST_MARK, type QuarantineAssessment } from '@anvilpaddle/decisions';

/** Status codes of these responses; some also state whether the request may have run. */
export const STATUS = {
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  payloadTooLarge: 413,
  /** The request has not run and will not run. */
  tooManyRequests: 429,
  /** The request may have run. */
  badGateway: 502,
  /** The request has not run and will not run. */
  unavailable: 503,
  /** The request may have run. */
  timeout: 504,
} as const;

/** An error response, with its reason for the caller and the log. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Time after which a request with a quarantined part may come back: it won't be served sooner. */
const QUARANTINE_RETRY_AFTER_MS = MS_PER_HOUR;
/** The same while a trial may soon release the request. */
const TRIAL_RETRY_AFTER_MS = 3 * MS_PER_SECOND;
/** Time from the last crash in which the first trial takes place, if the store answers. */
const TRIAL_PERIOD_MS = MS_PER_MINUTE;

/** Refusal of a request that has not run, because something in its input crashes upstreams. */
export const getQuarantineRefusal = (assessment: QuarantineAssessment): Required<Refusal> => {
  const isRequest = assessment.part.startsWith(DIGEST_MARK);
  const mayBeReleased = assessment.isTriable && assessment.ageMs <= TRIAL_PERIOD_MS;
  return {
    status: STATUS.unavailable,
    reason: `${isRequest ? 'the request' : 'a part of the prompt'} crashes upstreams`,
    retryAfterMs: mayBeReleased ? TRIAL_RETRY_AFTER_MS : QUARANTINE_RETRY_AFTER_MS,
  };
};

/** Sends a refusal; does nothing when the response has started or its connection is closed. */
export const sendRefusal = (response: ServerResponse, refusal: Refusal): void => {
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string> =
    refusal.retryAfterMs === undefined
      ? {}
      : { 'retry-after': (refusal.retryAfterMs / MS_PER_SECOND).toFixed(3) };
  sendJson(response, refusal.status, { error: { message: refusal.reason } }, headers);
};
