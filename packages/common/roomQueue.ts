/**
 * Admits work that brings bytes into the process as far as a bound leaves room. What finds none waits in the
 * order in which it came, up to its deadline.
 */
import type { ByteHolder } from './byteBudget';
import type { Clock, Timer } from './clock';
import { NoRoomError } from './noRoomError';

/** Number of waiting ones from which on others are refused at once: those would wait in vain. */
const MAX_WAITING = 256;

/** Bytes that some work may hold, until it releases them. */
export interface Room {
  /** Gives back all but so many bytes. */
  shrinkTo(bytes: number): void;
  release(): void;
}

/** How long to wait for room. */
export interface RoomWait {
  readonly timeoutMs: number;
  /** Ends the wait when nobody needs the room any more. */
  readonly signal?: AbortSignal | undefined;
}

/** Queue of the work that shares one bound. */
export interface RoomQueue {
  /** Waits for room; more than the bound gets all of it. Rejects with `NoRoomError`. */
  take(bytes: number, wait: RoomWait): Promise<Room>;
  getWaitingCount(): number;
}

/** One that waits. */
interface Waiting {
  readonly bytes: number;
  admit(): void;
}

/** Creates a queue whose work holds at most `maxBytes`, which it reports to the holder. */
export const newRoomQueue = (maxBytes: number, holder: ByteHolder, clock: Clock): RoomQueue => {
  const waiting: Waiting[] = [];
  let heldBytes = 0;

  const setHeldBytes = (bytes: number): void => {
    heldBytes = bytes;
    holder.force(bytes);
  };

  const admitWaiting = (): void => {
    for (let next = waiting[0]; next !== undefined; [next] = waiting) {
      if (heldBytes + next.bytes > maxBytes) return;
      waiting.shift();
      next.admit();
    }
  };

  const newRoom = (bytes: number): Room => {
    let ownBytes = bytes;
    setHeldBytes(heldBytes + bytes);
    const shrinkTo = (left: number): void => {
      if (left >= ownBytes) return;
      setHeldBytes(heldBytes - ownBytes + left);
      ownBytes = left;
      admitWaiting();
    };
    return { shrinkTo, release: () => shrinkTo(0) };
  };

  const waitForRoom = (bytes: number, { timeoutMs, signal }: RoomWait): Promise<Room> =>
    new Promise((resolve, reject) => {
      let timer: Timer | undefined;
      let waiter: Waiting | undefined;
      const stopWaiting = (): void => {
        timer?.cancel();
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after it is set
        signal?.removeEventListener('abort', abort);
      };
      const giveUp = (detail: string): void => {
        stopWaiting();
        if (waiter !== undefined) waiting.splice(waiting.indexOf(waiter), 1);
        reject(new NoRoomError(detail));
        // The one behind it may need less.
        admitWaiting();
      };
      const abort = (): void => giveUp('given up by the caller');
      waiter = {
        bytes,
        admit: () => {
          stopWaiting();
          resolve(newRoom(bytes));
        },
      };
      waiting.push(waiter);
      timer = clock.after(timeoutMs, () => giveUp(`none within ${timeoutMs} ms`));
      signal?.addEventListener('abort', abort, { once: true });
    });

  return {
    take: (wantedBytes, wait) => {
      const bytes = Math.min(wantedBytes, maxBytes);
      if (wait.signal?.aborted === true) {
        return Promise.reject(new NoRoomError('given up by the caller'));
      }
      const isFree = waiting.length === 0 && heldBytes + bytes <= maxBytes;
      if (isFree) return Promise.resolve(newRoom(bytes));
      if (waiting.length >= MAX_WAITING) {
        return Promise.reject(new NoRoomError(`${waiting.length} others wait`));
      }
      return waitForRoom(bytes, wait);
    },
    getWaitingCount: () => waiting.length,
  };
};
