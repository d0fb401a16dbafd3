/** Baseline scheduler without priorities. */
import { FirstComeScheduler, type Effect, type Scheduler, type Work } from '@anvilpaddle/decisions';
import type { Load } from '@anvilpaddle/protocol';

/** Baseline: online and batch work share one queue, and no slots are reserved for online requests. */
export class SingleQueueScheduler implements Scheduler {
  private readonly queue: FirstComeScheduler;

  constructor(slots: number) {
    this.queue = new FirstComeScheduler(slots);
  }

  enqueue(work: Work, nowMs: number): Effect[] {
    return this.queue.enqueue({ ...work, serviceClass: 'online' }, nowMs);
  }

  finish(id: string, usedTokens: number, nowMs: number): Effect[] {
    return this.queue.finish(id, usedTokens, nowMs);
  }

  withdraw(id: string): boolean {
    return this.queue.withdraw(id);
  }

  tick(nowMs: number): Effect[] {
    return this.queue.tick(nowMs);
  }

  load(): Load {
    return this.queue.load();
  }

  spareSlots(): number {
    return this.queue.spareSlots();
  }
}
