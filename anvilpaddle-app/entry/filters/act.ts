import type { EntryServices, Filter } from '../types';

/** Runs the action, when the path names one. */
export const newActFilter = (services: EntryServices): Filter => ({
  name: 'act',
  apply: async (exchange, next) => {
    if (exchange.action === undefined) return next();
    return exchange.action.run(exchange, services);
  },
});
