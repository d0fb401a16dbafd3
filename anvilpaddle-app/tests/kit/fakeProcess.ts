/** Simulated process whose clock can run slow and which can be paused and ended. */
import type { Clock, ManualClock } from '@anvilpaddle/common';

/**
 * One incarnation of a simulated process; messages and timeouts that come due while it is paused
 * are handled when it resumes.
 */
export interface FakeProcess {
  readonly clock: Clock;
  /** Runs the action now, later when the process is paused, or never when it has ended. */
  run(action: () => void): void;
  isRunning(): boolean;
  isEnded(): boolean;
  pause(): void;
  resume(): void;
  end(): void;
}

/** Creates a process whose monotonic clock runs at `speed` times the reference clock. */
export const newFakeProcess = (referenceClock: ManualClock, speed: number): FakeProcess => {
  let deferredActions: (() => void)[] = [];
  let isPaused = false;
  let isEnded = false;

  const run = (action: () => void): void => {
    if (isEnded) return;
    if (isPaused) deferredActions.push(action);
    else action();
  };

  return {
    clock: {
      monotonic: () => referenceClock.monotonic() * speed,
      wall: () => referenceClock.wall(),
      after: (delayMs, action) => {
        let isCancelled = false;
        const timer = referenceClock.after(delayMs / speed, () =>
          run(() => {
            if (!isCancelled) action();
          }),
        );
        return {
          cancel: () => {
            isCancelled = true;
            timer.cancel();
          },
        };
      },
      every: (intervalMs, action) => {
        let isCancelled = false;
        const timer = referenceClock.every(intervalMs / speed, () => {
          if (isEnded) timer.cancel();
          // Ticks that fall into a pause are skipped; a resumed process does not catch up on them.
          else if (!isPaused && !isCancelled) action();
        });
        return {
          cancel: () => {
            isCancelled = true;
            timer.cancel();
          },
        };
      },
    },
    run,
    isRunning: () => !isPaused && !isEnded,
    isEnded: () => isEnded,
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      const dueActions = deferredActions;
      deferredActions = [];
      dueActions.forEach(run);
    },
    end: () => {
      isEnded = true;
      deferredActions = [];
    },
  };
};
