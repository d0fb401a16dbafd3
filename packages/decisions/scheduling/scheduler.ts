import type { ServiceClass } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';

/** One request or batch item that wants a slot of the upstream. */
export interface Work {
  readonly id: string;
  readonly team: string;
  readonly route: string;
  readonly serviceClass: ServiceClass;
  /** Share of service when teams compete. */
  readonly weight: number;
  /** Output tokens that the caller allows, when known. */
  readonly maxTokens: number | undefined;
  /** Monotonic milliseconds by which it must have finished. */
  readonly deadlineMs: number;
  /** `false` for batch work that cannot be cancelled without losing its outcome. */
  readonly isPreemptible?: boolean;
  /** Batch work that yielded before; it goes to the front of its team's line. */
  readonly wasPreempted?: boolean;
}

/** What the owner of the upstream has to do after a decision. */
export type Effect =
  | { readonly kind: 'start'; readonly id: string }
  /** Cancel running batch work at the upstream; it goes back in line without an attempt lost. */
  | { readonly kind: 'preempt'; readonly id: string }
  | {
      readonly kind: 'refuse';
      readonly id: string;
      readonly reason: 'overloaded' | 'deadline';
      readonly retryAfterMs: number;
    };

/** Orders work for one upstream; times are monotonic milliseconds. */
export interface Scheduler {
  enqueue(work: Work, nowMs: number): Effect[];
  /** Work has left the upstream, finished or not; `usedTokens` is what it was served. */
  finish(id: string, usedTokens: number, nowMs: number): Effect[];
  /** Takes back work that waits; false when it is not waiting. */
  withdraw(id: string): boolean;
  /** Lets time pass: refuses what can no longer finish in time. */
  tick(nowMs: number): Effect[];
  load(): Load;
  /** Batch items that could start at once. */
  spareSlots(): number;
}

/** First come, first served, online before batch; no preemption. */
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
    const late = [...this.waiting.online, ...this.waiting.batch].filter(
      (work) => work.deadlineMs <= nowMs,
    );
    late.forEach((work) => this.withdraw(work.id));
    return late.map(({ id }) => ({ kind: 'refuse', id, reason: 'deadline', retryAfterMs: 1000 }));
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
