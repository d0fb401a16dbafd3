import { EventEmitter } from 'node:events';
import { fromEvent } from 'most';

const DEFAULT_BOUND = 10_000;

/** Bounded queue of messages for one task; the task handles them one after the other. */
export interface Mailbox<M> {
  /** Adds a message; false when the bound is reached and the message was dropped. */
  post(message: M): boolean;
  /** Messages waiting or in work. */
  size(): number;
  /** Ends the stream; resolves when the last handler has returned. */
  close(): Promise<void>;
}

/**
 * Starts a task on a `most` stream of messages. A handler that returns a promise holds back the
 * next message until it settles; a rejection goes to `onFault` and the task continues.
 */
export const newMailbox = <M>(
  handle: (message: M) => void | Promise<void>,
  onFault: (fault: unknown) => void,
  bound: number = DEFAULT_BOUND,
): Mailbox<M> => {
  const emitter = new EventEmitter();
  let size = 0;
  let isClosed = false;
  let tail: Promise<void> = Promise.resolve();

  const work = async (message: M): Promise<void> => {
    try {
      await handle(message);
    } catch (fault) {
      onFault(fault);
    } finally {
      size -= 1;
      if (isClosed && size === 0) emitter.emit('drained');
    }
  };
  fromEvent<M>('message', emitter)
    .observe((message) => {
      tail = tail.then(() => work(message));
    })
    .catch(onFault);

  return {
    post: (message) => {
      if (isClosed || size >= bound) return false;
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
