import type { EntryDependencies, Filter } from '../types';

/** Runs the action, when the path names one. */
export const newRunActionFilter = (services: EntryDependencies): Filter => ({
  name: 'runAction',
  apply: async (exchange, next) => {
    if (exchange.action === undefined) return next();
    return exchange.action.run(exchange, services);
  },
});
