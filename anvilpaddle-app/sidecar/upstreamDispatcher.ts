import type { Effect, Scheduler, Work } from '@anvilpaddle/decisions';
import { newMailbox, type Clock, type Logger } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';

const TICK_MS = 50;
const MAX_WAITING_MESSAGES = 10_000;
const RETRY_AFTER_MS = 1000;

/** What the task tells the owner of a piece of work. */
export interface WorkOwner {
  /** A throw counts as the end of the work. */
  start(): void;
  /**
   * Batch work must leave the upstream at once: cancel, `finish` with 0 tokens unless it has just
   * ended by itself, and submit it again under the same id to keep its place in line.
   */
  preempt(): void;
  refuse(reason: 'overloaded' | 'deadline', retryAfterMs: number): void;
}

type Message =
  | { readonly kind: 'submit'; readonly work: Work; readonly owner: WorkOwner }
  | { readonly kind: 'finish'; readonly id: string; readonly usedTokens: number }
  | { readonly kind: 'withdraw'; readonly id: string; readonly reply: (taken: boolean) => void }
  | { readonly kind: 'tick' };

/** The one task that decides what enters the upstream. */
export interface UpstreamDispatcher {
  submit(work: Work, owner: WorkOwner): void;
  /** Frees the slot; `usedTokens` is 0 when nobody counted them. */
  finish(id: string, usedTokens: number): void;
  /** Takes back work that waits; false when it has started or is unknown. */
  withdraw(id: string): Promise<boolean>;
  load(): Load;
  spareSlots(): number;
  close(): Promise<void>;
}

/** Starts the task on a scheduler. */
export const newUpstreamDispatcher = (
  scheduler: Scheduler,
  clock: Clock,
  log: Logger,
): UpstreamDispatcher => {
  const owners = new Map<string, WorkOwner>();

  let isTickWaiting = false;

  const tell = (effect: Effect, owner: WorkOwner): void => {
    switch (effect.kind) {
      case 'start':
        owner.start();
        return;
      case 'preempt':
        owner.preempt();
        return;
      default:
        owners.delete(effect.id);
        owner.refuse(effect.reason, effect.retryAfterMs);
    }
  };

  /** Gives false when the owner failed to start its work. */
  const carryOut = (effect: Effect): boolean => {
    const owner = owners.get(effect.id);
    if (owner === undefined) return effect.kind !== 'start';
    try {
      tell(effect, owner);
      return true;
    } catch (fault) {
      log.error({ err: fault, effect: effect.kind }, 'owner of work failed');
      return effect.kind !== 'start';
    }
  };

  const finishNow = (id: string, usedTokens: number): Effect[] => {
    owners.delete(id);
    return scheduler.finish(id, usedTokens, clock.monotonic());
  };

  const carryOutAll = (effects: readonly Effect[]): void => {
    const left = [...effects];
    for (let effect = left.shift(); effect !== undefined; effect = left.shift()) {
      if (!carryOut(effect)) left.push(...finishNow(effect.id, 0));
    }
  };

  const decide = (message: Message): Effect[] => {
    const nowMs = clock.monotonic();
    switch (message.kind) {
      case 'submit':
        if (owners.has(message.work.id)) {
          // One id at a time: the work that came first keeps it.
          message.owner.refuse('overloaded', RETRY_AFTER_MS);
          return [];
        }
        owners.set(message.work.id, message.owner);
        return scheduler.enqueue(message.work, nowMs);
      case 'finish':
        return finishNow(message.id, message.usedTokens);
      case 'withdraw': {
        const taken = scheduler.withdraw(message.id);
        if (taken) owners.delete(message.id);
        message.reply(taken);
        return [];
      }
      default:
        isTickWaiting = false;
        return scheduler.tick(nowMs);
    }
  };

  const mailbox = newMailbox<Message>(
    (message) => carryOutAll(decide(message)),
    (fault) => log.error({ err: fault }, 'upstream task failed'),
    // A lost `finish` would cost a slot for good, so that only submissions are bounded, below.
    Infinity,
  );
  const timer = clock.every(TICK_MS, () => {
    if (isTickWaiting) return;
    isTickWaiting = mailbox.post({ kind: 'tick' });
  });

  return {
    submit: (work, owner) => {
      const isFull = mailbox.size() >= MAX_WAITING_MESSAGES;
      const isPosted = !isFull && mailbox.post({ kind: 'submit', work, owner });
      if (!isPosted) owner.refuse('overloaded', RETRY_AFTER_MS);
    },
    finish: (id, usedTokens) => {
      mailbox.post({ kind: 'finish', id, usedTokens });
    },
    withdraw: (id) =>
      new Promise((resolve) => {
        const posted = mailbox.post({ kind: 'withdraw', id, reply: resolve });
        if (!posted) resolve(false);
      }),
    load: () => scheduler.load(),
    spareSlots: () => scheduler.spareSlots(),
    close: async () => {
      timer.cancel();
      await mailbox.close();
    },
  };
};
