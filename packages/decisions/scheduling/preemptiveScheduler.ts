import { SERVICE_CLASS } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';
import { getExpectedWaitMs } from './expectedWait';
import { newFairQueue, type FairQueue } from './fairQueue';
import type { QueueEntry } from './teamQueue';
import type { Effect, Scheduler, Work } from './scheduler';
import { newServiceEstimates } from './serviceEstimates';

const REFILL_HOLD_MS = 20;
const PREEMPT_PATIENCE_MS = 100;
const MIN_RETRY_AFTER_MS = 50;
const LONGEST_WAIT_FACTOR = 2;
/** Part of its expected duration that running work is thought to have left at least. */
const LEAST_LEFT = 0.1;

/** What bounds the work at one upstream. */
export interface SchedulerOptions {
  /** Requests that the upstream works on together. */
  readonly slots: number;
  /** Slots that batch work leaves free. */
  readonly reserve: number;
  /** Batch items at the upstream together; `slots` when missing. */
  readonly batchSlots?: number;
  /** Longest wait of a team's online requests, in milliseconds. */
  readonly getMaxWaitMs: (team: string) => number;
  /** Pause after a preemption before batch work starts again, in milliseconds. */
  readonly batchRestartDelayMs?: number;
}

interface Running {
  readonly entry: QueueEntry;
  readonly startedMs: number;
  preemptedMs: number | undefined;
}

const isBatch = ({ work }: QueueEntry): boolean => work.serviceClass === SERVICE_CLASS.batch;

const canYield = (entry: QueueEntry): boolean =>
  isBatch(entry) && entry.work.isPreemptible !== false;

/**
 * Online before batch, teams by weighted service within each class, and refusals at the arrival
 * when the wait would be too long. Batch work runs in spare slots and is preempted at once when
 * an online request wants one.
 */
export class PreemptiveScheduler implements Scheduler {
  private readonly queues: Record<'online' | 'batch', FairQueue> = {
    online: newFairQueue(),
    batch: newFairQueue(),
  };

  private readonly running = new Map<string, Running>();

  private readonly estimates = newServiceEstimates();

  private onlineRunning = 0;

  private refillFromMs = -Infinity;

  constructor(private readonly bounds: SchedulerOptions) {}

  enqueue(work: Work, nowMs: number): Effect[] {
    if (this.isKnown(work.id)) return [];
    const estimate = this.estimates.get(work);
    const isOnline = work.serviceClass === SERVICE_CLASS.online;
    const entry: QueueEntry = { work, estimate, arrivedMs: nowMs };
    const refusal = isOnline ? this.getRefusal(entry, nowMs) : undefined;
    if (refusal !== undefined) return [refusal];
    const place = work.wasPreempted === true ? 'front' : 'back';
    this.queues[work.serviceClass].add(entry, place);
    return this.fill(nowMs);
  }

  finish(id: string, usedTokens: number, nowMs: number): Effect[] {
    const ended = this.running.get(id);
    if (ended === undefined) return this.fill(nowMs);
    this.running.delete(id);
    if (!isBatch(ended.entry)) this.onlineRunning -= 1;
    this.settle(ended, usedTokens > 0 ? usedTokens : 0, nowMs);
    return this.fill(nowMs);
  }

  withdraw(id: string): boolean {
    const taken = this.queues.online.remove(id) ?? this.queues.batch.remove(id);
    return taken !== undefined;
  }

  tick(nowMs: number): Effect[] {
    const lateOnline = this.queues.online.removeWhere((entry) => this.isLate(entry, nowMs));
    const lateBatch = this.queues.batch.removeWhere(({ work }) => work.deadlineMs <= nowMs);
    const refusals = [...lateOnline, ...lateBatch].map((entry) => this.refuseLate(entry, nowMs));
    this.queues.online.evictIdleTeams(nowMs);
    this.queues.batch.evictIdleTeams(nowMs);
    return [...refusals, ...this.fill(nowMs)];
  }

