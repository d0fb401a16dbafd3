import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import type { EntryDependencies, Filter } from '../types';

/** Holds each team to its rate and burst. */
export const newLimitFilter = (services: EntryDependencies): Filter => ({
  name: 'limit',
  apply: async (exchange, next) => {
    if (exchange.team === undefined) return next();
    const admission = await services.limits.admit(exchange.team);
    if (admission.admitted) return next();
    return newFailure(
      newApiError('rate_limited', `team ${exchange.team} is beyond its rate`, {
        retryAfterMs: admission.retryAfterMs,
      }),
    );
  },
});
