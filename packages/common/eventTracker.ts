/** Tells whether the bytes of a server-sent event stream stop inside an event. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Position in a stream of events, whose lines end with LF, CR or CRLF. */
export interface EventTracker {
  feed(chunk: Buffer): void;
  /** Whether the bytes so far stop inside an event or a line. */
  isInsideEvent(): boolean;
  /** Whether an event has been complete. */
  hasEvents(): boolean;
}

/** Creates a tracker at the start of a stream. */
export const newEventTracker = (): EventTracker => {
  let isInsideLine = false;
  /** Whether a line since the last blank one was neither blank nor a comment. */
  let hasField = false;
  let hasEvents = false;
  let previousByte = LINE_FEED;

  const endLine = (): void => {
    if (!isInsideLine) {
      hasEvents ||= hasField;
      hasField = false;
    }
    isInsideLine = false;
  };

  const feedByte = (byte: number): void => {
    const isSecondOfLineEnd = byte === LINE_FEED && previousByte === CARRIAGE_RETURN;
    previousByte = byte;
    if (isSecondOfLineEnd) return;
    if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
      endLine();
      return;
    }
    hasField ||= !isInsideLine && byte !== COLON;
    isInsideLine = true;
  };

  return {
    feed: (chunk) => chunk.forEach(feedByte),
    isInsideEvent: () => isInsideLine || hasField,
    hasEvents: () => hasEvents,
  };
};
