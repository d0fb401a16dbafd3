/** Parsing of JSON request bodies. */
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';

/** Parses a body as a JSON object; fails with an API error for any other value. */
export const parseJsonObject = (
  body: Buffer,
): Result<Readonly<Record<string, unknown>>, ApiError> => {
  try {
    const value: unknown = JSON.parse(String(body));
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return newOk(value as Record<string, unknown>);
    }
  } catch {
    // A syntax error and a value of another type give the same error below.
  }
  return newFailure(newApiError('invalid_request', 'the body is not a JSON object'));
};
