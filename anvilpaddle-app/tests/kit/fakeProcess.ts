import type { Clock, ManualClock } from '@anvilpaddle/common';

/** One life of a process on a fake network; what reaches it while it is paused waits. */
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

/** Process whose monotonic clock runs at a speed, 1 being true time. */
export const newFakeProcess = (world: ManualClock, speed: number): FakeProcess => {
  let held: (() => void)[] = [];
  let isPaused = false;
  let isEnded = false;

  const run = (action: () => void): void => {
    if (isEnded) return;
    if (isPaused) held.push(action);
    else action();
  };

  return {
    clock: {
      monotonic: () => world.monotonic() * speed,
      wall: () => world.wall(),
      after: (delayMs, action) => {
        let isCancelled = false;
        const timer = world.after(delayMs / speed, () =>
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
        const timer = world.every(intervalMs / speed, () => {
          if (isEnded) timer.cancel();
          // A paused process finds one beat due, not all that it has missed.
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
      const actions = held;
      held = [];
      actions.forEach(run);
    },
    end: () => {
      isEnded = true;
      held = [];
    },
  };
};
