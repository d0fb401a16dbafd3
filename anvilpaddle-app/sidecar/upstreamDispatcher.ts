/** Dispatches work to the upstream in the order that a scheduler decides. */
import type { Effect, Scheduler, Work } from '@anvilpaddle/decisions';
import { newMailbox, type Clock, type Logger } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';

const TICK_INTERVAL_MS = 50;
const MAX_QUEUED_MESSAGES = 10_000;
const RETRY_AFTER_MS = 1000;

/** Callbacks through which the dispatcher informs the owner of a piece of work. */
export interface WorkOwner {
  /** The work may be sent to the upstream; an exception counts as the end of the work. */
  start(): void;
  /**
   * Batch work must free its slot at once: the owner cancels it, calls `finish` with 0 tokens
   * unless it has just ended by itself, and submits it again under the same id to keep its queue
   * position.
   */
  preempt(): void;
  /** The work was not started and has left the queue. */
  refuse(reason: 'overloaded' | 'deadline', retryAfterMs: number): void;
}

type Message =
  | { readonly kind: 'submit'; readonly work: Work; readonly owner: WorkOwner }
  | { readonly kind: 'finish'; readonly id: string; readonly usedTokens: number }
  | { readonly kind: 'withdraw'; readonly id: string; readonly reply: (isRemoved: boolean) => void }
  | { readonly kind: 'tick' };

/** Decides which work enters the upstream and when; each sidecar has one. */
export interface UpstreamDispatcher {
  /** Queues work; the owner's `start` or `refuse` follows. */
  submit(work: Work, owner: WorkOwner): void;
  /** Frees the slot; `usedTokens` is 0 when the tokens were not counted. */
  finish(id: string, usedTokens: number): void;
  /** Removes queued work; resolves to false when it has started or is unknown. */
  withdraw(id: string): Promise<boolean>;
  /** Load of the upstream as online requests see it. */
  load(): Load;
  /** Number of further batch items that could start immediately. */
  spareSlots(): number;
  /** Stops the timer and handles the messages posted so far. */
  close(): Promise<void>;
}

/** Starts a dispatcher on a scheduler. */
export const newUpstreamDispatcher = (
  scheduler: Scheduler,
  clock: Clock,
  log: Logger,
): UpstreamDispatcher => {
  const owners = new Map<string, WorkOwner>();

  let isTickPosted = false;

  const notifyOwner = (effect: Effect, owner: WorkOwner): void => {
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

  /** Returns false when the owner failed to start its work. */
  const applyEffect = (effect: Effect): boolean => {
    const owner = owners.get(effect.id);
    if (owner === undefined) return effect.kind !== 'start';
    try {
      notifyOwner(effect, owner);
      return true;
    } catch (error) {
      log.error({ err: error, effect: effect.kind }, 'owner of work failed');
      return effect.kind !== 'start';
    }
  };

  const finishWork = (id: string, usedTokens: number): Effect[] => {
    owners.delete(id);
    return scheduler.finish(id, usedTokens, clock.monotonic());
  };

  const applyEffects = (effects: readonly Effect[]): void => {
    const pending = [...effects];
    for (let effect = pending.shift(); effect !== undefined; effect = pending.shift()) {
      if (!applyEffect(effect)) pending.push(...finishWork(effect.id, 0));
    }
  };

  const handleMessage = (message: Message): Effect[] => {
    const nowMs = clock.monotonic();
    switch (message.kind) {
      case 'submit':
        if (owners.has(message.work.id)) {
          // Ids are unique among open work: the work that was submitted first keeps the id.
          message.owner.refuse('overloaded', RETRY_AFTER_MS);
          return [];
        }
        owners.set(message.work.id, message.owner);
        return scheduler.enqueue(message.work, nowMs);
      case 'finish':
        return finishWork(message.id, message.usedTokens);
      case 'withdraw': {
        const isRemoved = scheduler.withdraw(message.id);
        if (isRemoved) owners.delete(message.id);
        message.reply(isRemoved);
        return [];
      }
      default:
        isTickPosted = false;
        return scheduler.tick(nowMs);
    }
  };

  const mailbox = newMailbox<Message>(
    (message) => applyEffects(handleMessage(message)),
    (error) => log.error({ err: error }, 'upstream dispatcher failed'),
    // Losing a `finish` would leak a slot for good, so only `submit` bounds the mailbox, below.
    Infinity,
  );
  const timer = clock.every(TICK_INTERVAL_MS, () => {
    if (isTickPosted) return;
    isTickPosted = mailbox.post({ kind: 'tick' });
  });

  return {
    submit: (work, owner) => {
      const isFull = mailbox.size() >= MAX_QUEUED_MESSAGES;
      const isPosted = !isFull && mailbox.post({ kind: 'submit', work, owner });
      if (!isPosted) owner.refuse('overloaded', RETRY_AFTER_MS);
    },
    finish: (id, usedTokens) => {
      mailbox.post({ kind: 'finish', id, usedTokens });
    },
    withdraw: (id) =>
      new Promise((resolve) => {
        const isPosted = mailbox.post({ kind: 'withdraw', id, reply: resolve });
        if (!isPosted) resolve(false);
      }),
    load: () => scheduler.load(),
    spareSlots: () => scheduler.spareSlots(),
    close: async () => {
      timer.cancel();
      await mailbox.close();
    },
  };
};
