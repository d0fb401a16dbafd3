/** Filter that reads the request body. */
import { HELD_FOR, MS_PER_SECOND, newFailure, readBody, type BodyError } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { parseJsonObject } from '../parseJsonObject';
import type { Filter } from '../types';

/** Time after which a caller may come back for whom there was no memory. */
const MEMORY_RETRY_AFTER_MS = MS_PER_SECOND;

const getApiError = (error: BodyError): ApiError => {
  switch (error.kind) {
    case 'body_too_large':
      return newApiError('too_large', `the body is larger than ${error.limitBytes} bytes`);
    case 'body_wasteful':
      return newApiError('too_large', 'the body comes in too small pieces');
    case 'no_memory':
      return newApiError('overloaded', 'the entry has no memory for the body', {
        retryAfterMs: MEMORY_RETRY_AFTER_MS,
      });
    default:
      return newApiError('invalid_request', 'the body ended early');
  }
};

/** Reads the body up to the size limit; a model route requires a JSON object with a `model`. */
export const newReadRequestFilter = (): Filter => ({
  name: 'readRequest',
  apply: async (exchange, next) => {
    const limitBytes = exchange.settings['request.max_body'];
    const holder = exchange.byteBudget.newHolder(HELD_FOR.request);
    exchange.response.on('close', holder.release);
    const body = await readBody(exchange.request, limitBytes, holder);
    if (!body.ok) {
      // The rest of the body is not read.
      if (body.error.kind === 'no_memory') exchange.response.setHeader('connection', 'close');
      return newFailure(getApiError(body.error));
    }
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
