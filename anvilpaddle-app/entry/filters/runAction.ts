/** Filter that runs actions. */
import type { EntryDependencies, Filter } from '../types';

/** Runs the action that the request's method and path identify, if there is one. */
export const newRunActionFilter = (dependencies: EntryDependencies): Filter => ({
  name: 'runAction',
  apply: async (exchange, next) => {
    if (exchange.action === undefined) return next();
    return exchange.action.run(exchange, dependencies);
  },
});
