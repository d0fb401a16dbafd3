/** Execution of the filter chain. */
import type { Result } from '@anvilpaddle/common';
import type { ApiError } from '@anvilpaddle/protocol';
import type { Exchange, Filter } from './types';

/** Runs the filters in order; each calls `next` to run the one after it. */
export const runFilters = (
  filters: readonly Filter[],
  exchange: Exchange,
): Promise<Result<void, ApiError>> => {
  const run = (index: number): Promise<Result<void, ApiError>> => {
    const filter = filters[index];
    if (filter === undefined) throw new Error('the last filter called next()');
    return filter.apply(exchange, () => run(index + 1));
  };
  return run(0);
};
