/** Baseline scheduler that reserves slots for online requests instead of preempting batch items. */
import { FirstComeScheduler, type Effect, type Work } from '@anvilpaddle/decisions';

/**
 * Baseline: starts batch work only when no online request waits and the reserved slots stay free;
 * preempts nothing.
 */
export class ReserveScheduler extends FirstComeScheduler {
  /** Batch work that waits for a slot. */
  private readonly batch: Work[] = [];

  constructor(
    private readonly totalSlots: number,
    private readonly reserve: number,
  ) {
    super(totalSlots);
  }

  override enqueue(work: Work, nowMs: number): Effect[] {
    if (work.serviceClass === 'online') return super.enqueue(work, nowMs);
    this.batch.push(work);
    return this.startBatchWork(nowMs);
  }

  override finish(id: string, usedTokens: number, nowMs: number): Effect[] {
    return [...super.finish(id, usedTokens, nowMs), ...this.startBatchWork(nowMs)];
  }

  private startBatchWork(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    while (super.load().waiting === 0 && super.load().running < this.totalSlots - this.reserve) {
      const next = this.batch.shift();
      if (next === undefined) break;
      effects.push(...super.enqueue(next, nowMs));
    }
    return effects;
  }
}
