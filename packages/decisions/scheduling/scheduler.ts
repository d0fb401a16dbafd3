/** Scheduler interface for the work of one upstream, and a first-come, first-served scheduler. */
import type { ServiceClass } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';

/** One online request or batch item that needs a slot of the upstream. */
export interface Work {
  readonly id: string;
  readonly team: string;
  readonly route: string;
  readonly serviceClass: ServiceClass;
  /** Weight of the team when teams compete for slots. */
  readonly weight: number;
  /** Maximum number of output tokens that the request allows, if it sets one. */
  readonly maxTokens: number | undefined;
  /** Monotonic time in milliseconds by which the work must have finished. */
  readonly deadlineMs: number;
  /** `false` for batch work that can't be cancelled without losing its outcome. */
  readonly isPreemptible?: boolean;
  /** Batch work that was preempted before; it goes to the front of its team's queue. */
  readonly wasPreempted?: boolean;
}

/** Action that the caller of the scheduler has to carry out. */
export type Effect =
  /** Start the work at the upstream. */
  | { readonly kind: 'start'; readonly id: string }
  /** Cancel running batch work at the upstream; it is queued again and no attempt is counted. */
  | { readonly kind: 'preempt'; readonly id: string }
  /** Refuse the work; its caller should retry after the given time. */
  | {
      readonly kind: 'refuse';
      readonly id: string;
      readonly reason: 'overloaded' | 'deadline';
      readonly retryAfterMs: number;
    };

/** Decides which work runs at one upstream. Times are monotonic milliseconds. */
export interface Scheduler {
  /** Adds new work, which may start or be refused at once. */
  enqueue(work: Work, nowMs: number): Effect[];
  /**
   * Records that work has left the upstream, completed or not, after using `usedTokens` tokens; 0
   * means that they were not counted.
   */
  finish(id: string, usedTokens: number, nowMs: number): Effect[];
  /** Removes waiting work; returns false if it is not waiting. */
  withdraw(id: string): boolean;
  /**
   * Called periodically: refuses waiting work that has missed its deadline or, depending on the
   * scheduler, is expected to miss it or has waited too long; may also start or preempt other work.
   */
  tick(nowMs: number): Effect[];
  /** Load of the upstream as online requests see it. */
  load(): Load;
  /** Number of further batch items that could start immediately. */
  spareSlots(): number;
}

/** Serves work first come, first served, online requests before batch items, without preemption. */
export class FirstComeScheduler implements Scheduler {
  private readonly waiting: Record<ServiceClass, Work[]> = { online: [], batch: [] };

  private readonly running = new Set<string>();

  constructor(private readonly slots: number) {}

  enqueue(work: Work, nowMs: number): Effect[] {
    this.waiting[work.serviceClass].push(work);
    return this.fill(nowMs);
  }

  finish(id: string, _usedTokens: number, nowMs: number): Effect[] {
    this.running.delete(id);
    return this.fill(nowMs);
  }

  withdraw(id: string): boolean {
    return [this.waiting.online, this.waiting.batch].some((queue) => {
      const index = queue.findIndex((work) => work.id === id);
      if (index < 0) return false;
      queue.splice(index, 1);
      return true;
    });
  }

  tick(nowMs: number): Effect[] {
    const expired = [...this.waiting.online, ...this.waiting.batch].filter(
      (work) => work.deadlineMs <= nowMs,
    );
    expired.forEach((work) => this.withdraw(work.id));
    return expired.map(({ id }) => ({
      kind: 'refuse',
      id,
      reason: 'deadline',
      retryAfterMs: 1000,
    }));
  }

  load(): Load {
    return { running: this.running.size, waiting: this.waiting.online.length, slots: this.slots };
  }

  spareSlots(): number {
    const waiting = this.waiting.online.length + this.waiting.batch.length;
    return Math.max(0, this.slots - this.running.size - waiting);
  }

  private fill(nowMs: number): Effect[] {
    const effects = this.tick(nowMs);
    while (this.running.size < this.slots) {
      const next = this.waiting.online.shift() ?? this.waiting.batch.shift();
      if (next === undefined) break;
      this.running.add(next.id);
      effects.push({ kind: 'start', id: next.id });
    }
    return effects;
  }
}
