/** Rate limits that the platform stand-in enforces. */
import { MS_PER_SECOND } from '@anvilpaddle/common';

/** Calls per second that a store serves; further calls are refused with status 429. */
export interface StoreRates {
  readonly reads: number;
  readonly writes: number;
}

/** Rates of the platform's table service and object store. */
export interface PlatformRates {
  readonly tables: StoreRates;
  readonly objects: StoreRates;
}

/** Rates that the platform is known to enforce. */
export const PLATFORM_RATES: PlatformRates = {
  tables: { reads: 2000, writes: 400 },
  objects: { reads: 2000, writes: 400 },
};

/** Rate limits of a platform stand-in; no call is refused until rates are set. */
export interface RateLimits {
  /** Sets the rates, or lifts all limits; the buckets start full. */
  set(rates: PlatformRates | undefined): void;
  /** Takes a token for a call; returns whether the call is served. */
  take(path: string, method: string): boolean;
  /** Number of calls refused so far. */
  readonly refused: () => number;
}

interface TokenBucket {
  level: number;
  updatedMs: number;
}

const isRead = (path: string, method: string): boolean =>
  path.startsWith('/tables/') ? path !== '/tables/transact' : method === 'GET';

/** Creates a token bucket for each store and kind of call that holds the tokens of one second. */
export const newRateLimits = (): RateLimits => {
  const buckets = new Map<string, TokenBucket>();
  let rates: PlatformRates | undefined;
  let refused = 0;

  const takeFrom = (name: string, rate: number): boolean => {
    const nowMs = performance.now();
    const bucket = buckets.get(name) ?? { level: rate, updatedMs: nowMs };
    const level = Math.min(
      rate,
      bucket.level + ((nowMs - bucket.updatedMs) * rate) / MS_PER_SECOND,
    );
    const isServed = level >= 1;
    buckets.set(name, { level: isServed ? level - 1 : level, updatedMs: nowMs });
    if (!isServed) refused += 1;
    return isServed;
  };

  return {
    set: (next) => {
      rates = next;
      buckets.clear();
    },
    take: (path, method) => {
      const store = path.startsWith('/tables/') ? 'tables' : 'objects';
      if (rates === undefined || !path.startsWith(`/${store}/`)) return true;
      const kind = isRead(path, method) ? 'reads' : 'writes';
      return takeFrom(`${store}/${kind}`, rates[store][kind]);
    },
    refused: () => refused,
  };
};
