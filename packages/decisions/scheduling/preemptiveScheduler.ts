/** Scheduler that preempts batch items for online requests. */
import { SERVICE_CLASS } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';
import { getExpectedWaitMs } from './expectedWait';
import { newFairQueue, type FairQueue } from './fairQueue';
import type { QueueEntry } from './teamQueue';
import type { Effect, Scheduler, Work } from './scheduler';
import { newServiceEstimates } from './serviceEstimates';

/** Default pause after a preemption before batch work starts again. */
const BATCH_RESTART_DELAY_MS = 20;
/** Time after which a preempted item that still runs no longer counts as about to free its slot. */
const PREEMPTION_TIMEOUT_MS = 100;
/** Shortest time after which a refused caller is asked to retry. */
const MIN_RETRY_AFTER_MS = 50;
/** Multiple of the maximum expected wait after which a waiting request is refused. */
const MAX_WAIT_FACTOR = 2;
/** Fraction of its expected duration that running work is assumed to need at least. */
const MIN_REMAINING_FRACTION = 0.1;

/** Limits for the work at one upstream. */
export interface SchedulerBounds {
  /** Number of requests that the upstream runs at the same time. */
  readonly slots: number;
  /** Number of slots that batch work leaves free for online requests. */
  readonly reserve: number;
  /** Maximum number of batch items that run at the same time; `slots` if not set. */
  readonly batchSlots?: number;
  /** Maximum expected wait of a team's online requests, in milliseconds. */
  readonly getMaxWaitMs: (team: string) => number;
  /** Pause after a preemption before batch work starts again, in milliseconds; 20 if not set. */
  readonly batchRestartDelayMs?: number;
}

/** Work that occupies a slot. */
interface Running {
  readonly entry: QueueEntry;
  readonly startedMs: number;
  preemptedMs: number | undefined;
}

const isBatch = ({ work }: QueueEntry): boolean => work.serviceClass === SERVICE_CLASS.batch;

const isPreemptible = (entry: QueueEntry): boolean =>
  isBatch(entry) && entry.work.isPreemptible !== false;

/**
 * Runs online requests before batch items, and the teams within each class by weighted fair
 * queuing. An online request whose expected wait is too long is refused on arrival. Batch items run
 * in spare slots and are preempted as soon as an online request needs one.
 */
export class PreemptiveScheduler implements Scheduler {
  private readonly queues: Record<'online' | 'batch', FairQueue> = {
    online: newFairQueue(),
    batch: newFairQueue(),
  };

  private readonly running = new Map<string, Running>();

  private readonly estimates = newServiceEstimates();

  private onlineRunning = 0;

  private batchPausedUntilMs = -Infinity;

  constructor(private readonly bounds: SchedulerBounds) {}

  enqueue(work: Work, nowMs: number): Effect[] {
    if (this.isKnown(work.id)) return [];
    const estimate = this.estimates.get(work);
    const isOnline = work.serviceClass === SERVICE_CLASS.online;
    const entry: QueueEntry = { work, estimate, arrivedMs: nowMs };
    const refusal = isOnline ? this.getRefusal(entry, nowMs) : undefined;
    if (refusal !== undefined) return [refusal];
    const place = work.wasPreempted === true ? 'front' : 'back';
    this.queues[work.serviceClass].add(entry, place);
    return this.dispatch(nowMs);
  }

  finish(id: string, usedTokens: number, nowMs: number): Effect[] {
    const finished = this.running.get(id);
    if (finished === undefined) return this.dispatch(nowMs);
    this.running.delete(id);
    if (!isBatch(finished.entry)) this.onlineRunning -= 1;
    this.settle(finished, usedTokens > 0 ? usedTokens : 0, nowMs);
    return this.dispatch(nowMs);
  }

  withdraw(id: string): boolean {
    const removed = this.queues.online.remove(id) ?? this.queues.batch.remove(id);
    return removed !== undefined;
  }

