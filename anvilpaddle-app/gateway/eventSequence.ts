/**
 * Decides which events of upstreams' streams belong to the output of a request or an item, and after which
 * event another run can go on. The ids of an output's events are 1, 2, 3 and so on, over all of its runs.
 */
import { LINE_END, splitEvents } from './eventSplitter';

const EMPTY: Buffer = Buffer.alloc(0);
/** Id as upstreams write it. */
const EVENT_ID = /^(0|[1-9]\d*)$/;

/** An event that belongs to the output. */
export interface StreamEvent {
  readonly id: number;
  readonly bytes: Buffer;
  /** Lines of its data, joined by line feeds. */
  readonly data: string;
}

/** What a part of a run brings to the output. */
export interface RunPart {
  /** Events of the output, in order. */
  readonly events: readonly StreamEvent[];
  /** The bytes of these events and of the comments around them. */
  readonly bytes: Buffer;
  /** What comes after them and is no event of the output; nothing after it can be trusted. */
  readonly fault?: string;
}

/** One run of a request or an item at an upstream. */
export interface EventSequence {
  /** Takes the bytes of complete events. */
  take(events: Buffer): RunPart;
}

/** Number of an event id; undefined for other texts. */
export const parseEventId = (text: string | undefined): number | undefined =>
  text !== undefined && EVENT_ID.test(text) && Number.isSafeInteger(Number(text))
    ? Number(text)
    : undefined;

/** Values of all fields with a name. */
const getValues = (lines: readonly string[], name: string): string[] =>
  lines
    .filter((line) => line.startsWith(`${name}:`))
    .map((line) => line.slice(name.length + 1).replace(/^ /, ''));

/** Lines of an event that are neither blank nor comments, which only keep a connection open. */
const getFieldLines = (event: Buffer): string[] =>
  event
    .toString()
    .split(LINE_END)
    .filter((line) => line !== '' && !line.startsWith(':'));

/** Event with an id and data, or why the lines are none. */
const parseEvent = (bytes: Buffer, lines: readonly string[]): StreamEvent | string => {
  if (lines.some((line) => !line.includes(':'))) return 'a line that is no field';
  const ids = getValues(lines, 'id');
  if (ids.length !== 1) {
    return ids.length === 0 ? 'an event without an id' : 'an event with two ids';
  }
  const id = parseEventId(ids[0]);
  if (id === undefined) return 'an event whose id is no number';
  const data = getValues(lines, 'data');
  return data.length === 0 ? 'an event without data' : { id, bytes, data: data.join('\n') };
};

/**
 * Creates the sequence of a run that was asked to go on after an event, or to begin. If the run goes on after
 * an id that is no number, as its caller wished, its first event may have any id.
 */
export const newEventSequence = (resumeAfterId: string | undefined): EventSequence => {
  let lastId = resumeAfterId === undefined ? 0 : parseEventId(resumeAfterId);
  let runFault: string | undefined;

  /** Why an event is not the run's next one; undefined if it is. */
  const getFault = (event: StreamEvent | string): string | undefined => {
    if (typeof event === 'string') return event;
    if (lastId === undefined || event.id === lastId + 1) return undefined;
    return `event ${event.id} after ${lastId}`;
  };

  return {
    take: (bytes) => {
      const events: StreamEvent[] = [];
      let length = 0;
      if (runFault !== undefined) return { events, bytes: EMPTY, fault: runFault };
      for (const part of splitEvents(bytes)) {
        const lines = getFieldLines(part);
        if (lines.length > 0) {
          const event = parseEvent(part, lines);
          const fault = getFault(event);
          if (typeof event === 'string' || fault !== undefined) {
            runFault = fault;
            return { events, bytes: bytes.subarray(0, length), fault };
          }
          lastId = event.id;
          events.push(event);
        }
        length += part.length;
      }
      return { events, bytes };
    },
  };
};
