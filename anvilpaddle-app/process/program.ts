/** Life cycle of a long-running process: the stages of its stop and helpers to wait. */
import type { Clock } from '@anvilpaddle/common';

const CONDITION_POLL_MS = 20;

/** Stages of a planned stop. */
export const STOP_STAGE = {
  serving: 'serving',
  /** Other processes have been notified; requests that still arrive are served. */
  leaving: 'leaving',
  /** New work is refused; running requests are finished. */
  refusing: 'refusing',
} as const;
/** Stage of a planned stop. */
export type StopStage = (typeof STOP_STAGE)[keyof typeof STOP_STAGE];

/** A running program that can be stopped without cutting off requests. */
export interface Program {
  /** Refuses new work, finishes running requests, then stops. */
  stop(): Promise<void>;
}

/** Resolves after a time in milliseconds. */
export const sleep = (clock: Clock, durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.after(durationMs, resolve);
  });

/** Polls the condition and resolves once it holds. */
export const waitUntil = (clock: Clock, condition: () => boolean): Promise<void> =>
  new Promise((resolve) => {
    const timer = clock.every(CONDITION_POLL_MS, () => {
      if (!condition()) return;
      timer.cancel();
      resolve();
    });
  });
