/** Checks that an upstream's event stream does not stop inside an event. */
import type { IncomingHttpHeaders } from 'node:http';
import { PassThrough, Transform } from 'node:stream';
import {
  BODY_DELIMITER,
  getBodyDelimiter,
  isEventStreamType,
  newEventTracker,
} from '@anvilpaddle/common';
import type { UpstreamResponse } from './upstreamClient';

/** Whether the headers announce a stream of events. */
export const isEventStream = (headers: IncomingHttpHeaders): boolean =>
  isEventStreamType(headers['content-type']);

/**
 * Pass-through stream that fails at the end of an event stream that was broken off. Where only the
 * connection delimits it, it must have an event too. Other responses pass unchecked.
 */
export const newStreamCheck = ({ headers }: UpstreamResponse): Transform => {
  if (!isEventStream(headers)) return new PassThrough();
  const tracker = newEventTracker();
  const needsEvent = getBodyDelimiter(headers) === BODY_DELIMITER.close;
  return new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      tracker.feed(chunk);
      done(null, chunk);
    },
    flush: (done) => {
      const isBrokenOff = tracker.isInsideEvent() || (needsEvent && !tracker.hasEvents());
      done(isBrokenOff ? new Error('the stream was broken off') : null);
    },
  });
};
