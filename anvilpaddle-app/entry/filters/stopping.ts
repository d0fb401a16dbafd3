import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { STOP_STAGE } from '../../process/program';
import type { EntryDependencies, Filter } from '../types';

const STOPPING_RETRY_MS = 1000;

/** Refuses new requests during a planned stop and closes the connection they came on. */
export const newStoppingFilter = (services: EntryDependencies): Filter => ({
  name: 'stopping',
  apply: async (exchange, next) => {
    const stage = services.getStopStage();
    if (stage === STOP_STAGE.serving) return next();
    // The next request on this connection has to go to another entry.
    exchange.response.setHeader('connection', 'close');
    if (stage === STOP_STAGE.leaving) return next();
    return newFailure(
      newApiError('stopping', 'this entry is stopping', { retryAfterMs: STOPPING_RETRY_MS }),
    );
  },
});
