/** Filter that finds a request's action or route. */
import { getEffectiveSettings, getRoute } from '@anvilpaddle/decisions';
import { newFailure } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import { matchPath } from '../action';
import type { Action, EntryDependencies, Filter } from '../types';

/** Finds the action or the route of a request by its method and path. */
export const newIdentifyFilter = (
  dependencies: EntryDependencies,
  actions: readonly Action[],
): Filter => ({
  name: 'identify',
  apply: async (exchange, next) => {
    const path = exchange.url.pathname;
    const matches = actions.flatMap((action) => {
      const params = matchPath(action.path, path);
      return params === undefined ? [] : [{ action, params }];
    });
    const match = matches.find(({ action }) => action.method === exchange.request.method);
    exchange.action = match?.action;
    exchange.params = match?.params ?? {};
    if (match === undefined) exchange.route = getRoute(exchange.config, path);
    if (exchange.action === undefined && exchange.route === undefined) {
      return newFailure(
        matches.length > 0
          ? newApiError('method_not_allowed', `${exchange.request.method} is not allowed here`)
          : newApiError('not_found', 'no route for this path'),
      );
    }
    const { failureDomain } = dependencies;
    const subject = { failureDomain, route: exchange.route?.name };
    exchange.settings = getEffectiveSettings(exchange.config.settingsByLevel, subject);
    return next();
  },
});
