/** Measures how many items a sidecar finishes. */
import { MS_PER_MINUTE, MS_PER_SECOND, type Clock } from '@anvilpaddle/common';

/** Rate at which this sidecar has finished items in the last minutes. */
export interface ItemRate {
  /** Counts one finished item. */
  recordFinished(): void;
  /** Items per second. */
  getPerSecond(): number;
}

/** Creates a rate over a window of one to two minutes; at its end, count and window are halved. */
export const newItemRate = (clock: Clock): ItemRate => {
  let finished = 0;
  let sinceMs = clock.monotonic();
  return {
    recordFinished: () => {
      finished += 1;
      const nowMs = clock.monotonic();
      if (nowMs - sinceMs < 2 * MS_PER_MINUTE) return;
      finished /= 2;
      sinceMs = nowMs - (nowMs - sinceMs) / 2;
    },
    getPerSecond: () =>
      (finished * MS_PER_SECOND) / Math.max(MS_PER_SECOND, clock.monotonic() - sinceMs),
  };
};
