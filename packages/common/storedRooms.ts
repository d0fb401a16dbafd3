/**
 * Room for what a process reads from the store for its callers and peers. Small work has a part of its own, in
 * which it never waits behind large work. So have results that are objects, since a page of results holds room
 * while it waits for theirs: what waits for one part while it holds another does so in one order only.
 */
import { HELD_FOR, type ByteBudget } from './byteBudget';
import type { Clock } from './clock';
import { BYTES_PER_KIB } from './constants';
import { newRoomQueue, type Room, type RoomWait } from './roomQueue';

/** Size up to which work is small. */
const MAX_SMALL_BYTES = 256 * BYTES_PER_KIB;
/** Parts of the bytes for what is stored. */
const SMALL_FRACTION = 0.2;
const LARGE_FRACTION = 0.5;
const RESULT_FRACTION = 0.3;

/** Room in each part. */
export interface StoredRooms {
  /** Room for some work, by its size. */
  take(bytes: number, wait: RoomWait): Promise<Room>;
  /** Room for results that are objects. */
  takeForResults(bytes: number, wait: RoomWait): Promise<Room>;
  /** Number of those that wait for room. */
  getWaitingCount(): number;
}

/** Creates the parts of a budget. */
export const newStoredRooms = (byteBudget: ByteBudget, clock: Clock): StoredRooms => {
  const maxBytes = byteBudget.getMaxBytes(HELD_FOR.stored);
  const newPart = (fraction: number) =>
    newRoomQueue(maxBytes * fraction, byteBudget.newHolder(HELD_FOR.stored), clock);
  const small = newPart(SMALL_FRACTION);
  const large = newPart(LARGE_FRACTION);
  const results = newPart(RESULT_FRACTION);
  return {
    take: (bytes, wait) => (bytes <= MAX_SMALL_BYTES ? small : large).take(bytes, wait),
    takeForResults: results.take,
    getWaitingCount: () =>
      [small, large, results].reduce((count, part) => count + part.getWaitingCount(), 0),
  };
};
