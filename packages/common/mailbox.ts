/** Message queues that serialize asynchronous work. */
import { EventEmitter } from 'node:events';
import { fromEvent } from 'most';

const DEFAULT_CAPACITY = 10_000;

/** Bounded queue of messages that are handled one at a time, in order. */
export interface Mailbox<M> {
  /** Adds a message; returns false when it was dropped, since the mailbox is full or closed. */
  post(message: M): boolean;
  /** Number of messages that are waiting or being handled. */
  size(): number;
  /** Accepts no more messages; resolves once all accepted ones have been handled. */
  close(): Promise<void>;
}

/**
 * Creates a mailbox on a `most` stream. When the handler returns a promise, the next message waits
 * until it settles. Errors of the handler go to `onError`, after which handling continues.
 */
export const newMailbox = <M>(
  handle: (message: M) => void | Promise<void>,
  onError: (error: unknown) => void,
  capacity: number = DEFAULT_CAPACITY,
): Mailbox<M> => {
  const emitter = new EventEmitter();
  let size = 0;
  let isClosed = false;
  let lastHandled: Promise<void> = Promise.resolve();

  const handleNext = async (message: M): Promise<void> => {
    try {
      await handle(message);
    } catch (error) {
      onError(error);
    } finally {
      size -= 1;
      if (isClosed && size === 0) emitter.emit('drained');
    }
  };
  fromEvent<M>('message', emitter)
    .observe((message) => {
      lastHandled = lastHandled.then(() => handleNext(message));
    })
    .catch(onError);

  return {
    post: (message) => {
      if (isClosed || size >= capacity) return false;
      size += 1;
      emitter.emit('message', message);
      return true;
    },
    size: () => size,
    close: async () => {
      isClosed = true;
      if (size > 0) {
        await new Promise<void>((resolve) => {
          emitter.once('drained', resolve);
        });
      }
      emitter.removeAllListeners();
    },
  };
};
