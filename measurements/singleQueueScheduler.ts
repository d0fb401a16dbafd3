import { FirstComeScheduler, type Effect, type Scheduler, type Work } from '@anvilpaddle/decisions';
import type { Load } from '@anvilpaddle/protocol';

/** Naive version: online and batch in one line, no places kept. */
export class SingleQueueScheduler implements Scheduler {
  private readonly inner: FirstComeScheduler;

  constructor(slots: number) {
    this.inner = new FirstComeScheduler(slots);
  }

  enqueue(work: Work, nowMs: number): Effect[] {
    return this.inner.enqueue({ ...work, serviceClass: 'online' }, nowMs);
  }

  finish(id: string, usedTokens: number, nowMs: number): Effect[] {
    return this.inner.finish(id, usedTokens, nowMs);
  }

  withdraw(id: string): boolean {
    return this.inner.withdraw(id);
  }

  tick(nowMs: number): Effect[] {
    return this.inner.tick(nowMs);
  }

  load(): Load {
    return this.inner.load();
  }

  spareSlots(): number {
    return this.inner.spareSlots();
  }
}
