/** Model worker: runs what names it, streams events, and may crash at a part of a prompt. */
import { createServer } from 'node:http';

const EVENT_INTERVAL_MS = 10;
/** Time from a crash until the worker is back. */
const RESTART_MS = 2500;

const DEFAULTS = {
  eventCount: 3,
  firstEventMs: 0,
  isCrash: () => false,
  crashAfterEvents: 0,
  getAnswerHeaders: () => ({}),
};

const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Starts a worker; `onRun` is called as it begins to run a request, `onCrash` after a crash and
 * `onBack` when it is back, under its id and address but as a new process.
 */
export const startWorker = async (id, host, hooks, options = {}) => {
  const { eventCount, firstEventMs, isCrash, crashAfterEvents, getAnswerHeaders } = {
    ...DEFAULTS,
    ...options,
  };
  const sockets = new Set();
  let isClosed = false;
  let server;
  let port = 0;

  const crash = () => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
    hooks.onCrash?.(id);
    setTimeout(() => {
      if (isClosed) return;
      // eslint-disable-next-line no-use-before-define -- they call each other
      start().then(() => hooks.onBack?.(id));
    }, RESTART_MS).unref();
  };

  const stream = async (requestId, isHarmful, response) => {
    for (let event = 0; event < eventCount; event += 1) {
      if (response.destroyed) return;
      if (isHarmful && event === crashAfterEvents) {
        crash();
        return;
      }
      response.write(`id: ${event + 1}\ndata: ${requestId} ${event + 1}\n\n`);
      await pause(EVENT_INTERVAL_MS);
    }
    response.end();
  };

  const answer = async (message, response) => {
    const requestId = message.headers['request-id'];
    const expected = message.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'content-length': '0' }).end();
      return;
    }
    hooks.onRun({ requestId, worker: id, headers: message.headers });
    await pause(firstEventMs);
    if (response.destroyed) return;
    response.writeHead(200, {
      ...getAnswerHeaders(id),
      'request-id': requestId,
      'server-stamp': `stamp.${id}`,
      'content-type': 'text/event-stream',
    });
    await stream(requestId, isCrash(message.headers), response);
  };

  const start = async () => {
    server = createServer((message, response) => {
      message.resume().on('end', () => {
        answer(message, response).catch(() => response.destroy());
      });
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    await new Promise((resolve) => {
      server.listen(port, host, resolve);
    });
    port = server.address().port;
  };

  await start();
  return {
    id,
    address: `${host}:${port}`,
    close: () => {
      isClosed = true;
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
