/** Reads a response that need not be delivered chunk by chunk, in fewer and larger reads. */
import type { IncomingMessage } from 'node:http';
import {
  readOrFail,
  waitForBodyEnd,
  type BodyEnd,
  type Clock,
  type Timer,
} from '@anvilpaddle/common';

/**
 * Interval at which connections with data are read. All are read at the same multiples of it, so
 * that the process wakes up once for all of them.
 */
const READ_INTERVAL_MS = 120;

/** Time after an abort for reading data that has already arrived, before the connection closes. */
const CLOSE_DELAY_MS = 10;

const getDelayMs = (nowMs: number): number => READ_INTERVAL_MS - (nowMs % READ_INTERVAL_MS);

/**
 * Passes all data of a response to `onData`; resolves when its body has ended.
 * The connection must have been opened with `isBulk`, so that it reads no data ahead.
 */
export const readInBulk = async (
  message: IncomingMessage,
  onData: (chunk: Buffer) => void,
  signal: AbortSignal,
  clock: Clock,
): Promise<BodyEnd> => {
  let timer: Timer | undefined;
  const readBuffered = (): void => {
    timer = undefined;
    for (;;) {
      const chunk = message.read() as Buffer | null;
      if (chunk === null) return;
      readOrFail(message, () => onData(chunk));
    }
  };
  const stopReading = (): void => {
    readBuffered();
    // The delay lets data that has already arrived be read before the connection closes.
    clock.after(CLOSE_DELAY_MS, () => message.destroy());
  };
  message.on('readable', () => {
    if (signal.aborted) readBuffered();
    else timer ??= clock.after(getDelayMs(clock.monotonic()), readBuffered);
  });
  signal.addEventListener('abort', stopReading, { once: true });
  const end = await waitForBodyEnd(message);
  timer?.cancel();
  signal.removeEventListener('abort', stopReading);
  return end;
};
