/** Counts the output tokens of a response while it is relayed. */
import { Transform } from 'node:stream';
import { isEventStreamType } from '@anvilpaddle/common';

const TAIL_BYTES = 4096;
const EVENT_START = 'data:';
const COMPLETION_TOKENS = /"completion_tokens"\s*:\s*(\d+)/g;
// The event with the finish reason and the `[DONE]` event carry no token.
const EVENTS_WITHOUT_TOKEN = 2;

/** Pass-through stream that counts the output tokens of a response. */
export interface TokenCounter {
  readonly stream: Transform;
  /** Tokens so far: the usage that the engine reports, otherwise one per event of the stream. */
  tokens(): number;
}

/** Creates a counter for a response of a content type; plain services' responses count as 0. */
export const newTokenCounter = (contentType: string): TokenCounter => {
  const isStream = isEventStreamType(contentType);
  let tail = '';
  let events = 0;

  const count = (text: string): void => {
    if (isStream) {
      // The end of the previous chunk may hold the start of a `data:` split across chunks.
      const withOverlap = tail.slice(-(EVENT_START.length - 1)) + text;
      events += withOverlap.split(EVENT_START).length - 1;
    }
    tail = (tail + text).slice(-TAIL_BYTES);
  };

  const stream = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      count(chunk.toString('latin1'));
      done(null, chunk);
    },
  });
  return {
    stream,
    tokens: () => {
      const reported = [...tail.matchAll(COMPLETION_TOKENS)].at(-1)?.[1];
      return reported === undefined ? Math.max(0, events - EVENTS_WITHOUT_TOKEN) : Number(reported);
    },
  };
};
