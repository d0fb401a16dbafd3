/** Filter that reads the request body. */
import { newFailure, readBody, type BodyError } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { parseJsonObject } from '../parseJsonObject';
import type { Filter } from '../types';

const getApiError = (error: BodyError): ApiError => {
  switch (error.kind) {
    case 'body_too_large':
      return newApiError('too_large', `the body is larger than ${error.limitBytes} bytes`);
    case 'body_wasteful':
      return newApiError('too_large', 'the body comes in too small pieces');
    default:
      return newApiError('invalid_request', 'the body ended early');
  }
};

/** Reads the body up to the size limit; a model route requires a JSON object with a `model`. */
export const newReadRequestFilter = (): Filter => ({
  name: 'readRequest',
  apply: async (exchange, next) => {
    const limitBytes = exchange.settings['request.max_body'];
    const body = await readBody(exchange.request, limitBytes);
    if (!body.ok) return newFailure(getApiError(body.error));
    exchange.body = body.value;
    if (exchange.route?.kind !== 'model') return next();
    const json = parseJsonObject(body.value);
    if (!json.ok) return json;
    if (typeof json.value.model !== 'string') {
      return newFailure(
        newApiError('invalid_request', 'model: expected a string', { param: 'model' }),
      );
    }
    exchange.json = json.value;
    return next();
  },
});
