import { FirstComeScheduler, type Effect, type Work } from '@anvilpaddle/decisions';

/** Naive version: online first, batch leaves a reserve free, nothing is preempted. */
export class ReserveScheduler extends FirstComeScheduler {
  private readonly batch: Work[] = [];

  constructor(
    private readonly all: number,
    private readonly reserve: number,
  ) {
    super(all);
  }

  override enqueue(work: Work, nowMs: number): Effect[] {
    if (work.serviceClass === 'online') return super.enqueue(work, nowMs);
    this.batch.push(work);
    return this.startBatch(nowMs);
  }

  override finish(id: string, usedTokens: number, nowMs: number): Effect[] {
    return [...super.finish(id, usedTokens, nowMs), ...this.startBatch(nowMs)];
  }

  private startBatch(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    while (super.load().waiting === 0 && super.load().running < this.all - this.reserve) {
      const next = this.batch.shift();
      if (next === undefined) break;
      effects.push(...super.enqueue(next, nowMs));
    }
    return effects;
  }
}
