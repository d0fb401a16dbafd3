import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import type { EntryServices, Filter } from '../exchange';

const STOPPING_RETRY_MS = 1000;

/** Refuses new requests during a planned stop and closes the connection they came on. */
export const newStoppingFilter = (services: EntryServices): Filter => ({
  name: 'stopping',
  apply: async (exchange, next) => {
    if (!services.isStopping()) return next();
    exchange.response.setHeader('connection', 'close');
    return newFailure(
      newApiError('stopping', 'this entry is stopping', { retryAfterMs: STOPPING_RETRY_MS }),
    );
  },
});
