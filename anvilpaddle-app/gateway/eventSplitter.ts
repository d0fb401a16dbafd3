/** Splits the bytes of a server-sent event stream into complete events, without changing them. */
import { newByteCollector, newEventTracker } from '@anvilpaddle/common';

/** Incremental splitter of one stream. */
export interface EventSplitter {
  /** Adds a chunk; returns the bytes of the events that it completes, which may be none. */
  feed(chunk: Buffer): Buffer;
  /** Bytes after the last complete event. */
  rest(): Buffer;
  /** Whether the chunks so far cost far more than they carry. */
  isWasteful(): boolean;
  /** Number of bytes that are allocated for them. */
  getCapacity(): number;
  /** Number of these bytes. */
  getPendingBytes(): number;
  /** Number of these bytes if they begin an event; 0 if they are only blank lines and comments. */
  getUnfinishedBytes(): number;
}

const EMPTY: Buffer = Buffer.alloc(0);
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** End of a line in a stream of events. */
export const LINE_END = /\r\n|\n|\r(?!\n)/;
/** Ends of events; the group keeps them as parts of a split text. */
const EVENT_ENDS = new RegExp(`((?:${LINE_END.source}){2})`);

const isLineEnd = (byte: number | undefined): boolean =>
  byte === LINE_FEED || byte === CARRIAGE_RETURN;

/** Whether a blank line, and thus an event, ends at this position. */
const isEventEnd = (bytes: Buffer, end: number): boolean => {
  if (!isLineEnd(bytes[end - 1])) return false;
  const isTwoBytes = bytes[end - 1] === LINE_FEED && bytes[end - 2] === CARRIAGE_RETURN;
  return isLineEnd(bytes[end - (isTwoBytes ? 3 : 2)]);
};

/** Whether the bytes end between the two of a CRLF, in a stream whose lines end with LF. */
const isInsideLineEnd = (bytes: Buffer): boolean =>
  bytes[bytes.length - 1] === CARRIAGE_RETURN && bytes[bytes.length - 2] === LINE_FEED;

/** Number of bytes before a chunk that can be part of a blank line at its start. */
const MAX_LINE_END_BYTES = 3;

/** Length of the bytes up to the end of the last complete event. */
const getCompleteLength = (bytes: Buffer): number => {
  const length = isInsideLineEnd(bytes) ? bytes.length - 1 : bytes.length;
  for (let end = length; end >= 2; end -= 1) {
    if (isEventEnd(bytes, end)) return end;
  }
  return 0;
};

/** Whether the bytes have more than blank lines and comments. */
const hasField = (bytes: Buffer): boolean => {
  const tracker = newEventTracker();
  tracker.feed(bytes);
  return tracker.isInsideEvent() || tracker.hasEvents();
};

/** Creates a splitter for a new stream. */
export const newEventSplitter = (): EventSplitter => {
  /** Bytes after the last complete event. */
  const pending = newByteCollector();

  return {
    feed: (chunk) => {
      const searchedFrom = Math.max(0, pending.getLength() - MAX_LINE_END_BYTES);
      pending.append(chunk);
      const length = getCompleteLength(pending.peek().subarray(searchedFrom));
      return length === 0 ? EMPTY : pending.take(searchedFrom + length);
    },
    rest: () => pending.peek(),
    isWasteful: () => pending.isWasteful(),
    getCapacity: () => pending.getCapacity(),
    getPendingBytes: () => pending.getLength(),
    getUnfinishedBytes: () => (hasField(pending.peek()) ? pending.getLength() : 0),
  };
};

/** Splits complete events into the bytes of each event; further blank lines are parts of their own. */
export const splitEvents = (events: Buffer): Buffer[] => {
  // In latin1 each byte is one character, so splitting the text keeps the bytes unchanged.
  const parts = events.toString('latin1').split(EVENT_ENDS);
  return parts.flatMap((part, index) => {
    const bytes = part + (parts[index + 1] ?? '');
    return index % 2 === 0 && bytes !== '' ? [Buffer.from(bytes, 'latin1')] : [];
  });
};
