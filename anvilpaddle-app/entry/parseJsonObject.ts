import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';

/** JSON object from a body. */
export const parseJsonObject = (
  body: Buffer,
): Result<Readonly<Record<string, unknown>>, ApiError> => {
  try {
    const value: unknown = JSON.parse(String(body));
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return newOk(value as Record<string, unknown>);
    }
  } catch {
    // Falls through to the one error for both cases.
  }
  return newFailure(newApiError('invalid_request', 'the body is not a JSON object'));
};
