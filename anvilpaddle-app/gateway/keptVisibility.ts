/** Which gateways are seen, kept for a short time, as it is asked for each candidate of each request. */
import type { Clock } from '@anvilpaddle/common';
import type { BucketVisibility } from '@anvilpaddle/decisions';

const REFRESH_INTERVAL_MS = 25;
const UNKNOWN: BucketVisibility = { members: 1, recentlySeen: 1, isIncomplete: true };

/** Creates the function that returns the visibility. */
export const newKeptVisibility = (
  getVisibility: () => BucketVisibility | undefined,
  clock: Clock,
): (() => BucketVisibility) => {
  let kept = UNKNOWN;
  let refreshedMs = -Infinity;
  return () => {
    const nowMs = clock.monotonic();
    if (nowMs - refreshedMs < REFRESH_INTERVAL_MS) return kept;
    refreshedMs = nowMs;
    kept = getVisibility() ?? UNKNOWN;
    return kept;
  };
};
