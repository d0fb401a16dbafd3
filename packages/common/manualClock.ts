/** Clock for tests and simulations. */
import type { Clock, Timer } from './clock';

interface ScheduledTimer {
  dueMs: number;
  /** Undefined for a timer that runs once. */
  intervalMs: number | undefined;
  readonly action: () => void;
  /** Order of creation; decides between timers that are due at the same time. */
  readonly order: number;
}

/** Clock whose time changes only by its methods; timers run in order of their due time. */
export class ManualClock implements Clock {
  private nowMs = 0;

  private wallOffsetMs = Date.UTC(2026, 0, 1);

  private timers: ScheduledTimer[] = [];

  private nextOrder = 0;

  monotonic(): number {
    return this.nowMs;
  }

  wall(): number {
    return this.nowMs + this.wallOffsetMs;
  }

  after(delayMs: number, action: () => void): Timer {
    return this.schedule(delayMs, undefined, action);
  }

  every(intervalMs: number, action: () => void): Timer {
    return this.schedule(intervalMs, intervalMs, action);
  }

  /** Moves time forward and runs the timers that become due, each at its due time. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.getNextTimer(endMs);
      if (next === undefined) break;
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      if (next.intervalMs === undefined) this.timers = this.timers.filter((t) => t !== next);
      else next.dueMs += next.intervalMs;
      next.action();
    }
    this.nowMs = endMs;
  }

  /** Shifts the wall clock without changing monotonic time. */
  stepWall(offsetMs: number): void {
    this.wallOffsetMs += offsetMs;
  }

  private schedule(delayMs: number, intervalMs: number | undefined, action: () => void): Timer {
    const order = this.nextOrder;
    this.nextOrder += 1;
    const timer = { dueMs: this.nowMs + delayMs, intervalMs, action, order };
    this.timers.push(timer);
    return {
      cancel: () => {
        this.timers = this.timers.filter((t) => t !== timer);
      },
    };
  }

  private getNextTimer(endMs: number): ScheduledTimer | undefined {
    return this.timers
      .filter((t) => t.dueMs <= endMs)
      .sort((a, b) => a.dueMs - b.dueMs || a.order - b.order)[0];
  }
}
