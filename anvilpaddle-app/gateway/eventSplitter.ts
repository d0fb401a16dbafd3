/** Cuts the bytes of an event stream into whole events, unchanged. */

/** One event with the bytes that stand for it. */
export interface EventBytes {
  readonly bytes: Buffer;
  /** Undefined when the event names none. */
  readonly id: string | undefined;
}

/** Reader of one stream. */
export interface EventSplitter {
  /** Events that the bytes so far complete. */
  feed(chunk: Buffer): EventBytes[];
  /** Bytes after the last whole event. */
  rest(): Buffer;
}

const EMPTY = Buffer.alloc(0);
/** Blank line after an event, with either kind of line end. */
const EVENT_END = /\r?\n\r?\n/g;
const EVENT_ID = /^id:[ ]?(.*?)\r?$/m;

const newEvent = (bytes: Buffer): EventBytes => ({
  bytes,
  id: EVENT_ID.exec(bytes.toString('latin1'))?.[1],
});

/** Splitter at the start of a stream. */
export const newEventSplitter = (): EventSplitter => {
  let pending: Buffer = EMPTY;
  return {
    feed: (chunk) => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      // Each byte stands for one character in latin1, so that positions are the same in both.
      const text = pending.toString('latin1');
      const events: EventBytes[] = [];
      let start = 0;
      for (const match of text.matchAll(EVENT_END)) {
        const end = match.index + match[0].length;
        events.push(newEvent(pending.subarray(start, end)));
        start = end;
      }
      pending = pending.subarray(start);
      return events;
    },
    rest: () => pending,
  };
};

/** Data of an event, its lines joined by line feeds. */
export const getEventData = ({ bytes }: EventBytes): string =>
  bytes
    .toString()
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).replace(/^ /, ''))
    .join('\n');
