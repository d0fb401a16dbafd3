/** Clock interface and its implementation on the system clock. */

/** A pending timer that can be cancelled. */
export interface Timer {
  cancel(): void;
}

/** Source of time and timers; injected so that tests can control time. */
export interface Clock {
  /** Milliseconds from an arbitrary origin; never decreases. Use it for durations and leases. */
  monotonic(): number;
  /**
   * Milliseconds since the Unix epoch; may jump in either direction. Use it for timestamps that
   * people or other systems read.
   */
  wall(): number;
  /** Runs the action once, after `delayMs`. */
  after(delayMs: number, action: () => void): Timer;
  /** Runs the action repeatedly, every `intervalMs`, until cancelled. */
  every(intervalMs: number, action: () => void): Timer;
}

/** Longest delay that a timer of Node.js keeps: it fires at once for a longer one. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** System clock; its timers do not keep the process alive. */
export class SystemClock implements Clock {
  monotonic(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = setTimeout(action, Math.min(delayMs, MAX_DELAY_MS));
    timer.unref();
    return { cancel: () => clearTimeout(timer) };
  }

  every(intervalMs: number, action: () => void): Timer {
    const timer = setInterval(action, intervalMs);
    timer.unref();
    return { cancel: () => clearInterval(timer) };
  }
}
