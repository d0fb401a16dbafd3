/** Filter for requests that arrive during a planned stop. */
import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { STOP_STAGE } from '../../process/program';
import type { EntryDependencies, Filter } from '../types';

const STOPPING_RETRY_AFTER_MS = 1000;

/** Closes requests' connections during a planned stop, and refuses requests in its last stage. */
export const newStoppingFilter = (dependencies: EntryDependencies): Filter => ({
  name: 'stopping',
  apply: async (exchange, next) => {
    const stage = dependencies.getStopStage();
    if (stage === STOP_STAGE.serving) return next();
    // The caller's next request must use a new connection, to another entry process.
    exchange.response.setHeader('connection', 'close');
    if (stage === STOP_STAGE.leaving) return next();
    return newFailure(
      newApiError('stopping', 'this entry is stopping', { retryAfterMs: STOPPING_RETRY_AFTER_MS }),
    );
  },
});
