/** Tells when an attempt has had no content from its upstream for some time. */
import type { Clock, Timer } from '@anvilpaddle/common';

/**
 * Time without a whole event from an upstream after which it is silent. It is many times the time to
 * a first event with a short queue.
 */
export const SILENCE_TIMEOUT_MS = 1000;
/** Interval between two reports of one silence. */
const SILENCE_REPORT_INTERVAL_MS = 500;

/** Times the silences of one attempt. */
export interface SilenceTimer {
  /** Records content, which ends a silence. */
  recordContent(): void;
  /** Stops the time until the next content; the upstream is not what the attempt waits for. */
  pause(): void;
  stop(): void;
}

/** Starts the timer; `onSilence` is called once a silence is reached and repeatedly while it lasts. */
export const newSilenceTimer = (
  clock: Clock,
  onSilence: (isFirstReport: boolean) => void,
): SilenceTimer => {
  let timer: Timer | undefined;
  let isStopped = false;

  const wait = (delayMs: number, isFirstReport: boolean): void => {
    timer = clock.after(delayMs, () => {
      wait(SILENCE_REPORT_INTERVAL_MS, false);
      onSilence(isFirstReport);
    });
  };

  wait(SILENCE_TIMEOUT_MS, true);
  return {
    recordContent: () => {
      timer?.cancel();
      if (!isStopped) wait(SILENCE_TIMEOUT_MS, true);
    },
    pause: () => timer?.cancel(),
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };
};
