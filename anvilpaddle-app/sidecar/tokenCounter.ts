import { Transform } from 'node:stream';

const TAIL_BYTES = 4096;
const STREAM_TYPE = 'text/event-stream';
const EVENT_START = 'data:';
const USAGE = /"completion_tokens"\s*:\s*(\d+)/g;
// The events with the finish reason and the end mark carry no token.
const EVENTS_WITHOUT_TOKEN = 2;

/** Passes an answer through and counts the output tokens that the engine spent on it. */
export interface TokenCounter {
  readonly stream: Transform;
  /** Tokens so far: what the engine reports, else one for each event of a stream. */
  tokens(): number;
}

/** Counter for an answer with the content type; a plain service's answer counts none. */
export const newTokenCounter = (contentType: string): TokenCounter => {
  const isStream = contentType.startsWith(STREAM_TYPE);
  let tail = '';
  let events = 0;

  const count = (text: string): void => {
    if (isStream) {
      // Keeps what may be the start of the next `data:`.
      const joined = tail.slice(-(EVENT_START.length - 1)) + text;
      events += joined.split(EVENT_START).length - 1;
    }
    tail = (tail + text).slice(-TAIL_BYTES);
  };

  const through = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      count(chunk.toString('latin1'));
      done(null, chunk);
    },
  });
  return {
    stream: through,
    tokens: () => {
      const reported = [...tail.matchAll(USAGE)].at(-1)?.[1];
      return reported === undefined ? Math.max(0, events - EVENTS_WITHOUT_TOKEN) : Number(reported);
    },
  };
};
