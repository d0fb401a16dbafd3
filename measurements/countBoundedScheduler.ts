import { FirstComeScheduler, type Effect, type Work } from '@anvilpaddle/decisions';

/** Naive version: one line, refuses when so many wait. */
export class CountBoundedScheduler extends FirstComeScheduler {
  constructor(
    slots: number,
    private readonly bound: number,
  ) {
    super(slots);
  }

  override enqueue(work: Work, nowMs: number): Effect[] {
    if (this.load().waiting < this.bound) return super.enqueue(work, nowMs);
    return [{ kind: 'refuse', id: work.id, reason: 'overloaded', retryAfterMs: 1000 }];
  }
}
