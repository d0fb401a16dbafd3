/**
 * Detects that a response which only the end of its connection delimits is incomplete, although
 * Node.js reports a normal end.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { ResetWithDataError } from './responseEnd';

/** Size of the buffer into which libuv reads. */
const READ_BUFFER_BYTES = 65_536;

/** Error of a connection that ended while the request was still being written. */
class ClosedDuringUploadError extends Error {
  constructor() {
    super('connection closed before the request was sent');
  }
}

const isFullRead = (bytes: number): boolean => bytes % READ_BUFFER_BYTES === 0;

/**
 * Fails the response if its connection was reset, or if it ended before the request was written.
 *
 * After a read that did not fill its buffer, libuv reports a reset as an end in the same turn of the
 * event loop; a normal end is read in a later turn. The turns are those in which the socket was read:
 * data and end that a paused socket holds are emitted together. `bytesBefore` is the number of bytes
 * that the socket had read before the request.
 *
 * An upstream that closes the connection during an upload resets it as soon as further bytes arrive,
 * and whether the reset is seen is a matter of time.
 */
export const watchCloseDelimitedEnd = (
  message: IncomingMessage,
  outgoing: ClientRequest,
  bytesBefore: number,
): void => {
  const { socket } = message;
  const { push } = socket;
  let isLaterTurn = false;
  let isReset = false;
  let isLastReadFull = isFullRead(socket.bytesRead - bytesBefore);
  const startTurn = (): void => {
    isLaterTurn = false;
    setImmediate(() => {
      isLaterTurn = true;
    });
  };
  const pushAndWatch: Socket['push'] = (chunk: Buffer | null, encoding) => {
    if (chunk === null) {
      isReset = !isLaterTurn && !isLastReadFull;
    } else {
      isLastReadFull = isFullRead(chunk.length);
      startTurn();
    }
    return push.call(socket, chunk, encoding);
  };
  startTurn();
  Object.assign(socket, { push: pushAndWatch });
  socket.prependListener('end', () => {
    if (isReset) message.destroy(new ResetWithDataError());
    else if (!outgoing.writableFinished) message.destroy(new ClosedDuringUploadError());
  });
};
