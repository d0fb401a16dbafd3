/** Keeps an error of a reader of a response to that response. */
import type { Readable } from 'node:stream';
import { getErrorMessage } from './logging';

/** Error of a response whose reader has thrown. */
export class ReaderError extends Error {
  constructor(cause: unknown) {
    super(getErrorMessage(cause), { cause });
  }
}

/**
 * Calls a reader of a response from an event or a timer. There, an error of the reader would end the
 * process: it fails the response instead.
 */
export const readOrFail = (message: Readable, read: () => void): void => {
  try {
    read();
  } catch (error) {
    message.destroy(new ReaderError(error));
  }
};
