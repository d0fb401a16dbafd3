/** What an ended response holds until its caller has read it. */
import type { ServerResponse } from 'node:http';
import { breakOffResponse, MS_PER_SECOND, type ByteHolder } from '@anvilpaddle/common';

/**
 * Time without any byte read after which the caller's connection is closed. Until then a caller that has
 * stopped reading keeps its response in memory.
 */
const CALLER_TIMEOUT_MS = 10 * MS_PER_SECOND;

/** Keeps the bytes of an ended response held until they are sent, or its caller reads nothing for long. */
export const holdUntilRead = (
  response: ServerResponse,
  holder: ByteHolder,
  timeoutMs = CALLER_TIMEOUT_MS,
): void => {
  if (response.closed || response.writableLength === 0) {
    holder.release();
    return;
  }
  holder.force(response.writableLength);
  response.once('close', holder.release);
  response.setTimeout(timeoutMs, () => breakOffResponse(response));
};
