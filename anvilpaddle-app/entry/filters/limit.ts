/** Filter that limits the request rate of teams. */
import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import type { EntryDependencies, Filter } from '../types';

/** Rejects requests that exceed the rate and burst of their team. */
export const newLimitFilter = (dependencies: EntryDependencies): Filter => ({
  name: 'limit',
  apply: async (exchange, next) => {
    if (exchange.team === undefined) return next();
    const admission = await dependencies.limits.admit(exchange.team);
    if (admission.admitted) return next();
    return newFailure(
      newApiError('rate_limited', `team ${exchange.team} is beyond its rate`, {
        retryAfterMs: admission.retryAfterMs,
      }),
    );
  },
});