  tick(nowMs: number): Effect[] {
    const lateOnline = this.queues.online.removeWhere((entry) => this.isLate(entry, nowMs));
    const lateBatch = this.queues.batch.removeWhere(({ work }) => work.deadlineMs <= nowMs);
    const refusals = [...lateOnline, ...lateBatch].map((entry) => this.refuseLate(entry, nowMs));
    this.queues.online.evictIdleTeams(nowMs);
    this.queues.batch.evictIdleTeams(nowMs);
    return [...refusals, ...this.dispatch(nowMs)];
  }

  /** Load for online requests: batch items are reported apart, since they can be preempted. */
  load(): Load {
    return {
      running: this.onlineRunning,
      waiting: this.queues.online.waiting(),
      slots: this.bounds.slots,
      batch: this.running.size - this.onlineRunning,
    };
  }

  spareSlots(): number {
    if (this.queues.online.waiting() > 0) return 0;
    return Math.max(0, this.getFreeBatchSlots() - this.queues.batch.waiting());
  }

  /** Number of waiting online requests and batch items. */
  waiting(): number {
    return this.queues.online.waiting() + this.queues.batch.waiting();
  }

  private isKnown(id: string): boolean {
    return this.running.has(id) || Object.values(this.queues).some((queue) => queue.has(id));
  }

  private getFreeBatchSlots(): number {
    const { slots, reserve, batchSlots = slots } = this.bounds;
    const batchRunning = this.running.size - this.onlineRunning;
    return Math.min(slots - reserve - this.running.size, batchSlots - batchRunning);
  }

  /** Expected wait of a new online request of the team. */
  private getWaitMs(team: string, nowMs: number): number {
    const { slots } = this.bounds;
    const { online } = this.queues;
    if (online.waiting() === 0 && this.onlineRunning < slots) return 0;
    const timesUntilFreeMs: number[] = [];
    this.running.forEach(({ entry, startedMs }) => {
      const { durationMs } = entry.estimate;
      const leftMs = Math.max(
        durationMs * MIN_REMAINING_FRACTION,
        durationMs - (nowMs - startedMs),
      );
      if (!isBatch(entry)) timesUntilFreeMs.push(leftMs);
    });
    // Slots of batch items count as free, since the items can be preempted.
    while (timesUntilFreeMs.length < slots) timesUntilFreeMs.push(0);
    return getExpectedWaitMs(timesUntilFreeMs, online.getWorkAheadMs(team));
  }

  private getRefusal(entry: QueueEntry, nowMs: number): Effect | undefined {
    const { id, team, deadlineMs } = entry.work;
    const timeLeftMs = deadlineMs - nowMs;
    const waitMs = this.getWaitMs(team, nowMs);
    const latenessMs = waitMs + entry.estimate.upperDurationMs - timeLeftMs;
    // Expected to be late even without a wait: the estimate is lowered in case it is too high.
    if (entry.estimate.upperDurationMs >= timeLeftMs) this.estimates.decay(entry.work);
    // With a free slot nothing is lost by trying a request that is expected to be late.
    if (timeLeftMs <= 0 || (waitMs > 0 && latenessMs > 0)) {
      const retryAfterMs = this.getRetryAfterMs(Math.min(waitMs, latenessMs));
      return { kind: 'refuse', id, reason: 'deadline', retryAfterMs };
    }
    const excessMs = waitMs - this.bounds.getMaxWaitMs(team);
    if (excessMs <= 0 || this.isWithinShare(team)) return undefined;
    const retryAfterMs = this.getRetryAfterMs(excessMs);
    return { kind: 'refuse', id, reason: 'overloaded', retryAfterMs };
  }

  private getRetryAfterMs(waitMs: number): number {
    return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
  }

  /** Whether the team has nothing waiting and fewer requests running than its share of slots. */
  private isWithinShare(team: string): boolean {
    const { waiting, running, share } = this.queues.online.getTeamState(team);
    return waiting === 0 && running < share * this.bounds.slots;
  }

  /** Whether a waiting request can't finish in time or has waited for too long. */
  private isLate({ work, estimate, arrivedMs }: QueueEntry, nowMs: number): boolean {
    const maxWaitMs = this.bounds.getMaxWaitMs(work.team) * MAX_WAIT_FACTOR;
    return nowMs + estimate.durationMs >= work.deadlineMs || nowMs - arrivedMs >= maxWaitMs;
  }

