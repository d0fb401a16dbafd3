/** Reads a response that need not be delivered chunk by chunk, in fewer and larger reads. */
import type { IncomingMessage } from 'node:http';
import type { Clock, Timer } from '@anvilpaddle/common';

/** Time for which data accumulates on the connection before it is read. */
const READ_INTERVAL_MS = 120;

/** Time after an abort for reading data that has already arrived, before the connection closes. */
const CLOSE_DELAY_MS = 10;

/**
 * Passes all data of a response to `onData`; resolves at its end, with false when it was truncated.
 * The connection must have been opened with `isBulk`, so that it reads no data ahead.
 */
export const readInBulk = (
  message: IncomingMessage,
  onData: (chunk: Buffer) => void,
  signal: AbortSignal,
  clock: Clock,
): Promise<boolean> =>
  new Promise((resolve) => {
    let timer: Timer | undefined;
    const readBuffered = (): void => {
      timer = undefined;
      for (;;) {
        const chunk = message.read() as Buffer | null;
        if (chunk === null) return;
        onData(chunk);
      }
    };
    const stopReading = (): void => {
      readBuffered();
      // The delay lets data that has already arrived be read before the connection closes.
      clock.after(CLOSE_DELAY_MS, () => message.destroy());
    };
    const finish = (isComplete: boolean): void => {
      timer?.cancel();
      signal.removeEventListener('abort', stopReading);
      resolve(isComplete);
    };
    message.on('readable', () => {
      if (signal.aborted) readBuffered();
      else timer ??= clock.after(READ_INTERVAL_MS, readBuffered);
    });
    signal.addEventListener('abort', stopReading, { once: true });
    message.on('end', () => finish(message.complete));
    message.on('error', () => finish(false));
    message.on('close', () => finish(false));
  });
