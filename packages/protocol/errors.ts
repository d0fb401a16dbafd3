/** Errors of the HTTP APIs. */
import type { RunState } from './constants';

/** Error codes of the callers' and operators' APIs with their HTTP status. The codes are stable. */
export const ERROR_STATUS = {
  invalid_request: 400,
  invalid_key: 401,
  forbidden: 403,
  not_found: 404,
  method_not_allowed: 405,
  conflict: 409,
  caller_gone: 499,
  too_large: 413,
  rate_limited: 429,
  overloaded: 503,
  stopping: 503,
  no_upstream: 503,
  platform_unavailable: 503,
  /** The entry process cannot confirm that API keys are still valid. */
  keys_unconfirmed: 503,
  upstream_failed: 502,
  deadline_exceeded: 504,
  internal: 500,
} as const;
export type ErrorCode = keyof typeof ERROR_STATUS;

/** Error that is returned to callers and operators. */
export interface ApiError {
  readonly code: ErrorCode;
  readonly message: string;
  /** Whether the request ran at an upstream. */
  readonly run: RunState;
  /** Name of the invalid field, if the error concerns one. */
  readonly param?: string | undefined;
  /** All problems, for errors that may report several at once. */
  readonly details?: readonly string[] | undefined;
  /** Time, in milliseconds, after which a retry may succeed. */
  readonly retryAfterMs?: number | undefined;
}

/** Creates the error of a request that did not run, unless `overrides` says otherwise. */
export const newApiError = (
  code: ErrorCode,
  message: string,
  overrides: Partial<ApiError> = {},
): ApiError => ({ code, message, run: 'not_run', ...overrides });

/** Body of an error response, in the format of OpenAI's API with `run` added. */
export const getErrorBody = (error: ApiError): { readonly error: object } => ({
  error: {
    message: error.message,
    type: error.code,
    code: error.code,
    param: error.param ?? null,
    run: error.run,
    ...(error.details === undefined ? {} : { details: error.details }),
    ...(error.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(error.retryAfterMs) }),
  },
});

/** Headers of an error response; `Retry-After` is in whole seconds, rounded up. */
export const getErrorHeaders = (error: ApiError): Record<string, string> =>
  error.retryAfterMs === undefined
    ? {}
    : { 'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / 1000))) };
