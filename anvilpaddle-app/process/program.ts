import type { Clock } from '@anvilpaddle/common';

const DRAIN_POLL_MS = 20;

/** A running program that can be stopped without cutting off requests. */
export interface Program {
  /** Refuses new work, finishes what runs, then ends. */
  stop(): Promise<void>;
}

/** Waits until the condition holds. */
export const waitUntil = (clock: Clock, condition: () => boolean): Promise<void> =>
  new Promise((resolve) => {
    const timer = clock.every(DRAIN_POLL_MS, () => {
      if (!condition()) return;
      timer.cancel();
      resolve();
    });
  });
