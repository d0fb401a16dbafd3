/** A pending timer that can be cancelled. */
export interface Timer {
  cancel(): void;
}

/** Source of time and timers; decisions receive it so that tests control it. */
export interface Clock {
  /** Milliseconds that never go back, from an arbitrary origin. Use it for durations and leases. */
  monotonic(): number;
  /** Milliseconds since the Unix epoch; may step. Use it for what people and other systems read. */
  wall(): number;
  /** Runs the action once after the delay in milliseconds. */
  after(delayMs: number, action: () => void): Timer;
  /** Runs the action each interval in milliseconds until cancelled. */
  every(intervalMs: number, action: () => void): Timer;
}

/** Clock of the running process; its timers do not keep the process alive. */
export class SystemClock implements Clock {
  monotonic(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = setTimeout(action, delayMs);
    timer.unref();
    return { cancel: () => clearTimeout(timer) };
  }

  every(intervalMs: number, action: () => void): Timer {
    const timer = setInterval(action, intervalMs);
    timer.unref();
    return { cancel: () => clearInterval(timer) };
  }
}
