import type { Clock } from '@anvilpaddle/common';

const DRAIN_POLL_MS = 20;

/** Stages of a planned stop. */
export const STOP_STAGE = {
  serving: 'serving',
  /** Others are told; what still comes is served. */
  leaving: 'leaving',
  /** New work is refused; what runs is finished. */
  refusing: 'refusing',
} as const;
export type StopStage = (typeof STOP_STAGE)[keyof typeof STOP_STAGE];

/** A running program that can be stopped without cutting off requests. */
export interface Program {
  /** Refuses new work, finishes what runs, then ends. */
  stop(): Promise<void>;
}

/** Waits for a time in milliseconds. */
export const sleep = (clock: Clock, durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.after(durationMs, resolve);
  });

/** Waits until the condition holds. */
export const waitUntil = (clock: Clock, condition: () => boolean): Promise<void> =>
  new Promise((resolve) => {
    const timer = clock.every(DRAIN_POLL_MS, () => {
      if (!condition()) return;
      timer.cancel();
      resolve();
    });
  });
