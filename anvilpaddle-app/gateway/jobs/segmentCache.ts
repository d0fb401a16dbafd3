/** Keeps segments of items in memory that were read or submitted lately, within a bound. */
import { HELD_FOR, type ByteBudget } from '@anvilpaddle/common';
import type { ItemSegment, JobItem } from './types';

/** Part of the bytes for items; the others are for the items that run. */
const CACHE_FRACTION = 1 / 3;

/** Segments in memory; the one that was not used for the longest time goes first. */
export interface SegmentCache {
  get(segment: ItemSegment): readonly JobItem[] | undefined;
  has(segment: ItemSegment): boolean;
  /** Adds a segment; one that is larger than the bound stays alone. */
  put(segment: ItemSegment, items: readonly JobItem[]): void;
  /** Whether a segment fits without any other that goes. */
  hasRoomFor(segment: ItemSegment): boolean;
  forget(segment: ItemSegment): void;
}

/** Creates an empty cache. */
export const newSegmentCache = (byteBudget: ByteBudget): SegmentCache => {
  const maxBytes = byteBudget.getMaxBytes(HELD_FOR.item) * CACHE_FRACTION;
  const holder = byteBudget.newHolder(HELD_FOR.item);
  /** The cached segments, the least recently used first. */
  const cached = new Map<string, { readonly segment: ItemSegment; items: readonly JobItem[] }>();
  let heldBytes = 0;

  const setHeldBytes = (bytes: number): void => {
    heldBytes = bytes;
    holder.force(bytes);
  };

  const forget = ({ object }: ItemSegment): void => {
    const entry = cached.get(object);
    if (entry === undefined) return;
    cached.delete(object);
    setHeldBytes(heldBytes - entry.segment.bytes);
  };

  const makeRoomFor = (bytes: number): void => {
    for (const { segment } of cached.values()) {
      if (heldBytes + bytes <= maxBytes) return;
      forget(segment);
    }
  };

  return {
    has: ({ object }) => cached.has(object),
    get: ({ object }) => {
      const entry = cached.get(object);
      if (entry === undefined) return undefined;
      cached.delete(object);
      cached.set(object, entry);
      return entry.items;
    },
    put: (segment, items) => {
      forget(segment);
      makeRoomFor(segment.bytes);
      cached.set(segment.object, { segment, items });
      setHeldBytes(heldBytes + segment.bytes);
    },
    hasRoomFor: ({ bytes }) => heldBytes + bytes <= maxBytes,
    forget,
  };
};
