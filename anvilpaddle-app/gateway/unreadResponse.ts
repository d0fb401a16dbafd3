/** What an ended response holds until its caller has read it. */
import type { ServerResponse } from 'node:http';
import { breakOffResponse, MS_PER_SECOND, type ByteHolder, type Room } from '@anvilpaddle/common';

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

/** Time without any byte read after which a caller gives way to those that wait for the room it takes. */
const GIVE_WAY_MS = 2 * MS_PER_SECOND;

/**
 * The same for the room of an ended response. A caller that has stopped reading keeps it only as long as nobody
 * else wants it.
 */
export const holdRoomUntilRead = (
  response: ServerResponse,
  room: Room,
  isWanted: () => boolean,
): void => {
  if (response.closed || response.writableLength === 0) {
    room.release();
    return;
  }
  room.shrinkTo(response.writableLength);
  let idleMs = 0;
  response.once('close', room.release);
  response.setTimeout(GIVE_WAY_MS, () => {
    idleMs += GIVE_WAY_MS;
    if (idleMs >= CALLER_TIMEOUT_MS || isWanted()) breakOffResponse(response);
    else response.socket?.setTimeout(GIVE_WAY_MS);
  });
};
