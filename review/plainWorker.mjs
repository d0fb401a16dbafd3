/** Worker of a plain service: it works on a request, answers, and may fall silent in its answer. */
import { createServer } from 'node:http';

const BODY = 'x'.repeat(400);

const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts a worker that works `workMs` on each request; `getSilenceMs` is asked before the answer. */
export const startPlainWorker = async (id, host, { onRun }, { workMs, getSilenceMs }) => {
  const answer = async (message, response) => {
    const requestId = message.headers['request-id'];
    const expected = message.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'content-length': '0' }).end();
      return;
    }
    onRun({ requestId, worker: id, headers: message.headers });
    const silenceMs = getSilenceMs(requestId);
    await pause(workMs);
    response.writeHead(200, {
      'request-id': requestId,
      'server-stamp': `stamp.${id}`,
      'content-length': String(2 * BODY.length),
    });
    response.write(BODY);
    await pause(silenceMs);
    response.end(BODY);
  };
  const server = createServer((message, response) => {
    message.resume().on('end', () => {
      answer(message, response).catch(() => response.destroy());
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    id,
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