  /** Batch work yields, so that it makes the upstream no busier for online requests. */
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
    return Math.max(0, this.getFreeForBatch() - this.queues.batch.waiting());
  }

  /** Waiting requests and items. */
  waiting(): number {
    return this.queues.online.waiting() + this.queues.batch.waiting();
  }

  private isKnown(id: string): boolean {
    return this.running.has(id) || Object.values(this.queues).some((queue) => queue.has(id));
  }

  private getFreeForBatch(): number {
    const { slots, reserve, batchSlots = slots } = this.bounds;
    const batchRunning = this.running.size - this.onlineRunning;
    return Math.min(slots - reserve - this.running.size, batchSlots - batchRunning);
  }

  private getWaitMs(team: string, nowMs: number): number {
    const { slots } = this.bounds;
    const { online } = this.queues;
    if (online.waiting() === 0 && this.onlineRunning < slots) return 0;
    const freeAtMs: number[] = [];
    this.running.forEach(({ entry, startedMs }) => {
      const { durationMs } = entry.estimate;
      const leftMs = Math.max(durationMs * LEAST_LEFT, durationMs - (nowMs - startedMs));
      if (!isBatch(entry)) freeAtMs.push(leftMs);
    });
    // Batch work yields, so that its slots count as free.
    while (freeAtMs.length < slots) freeAtMs.push(0);
    return getExpectedWaitMs(freeAtMs, online.getWorkAheadMs(team));
  }

  private getRefusal(entry: QueueEntry, nowMs: number): Effect | undefined {
    const { id, team, deadlineMs } = entry.work;
    const timeLeftMs = deadlineMs - nowMs;
    const waitMs = this.getWaitMs(team, nowMs);
    const overdueMs = waitMs + entry.estimate.upperDurationMs - timeLeftMs;
    if (entry.estimate.upperDurationMs >= timeLeftMs) this.estimates.decay(entry.work);
    // An upstream with a free slot loses nothing by trying.
    if (timeLeftMs <= 0 || (waitMs > 0 && overdueMs > 0)) {
      const retryAfterMs = this.getRetryAfterMs(Math.min(waitMs, overdueMs));
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

  /** Whether the team has nothing in line and fewer requests running than its part of the slots. */
  private isWithinShare(team: string): boolean {
    const { waiting, running, share } = this.queues.online.getTeamState(team);
    return waiting === 0 && running < share * this.bounds.slots;
  }

  private isLate({ work, estimate, arrivedMs }: QueueEntry, nowMs: number): boolean {
    const longestMs = this.bounds.getMaxWaitMs(work.team) * LONGEST_WAIT_FACTOR;
    return nowMs + estimate.durationMs >= work.deadlineMs || nowMs - arrivedMs >= longestMs;
  }

  private refuseLate({ work, estimate }: QueueEntry, nowMs: number): Effect {
    const isDeadline = nowMs + estimate.durationMs >= work.deadlineMs;
    const waitMs = this.getWaitMs(work.team, nowMs);
    return {
      kind: 'refuse',
      id: work.id,
      reason: isDeadline ? 'deadline' : 'overloaded',
      retryAfterMs: this.getRetryAfterMs(waitMs),
    };
  }

  private settle(ended: Running, usedTokens: number, nowMs: number): void {
    const { entry, startedMs, preemptedMs } = ended;
    const { work } = entry;
    const durationMs = Math.max(0, nowMs - startedMs);
    const queue = this.queues[work.serviceClass];
    if (preemptedMs !== undefined && usedTokens === 0) {
      // Work lost to a preemption is not the team's use.
      queue.settle(entry, 0, nowMs);
      return;
    }
    queue.settle(entry, usedTokens || this.estimates.getTokensForDuration(durationMs), nowMs);
    this.estimates.learn(work, usedTokens, durationMs);
  }

  private fill(nowMs: number): Effect[] {
    return [...this.startOnline(nowMs), ...this.yieldBatch(nowMs), ...this.startBatch(nowMs)];
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
    if (this.queues.online.waiting() > 0 || nowMs < this.refillFromMs) return effects;
    while (this.getFreeForBatch() > 0) {
      const entry = this.queues.batch.take(nowMs);
      if (entry === undefined) break;
      effects.push(this.start(entry, nowMs));
    }
    return effects;
  }

  private start(entry: QueueEntry, nowMs: number): Effect {
    const { id, deadlineMs, serviceClass } = entry.work;
    // After a pause of the process the deadline may have passed unseen.
    if (deadlineMs <= nowMs) {
      this.queues[serviceClass].settle(entry, 0, nowMs);
      return this.refuseLate(entry, nowMs);
    }
    this.running.set(id, { entry, startedMs: nowMs, preemptedMs: undefined });
    if (!isBatch(entry)) this.onlineRunning += 1;
    return { kind: 'start', id };
  }

  private yieldBatch(nowMs: number): Effect[] {
    const { slots, reserve } = this.bounds;
    const wanted = this.queues.online.waiting() + reserve;
    if (this.running.size === this.onlineRunning || this.running.size + wanted <= slots) return [];
    // The youngest first: it loses the least work.
    const items = [...this.running].filter(([, { entry }]) => canYield(entry)).reverse();
    const isLeaving = ({ preemptedMs }: Running): boolean =>
      preemptedMs !== undefined && nowMs - preemptedMs < PREEMPT_PATIENCE_MS;
    const leaving = items.filter(([, item]) => isLeaving(item)).length;
    const free = slots - this.running.size + leaving;
    const missing = wanted - free;
    if (missing <= 0) return [];
    const victims = items
      .filter(([, { preemptedMs }]) => preemptedMs === undefined)
      .slice(0, missing);
    if (victims.length > 0) this.refillFromMs = nowMs + this.getRefillHoldMs();
    return victims.map(([id, item]) => {
      this.running.set(id, { ...item, preemptedMs: nowMs });
      return { kind: 'preempt', id };
    });
  }

  private getRefillHoldMs(): number {
    return this.bounds.batchRestartDelayMs ?? REFILL_HOLD_MS;
  }
}