  private refuseLate({ work, estimate }: QueueEntry, nowMs: number): Effect {
    const missesDeadline = nowMs + estimate.durationMs >= work.deadlineMs;
    const waitMs = this.getWaitMs(work.team, nowMs);
    return {
      kind: 'refuse',
      id: work.id,
      reason: missesDeadline ? 'deadline' : 'overloaded',
      retryAfterMs: this.getRetryAfterMs(waitMs),
    };
  }

  private settle(finished: Running, usedTokens: number, nowMs: number): void {
    const { entry, startedMs, preemptedMs } = finished;
    const { work } = entry;
    const durationMs = Math.max(0, nowMs - startedMs);
    const queue = this.queues[work.serviceClass];
    if (preemptedMs !== undefined && usedTokens === 0) {
      // The team is not charged for a preempted item without counted tokens: its work is lost.
      queue.settle(entry, 0, nowMs);
      return;
    }
    queue.settle(entry, usedTokens || this.estimates.getTokensForDuration(durationMs), nowMs);
    this.estimates.learn(work, usedTokens, durationMs);
  }

  /** Starts and preempts work as the free slots allow. */
  private dispatch(nowMs: number): Effect[] {
    return [...this.startOnline(nowMs), ...this.preemptBatch(nowMs), ...this.startBatch(nowMs)];
  }

  private startOnline(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    while (this.running.size < this.bounds.slots) {
      const entry = this.queues.online.take(nowMs);
      if (entry === undefined) break;
      effects.push(this.start(entry, nowMs));
    }
    return effects;
  }

  private startBatch(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    if (this.queues.online.waiting() > 0 || nowMs < this.batchPausedUntilMs) return effects;
    while (this.getFreeBatchSlots() > 0) {
      const entry = this.queues.batch.take(nowMs);
      if (entry === undefined) break;
      effects.push(this.start(entry, nowMs));
    }
    return effects;
  }

  private start(entry: QueueEntry, nowMs: number): Effect {
    const { id, deadlineMs, serviceClass } = entry.work;
    // If the process was paused, the deadline may have passed before any tick noticed it.
    if (deadlineMs <= nowMs) {
      this.queues[serviceClass].settle(entry, 0, nowMs);
      return this.refuseLate(entry, nowMs);
    }
    this.running.set(id, { entry, startedMs: nowMs, preemptedMs: undefined });
    if (!isBatch(entry)) this.onlineRunning += 1;
    return { kind: 'start', id };
  }

  /** Preempts batch items until waiting online requests and the reserve have their slots. */
  private preemptBatch(nowMs: number): Effect[] {
    const { slots, reserve } = this.bounds;
    const needed = this.queues.online.waiting() + reserve;
    if (this.running.size === this.onlineRunning || this.running.size + needed <= slots) return [];
    // The most recently started items go first, as they lose the least work.
    const items = [...this.running].filter(([, { entry }]) => isPreemptible(entry)).reverse();
    const isBeingPreempted = ({ preemptedMs }: Running): boolean =>
      preemptedMs !== undefined && nowMs - preemptedMs < PREEMPTION_TIMEOUT_MS;
    const preemptedSlots = items.filter(([, item]) => isBeingPreempted(item)).length;
    const freeSlots = slots - this.running.size + preemptedSlots;
    const missingSlots = needed - freeSlots;
    if (missingSlots <= 0) return [];
    const itemsToPreempt = items
      .filter(([, { preemptedMs }]) => preemptedMs === undefined)
      .slice(0, missingSlots);
    if (itemsToPreempt.length > 0) this.batchPausedUntilMs = nowMs + this.getBatchRestartDelayMs();
    return itemsToPreempt.map(([id, item]) => {
      this.running.set(id, { ...item, preemptedMs: nowMs });
      return { kind: 'preempt', id };
    });
  }

  private getBatchRestartDelayMs(): number {
    return this.bounds.batchRestartDelayMs ?? BATCH_RESTART_DELAY_MS;
  }
}
