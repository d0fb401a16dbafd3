import { MS_PER_MINUTE, MS_PER_SECOND, type Clock } from '@anvilpaddle/common';

/** Items that this sidecar finishes a second, over the last minutes. */
export interface ItemRate {
  recordFinished(): void;
  getPerSecond(): number;
}

/** Pace over a window of one to two minutes. */
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
