/** Filter that checks a team's permissions. */
import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import type { Filter } from '../types';

/** Rejects requests for routes or models that the team may not use. */
export const newAuthorizeFilter = (): Filter => ({
  name: 'authorize',
  apply: async (exchange, next) => {
    if (exchange.team === undefined) return next();
    const team = exchange.config.teams.get(exchange.team);
    const route = exchange.route?.name;
    if (route !== undefined && team?.routes !== undefined && !team.routes.includes(route)) {
      return newFailure(newApiError('forbidden', `team ${exchange.team} may not use ${route}`));
    }
    const model = exchange.json?.model;
    if (typeof model === 'string' && team?.models !== undefined && !team.models.includes(model)) {
      return newFailure(
        newApiError('forbidden', `team ${exchange.team} may not use model ${model}`, {
          param: 'model',
        }),
      );
    }
    return next();
  },
});
