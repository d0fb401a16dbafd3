import type { Effect, Scheduler, Work } from '@anvilpaddle/decisions';
import { newMailbox, type Clock, type Logger } from '@anvilpaddle/common';
import type { Load } from '@anvilpaddle/protocol';

const TICK_MS = 50;

/** What the task tells the owner of a piece of work. */
export interface WorkOwner {
  start(): void;
  /** Batch work must leave the upstream at once; it may be submitted again. */
  preempt(): void;
  refuse(reason: 'overloaded' | 'deadline', retryAfterMs: number): void;
}

type Message =
  | { readonly kind: 'submit'; readonly work: Work; readonly owner: WorkOwner }
  | { readonly kind: 'finish'; readonly id: string; readonly usedTokens: number }
  | { readonly kind: 'withdraw'; readonly id: string; readonly reply: (taken: boolean) => void }
  | { readonly kind: 'tick' };

/** The one task that decides what enters the upstream. */
export interface UpstreamTask {
  submit(work: Work, owner: WorkOwner): void;
  finish(id: string, usedTokens: number): void;
  /** Takes back work that waits; false when it has started or is unknown. */
  withdraw(id: string): Promise<boolean>;
  load(): Load;
  spareSlots(): number;
  close(): Promise<void>;
}

/** Starts the task on a scheduler. */
export const newUpstreamTask = (scheduler: Scheduler, clock: Clock, log: Logger): UpstreamTask => {
  const owners = new Map<string, WorkOwner>();

  const carryOut = (effect: Effect): void => {
    const owner = owners.get(effect.id);
    if (owner === undefined) return;
    if (effect.kind === 'start') owner.start();
    if (effect.kind === 'preempt') owner.preempt();
    if (effect.kind === 'refuse') {
      owners.delete(effect.id);
      owner.refuse(effect.reason, effect.retryAfterMs);
    }
  };

  const decide = (message: Message): Effect[] => {
    const nowMs = clock.monotonic();
    switch (message.kind) {
      case 'submit':
        owners.set(message.work.id, message.owner);
        return scheduler.enqueue(message.work, nowMs);
      case 'finish':
        owners.delete(message.id);
        return scheduler.finish(message.id, message.usedTokens, nowMs);
      case 'withdraw': {
        const taken = scheduler.withdraw(message.id);
        if (taken) owners.delete(message.id);
        message.reply(taken);
        return [];
      }
      default:
        return scheduler.tick(nowMs);
    }
  };

  const mailbox = newMailbox<Message>(
    (message) => decide(message).forEach(carryOut),
    (fault) => log.error({ err: fault }, 'upstream task failed'),
  );
  const timer = clock.every(TICK_MS, () => mailbox.post({ kind: 'tick' }));

  return {
    submit: (work, owner) => {
      const posted = mailbox.post({ kind: 'submit', work, owner });
      if (!posted) owner.refuse('overloaded', 1000);
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
