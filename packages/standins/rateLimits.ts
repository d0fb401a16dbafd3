import { MS_PER_SECOND } from '@anvilpaddle/common';

/** Calls a second that a store serves; more are answered with 429. */
export interface StoreRates {
  readonly reads: number;
  readonly writes: number;
}

/** Rates of the platform's two stores. */
export interface PlatformRates {
  readonly tables: StoreRates;
  readonly objects: StoreRates;
}

/** Rates that the platform is known for. */
export const PLATFORM_RATES: PlatformRates = {
  tables: { reads: 2000, writes: 400 },
  objects: { reads: 2000, writes: 400 },
};

/** Limits of a stand-in; off until they are set. */
export interface RateLimits {
  set(rates: PlatformRates | undefined): void;
  /** Whether the call is served; counts it if so. */
  take(path: string, method: string): boolean;
  /** Calls refused so far. */
  readonly refused: () => number;
}

interface Bucket {
  level: number;
  atMs: number;
}

const isRead = (path: string, method: string): boolean =>
  path.startsWith('/tables/') ? path !== '/tables/transact' : method === 'GET';

/** Token buckets of one second for each store and kind of call. */
export const newRateLimits = (): RateLimits => {
  const buckets = new Map<string, Bucket>();
  let rates: PlatformRates | undefined;
  let refused = 0;

  const takeFrom = (name: string, rate: number): boolean => {
    const nowMs = performance.now();
    const bucket = buckets.get(name) ?? { level: rate, atMs: nowMs };
    const level = Math.min(rate, bucket.level + ((nowMs - bucket.atMs) * rate) / MS_PER_SECOND);
    const isServed = level >= 1;
    buckets.set(name, { level: isServed ? level - 1 : level, atMs: nowMs });
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
