/** Reads an answer that nobody waits for piece by piece, in fewer and larger reads. */
import type { IncomingMessage } from 'node:http';
import type { Clock, Timer } from '@anvilpaddle/common';

/** Time for which data gathers at the connection before it is read. */
const GATHER_MS = 120;

/** Time in which data that has gathered is taken in when reading is to end. */
const LEAVE_MS = 10;

/**
 * Passes on all data of an answer; resolves at its end, false when it was cut. The connection must
 * have been opened for bulk reading, so that it stops taking in data between two reads.
 */
export const readInBulk = (
  message: IncomingMessage,
  onData: (chunk: Buffer) => void,
  signal: AbortSignal,
  clock: Clock,
): Promise<boolean> =>
  new Promise((resolve) => {
    let timer: Timer | undefined;
    const drain = (): void => {
      timer = undefined;
      for (;;) {
        const chunk = message.read() as Buffer | null;
        if (chunk === null) return;
        onData(chunk);
      }
    };
    const leave = (): void => {
      drain();
      // What has arrived by now is read before the connection closes.
      clock.after(LEAVE_MS, () => message.destroy());
    };
    const finish = (isWhole: boolean): void => {
      timer?.cancel();
      signal.removeEventListener('abort', leave);
      resolve(isWhole);
    };
    message.on('readable', () => {
      if (signal.aborted) drain();
      else timer ??= clock.after(GATHER_MS, drain);
    });
    signal.addEventListener('abort', leave, { once: true });
    message.on('end', () => finish(message.complete));
    message.on('error', () => finish(false));
    message.on('close', () => finish(false));
  });
