/** Cuts the bytes of an event stream into whole events, unchanged. */

/** Reader of one stream. */
export interface EventSplitter {
  /** Bytes of the whole events that the bytes so far complete; empty when there are none. */
  feed(chunk: Buffer): Buffer;
  /** Bytes after the last whole event. */
  rest(): Buffer;
}

const EMPTY: Buffer = Buffer.alloc(0);
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EVENT_ID = /^id:[ ]?(.*?)\r?$/gm;
const EVENT_END = /\r?\n\r?\n/;

/** Whether a blank line ends at a position. */
const isEventEnd = (bytes: Buffer, end: number): boolean => {
  if (bytes[end - 1] !== LINE_FEED) return false;
  const before = bytes[end - 2] === CARRIAGE_RETURN ? end - 3 : end - 2;
  return bytes[before] === LINE_FEED;
};

/** Position after the last whole event. */
const getWholeLength = (bytes: Buffer): number => {
  for (let end = bytes.length; end >= 2; end = bytes.lastIndexOf(LINE_FEED, end - 2) + 1) {
    if (isEventEnd(bytes, end)) return end;
  }
  return 0;
};

/** Splitter at the start of a stream. */
export const newEventSplitter = (): EventSplitter => {
  let pending = EMPTY;
  return {
    feed: (chunk) => {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const length = getWholeLength(bytes);
      pending = bytes.subarray(length);
      return bytes.subarray(0, length);
    },
    rest: () => pending,
  };
};

/** Id of the last event of some that names one. */
export const getLastEventId = (events: Buffer): string | undefined =>
  [...events.toString().matchAll(EVENT_ID)].at(-1)?.[1];

/** Bytes of each of some whole events. */
export const splitEvents = (events: Buffer): Buffer[] => {
  // Each byte stands for one character in latin1, so that positions are the same in both.
  const parts = events.toString('latin1').split(new RegExp(`(${EVENT_END.source})`));
  return parts.flatMap((part, index) =>
    index % 2 === 0 && part !== '' ? [Buffer.from(part + (parts[index + 1] ?? ''), 'latin1')] : [],
  );
};

/** Data of an event, its lines joined by line feeds. */
export const getEventData = (event: Buffer): string =>
  event
    .toString()
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).replace(/^ /, ''))
    .join('\n');

/** Whether an event is not among those up to an id; ids grow along a stream. */
export const isEventAfter = (event: Buffer, lastId: string | undefined): boolean => {
  const id = lastId === undefined ? undefined : getLastEventId(event);
  return id === undefined || Number(id) > Number(lastId);
};
