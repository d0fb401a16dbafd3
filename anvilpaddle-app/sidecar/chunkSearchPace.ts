/** Pace at which a sidecar searches for chunks: slower while it finds none, and the more sidecars there are. */
import { MS_PER_SECOND, type Clock, type Random } from '@anvilpaddle/common';

const FIRST_SEARCH_DELAY_MS = 100;
const MAX_SEARCH_DELAY_MS = 1500;
/** Minimum number of searches within a lease. */
const SEARCHES_PER_LEASE = 4;
/** Searches per second that all sidecars together may make for chunks. */
const SEARCHES_PER_SECOND = 300;

/** Pace of the searches. */
export interface ChunkSearchPace {
  isDue(): boolean;
  recordFound(): void;
  recordNone(leaseMs: number, sidecarCount: number): void;
  /** Delays the next search. */
  postpone(delayMs: number): void;
}

/** Creates a pace whose first search is due. */
export const newChunkSearchPace = (clock: Clock, random: Random): ChunkSearchPace => {
  let searchDelayMs = FIRST_SEARCH_DELAY_MS;
  let nextSearchMs = 0;
  return {
    isDue: () => clock.monotonic() >= nextSearchMs,
    recordFound: () => {
      searchDelayMs = FIRST_SEARCH_DELAY_MS;
    },
    recordNone: (leaseMs, sidecarCount) => {
      const spreadMs = (sidecarCount * MS_PER_SECOND) / SEARCHES_PER_SECOND;
      nextSearchMs = clock.monotonic() + Math.max(searchDelayMs, spreadMs) * (0.5 + random());
      // Expiry of a lease is detected over several searches, so they must be closer than the lease.
      const longestMs = Math.min(MAX_SEARCH_DELAY_MS, leaseMs / SEARCHES_PER_LEASE);
      searchDelayMs = Math.min(longestMs, searchDelayMs * 2);
    },
    postpone: (delayMs) => {
      nextSearchMs = clock.monotonic() + delayMs;
    },
  };
};
