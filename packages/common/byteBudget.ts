/**
 * Bounds the received bytes that a process holds at a moment. A message may hold a multiple of what is left
 * free, so that the bound is never reached: the more is held, the smaller is the share of each message, and
 * large ones yield before small ones (a dynamic threshold, as switches use it for shared buffers).
 */
import { getHeapStatistics } from 'node:v8';
import { BYTES_PER_MIB } from './constants';

/** Bytes that a message may hold for each byte that is left free. */
const SHARE_OF_FREE_BYTES = 2;
/** The same for bytes that wait for a slow reader. */
const WAITING_SHARE_OF_FREE_BYTES = 1 / 8;
/** Fraction of the bytes of a kind that may wait for slow readers, so that other messages have the rest. */
const MAX_WAITING_FRACTION = 1 / 2;
/** Bytes that a message may hold in any case; the number of connections bounds their sum. */
const MIN_SHARE_BYTES = 8192;

/** Least budget, with which the largest response fits. */
export const MIN_HELD_BYTES = 16 * BYTES_PER_MIB;
/** Fraction of the heap's limit that received bytes may have in addition to the heap. */
const FRACTION_OF_HEAP = 1 / 7;

/** Budget that follows from the heap's limit, which `--max-old-space-size` sets. */
export const getDefaultHeldBytes = (): number =>
  Math.max(MIN_HELD_BYTES, Math.floor(getHeapStatistics().heap_size_limit * FRACTION_OF_HEAP));

/** What received bytes are held for. */
export const HELD_FOR = {
  /** Bodies of requests until the requests end. */
  request: 'request',
  /** Responses until they are sent on, and what of them waits for callers that read slowly. */
  response: 'response',
  /** What is read from the store for callers and peers, with its copies, until they have read their answers. */
  stored: 'stored',
  /** Items of jobs that run, or that are kept to be run soon. */
  item: 'item',
} as const;
/** One of these. */
export type HeldFor = (typeof HELD_FOR)[keyof typeof HELD_FOR];

/**
 * Fraction of the budget of each, so that none can displace another. Requests and responses share the whole;
 * what the store holds comes in addition. Responses get less than requests: what was received of one that is
 * broken off stays in memory until the garbage collection.
 */
const BUDGET_FRACTIONS: Readonly<Record<HeldFor, number>> = {
  [HELD_FOR.request]: 0.6,
  [HELD_FOR.response]: 0.4,
  [HELD_FOR.stored]: 0.75,
  [HELD_FOR.item]: 0.75,
};

/** Bytes of one message. */
export interface ByteHolder {
  /** Sets how many bytes are held, if they are within the share; returns whether they are. */
  hold(bytes: number): boolean;
  /** The same for bytes that wait for a slow reader, whose share is smaller. */
  holdWaiting(bytes: number): boolean;
  /** Whether that many bytes would be within the share. */
  canHold(bytes: number): boolean;
  /** Sets how many bytes are held although they are not within the share. */
  force(bytes: number): void;
  /** Holds no bytes any more. */
  release(): void;
}

/** Bytes of all messages of a process. */
export interface ByteBudget {
  newHolder(heldFor: HeldFor): ByteHolder;
  /** Whether no bytes are left free; new messages should yield then. */
  isUsedUp(heldFor: HeldFor): boolean;
  getHeldBytes(heldFor: HeldFor): number;
  /** Bytes that may be held. */
  getMaxBytes(heldFor: HeldFor): number;
}

/** Holder for bytes that are bounded in another way. */
export const UNBOUNDED_HOLDER: ByteHolder = {
  hold: () => true,
  holdWaiting: () => true,
  canHold: () => true,
  force: () => undefined,
  release: () => undefined,
};

/** No bytes of any kind. */
const newCounts = (): Record<HeldFor, number> => ({
  [HELD_FOR.request]: 0,
  [HELD_FOR.response]: 0,
  [HELD_FOR.stored]: 0,
  [HELD_FOR.item]: 0,
});

/** Creates a budget whose requests and responses together have the given bytes. */
export const newByteBudget = (maxBytes: number): ByteBudget => {
  const held = newCounts();
  /** Bytes among the held ones that wait for slow readers. */
  const waiting = newCounts();
  const getMaxBytes = (heldFor: HeldFor): number => maxBytes * BUDGET_FRACTIONS[heldFor];

  const newHolder = (heldFor: HeldFor): ByteHolder => {
    let own = 0;
    let ownWaiting = 0;
    let isReleased = false;
    const getFreeBytes = (bytes: number): number =>
      getMaxBytes(heldFor) - (held[heldFor] - own) - bytes;
    const canHold = (bytes: number): boolean =>
      bytes <= Math.max(own, MIN_SHARE_BYTES, SHARE_OF_FREE_BYTES * getFreeBytes(bytes));
    const canWait = (bytes: number): boolean =>
      bytes <= WAITING_SHARE_OF_FREE_BYTES * getFreeBytes(bytes) &&
      waiting[heldFor] - ownWaiting + bytes <= MAX_WAITING_FRACTION * getMaxBytes(heldFor);
    const set = (bytes: number, waitingBytes: number): void => {
      if (isReleased) return;
      held[heldFor] += bytes - own;
      waiting[heldFor] += waitingBytes - ownWaiting;
      own = bytes;
      ownWaiting = waitingBytes;
    };
    const force = (bytes: number): void => set(bytes, 0);
    return {
      canHold,
      force,
      hold: (bytes) => {
        const isWithinShare = canHold(bytes);
        if (isWithinShare) force(bytes);
        return isWithinShare;
      },
      holdWaiting: (bytes) => {
        const isWithinShare = canWait(bytes);
        if (isWithinShare) set(bytes, bytes);
        return isWithinShare;
      },
      release: () => {
        force(0);
        isReleased = true;
      },
    };
  };

  return {
    newHolder,
    isUsedUp: (heldFor) => held[heldFor] >= getMaxBytes(heldFor),
    getHeldBytes: (heldFor) => held[heldFor],
    getMaxBytes,
  };
};
