/** Baseline scheduler that bounds the number of waiting requests. */
import { FirstComeScheduler, type Effect, type Work } from '@anvilpaddle/decisions';

/** Baseline: one queue that refuses new work once `maxWaiting` requests wait. */
export class CountBoundedScheduler extends FirstComeScheduler {
  constructor(
    slots: number,
    private readonly maxWaiting: number,
  ) {
    super(slots);
  }

  override enqueue(work: Work, nowMs: number): Effect[] {
    if (this.load().waiting < this.maxWaiting) return super.enqueue(work, nowMs);
    return [{ kind: 'refuse', id: work.id, reason: 'overloaded', retryAfterMs: 1000 }];
  }
}
