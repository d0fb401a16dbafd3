/** Filter that reads the request body. */
import { newFailure, readBody } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { parseJsonObject } from '../parseJsonObject';
import type { Filter } from '../types';

/** Reads the body up to the size limit; a model route requires a JSON object with a `model`. */
export const newReadRequestFilter = (): Filter => ({
  name: 'readRequest',
  apply: async (exchange, next) => {
    const limitBytes = exchange.settings['request.max_body'];
    const body = await readBody(exchange.request, limitBytes);
    if (!body.ok) {
      return newFailure(
        body.error.kind === 'body_too_large'
          ? newApiError('too_large', `the body is larger than ${limitBytes} bytes`)
          : newApiError('invalid_request', 'the body ended early'),
      );
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
