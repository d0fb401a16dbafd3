/** How HTTP/1.1 responses mark the end of their bodies, and how a body that was read ended. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { ForeignBytesError } from './foreignBytesError';
import { NoMemoryForResponseError } from './noMemoryForResponseError';
import { ResponseTooLargeError } from './responseTooLargeError';

/** What marks the end of a response's body. */
export const BODY_DELIMITER = {
  length: 'length',
  chunks: 'chunks',
  /** The body ends when its sender closes the connection. */
  close: 'close',
} as const;
export type BodyDelimiter = (typeof BODY_DELIMITER)[keyof typeof BODY_DELIMITER];

/** Statuses whose responses have no body, and so no delimiter. */
export const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** How a response's body ended. */
export const BODY_END = {
  /** All that the delimiter announces has arrived. */
  complete: 'complete',
  /** The connection was closed before, by either side. */
  closed: 'closed',
  /** The connection was reset before. */
  reset: 'reset',
  /** The reader stopped: more arrived than a response may have. */
  tooLarge: 'tooLarge',
  /** The reader stopped: the process held too many bytes already. */
  noMemory: 'noMemory',
  /** The reader stopped: what arrived does not belong to the response. */
  foreign: 'foreign',
} as const;
export type BodyEnd = (typeof BODY_END)[keyof typeof BODY_END];

/** Delimiter that the headers of a response announce. */
export const getBodyDelimiter = (headers: IncomingHttpHeaders): BodyDelimiter => {
  const transferEncoding = headers['transfer-encoding'];
  if (transferEncoding !== undefined) {
    const isChunked = /(?:^|,)\s*chunked\s*$/i.test(transferEncoding);
    return isChunked ? BODY_DELIMITER.chunks : BODY_DELIMITER.close;
  }
  return headers['content-length'] === undefined ? BODY_DELIMITER.close : BODY_DELIMITER.length;
};

/** Error of a reset that was read together with the last data. */
export class ResetWithDataError extends Error {
  constructor() {
    super('connection reset with the last data');
  }
}

/** Whether an error of a response is a reset by the other side rather than an early close. */
const isReset = (error: NodeJS.ErrnoException): boolean =>
  error instanceof ResetWithDataError || (error.code === 'ECONNRESET' && error.syscall === 'read');

const getBodyEndAtError = (error: NodeJS.ErrnoException | null): BodyEnd => {
  if (error instanceof ResponseTooLargeError) return BODY_END.tooLarge;
  if (error instanceof NoMemoryForResponseError) return BODY_END.noMemory;
  if (error instanceof ForeignBytesError) return BODY_END.foreign;
  return error !== null && isReset(error) ? BODY_END.reset : BODY_END.closed;
};

/** Resolves when the body has been read to its end or can't be read any further. */
export const waitForBodyEnd = (message: IncomingMessage): Promise<BodyEnd> =>
  new Promise((resolve) => {
    // A fault that arrives together with the head ends the body before anyone can listen.
    if (message.closed) resolve(getBodyEndAtError(message.errored));
    message.once('end', () => resolve(message.complete ? BODY_END.complete : BODY_END.closed));
    message.on('error', (error) => resolve(getBodyEndAtError(error)));
    message.once('close', () => resolve(BODY_END.closed));
  });

/**
 * Closes the connection of a response so that its receiver can tell that it is incomplete. A missing
 * last chunk shows that; without chunks, only a reset is sure to.
 */
export const breakOffResponse = (response: ServerResponse): void => {
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
  response.destroy();
};
