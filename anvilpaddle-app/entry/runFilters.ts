import type { Result } from '@anvilpaddle/common';
import type { ApiError } from '@anvilpaddle/protocol';
import type { Exchange, Filter } from './types';

/** Runs the filters in order. */
export const runFilters = (
  filters: readonly Filter[],
  exchange: Exchange,
): Promise<Result<void, ApiError>> => {
  const run = (index: number): Promise<Result<void, ApiError>> => {
    const filter = filters[index];
    if (filter === undefined) throw new Error('the last filter passed the request on');
    return filter.apply(exchange, () => run(index + 1));
  };
  return run(0);
};
