/** Results of actions: JSON responses and API errors of the platform's failures. */
import { newFailure, newOk, sendJson, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError, type RunState } from '@anvilpaddle/protocol';
import type { PlatformError } from '@anvilpaddle/platform';
import type { Exchange } from './types';

const PLATFORM_RETRY_MS = 2000;

/** API error of a platform error; `run` is `unknown` if the operation may have taken effect. */
export const getPlatformApiError = (error: PlatformError): ApiError => {
  const run: RunState = error.kind === 'unknown' ? 'unknown' : 'not_run';
  const retryAfterMs = error.kind === 'limited' ? error.retryAfterMs : PLATFORM_RETRY_MS;
  return newApiError('platform_unavailable', 'the platform does not answer now', {
    run,
    retryAfterMs,
  });
};

/** Failure that holds the API error of a platform error. */
export const newPlatformFailure = (error: PlatformError) => newFailure(getPlatformApiError(error));

/** Sends a JSON response and returns the result that ends the filter chain. */
export const respondJson = (
  exchange: Exchange,
  value: unknown,
  status = 200,
): Result<void, ApiError> => {
  sendJson(exchange.response, status, value);
  return newOk(undefined);
};
