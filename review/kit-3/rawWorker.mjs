/** A worker whose answers a case writes itself: it rejects what is meant for another one, as a sound worker does. */
import { createServer } from 'node:http';

/** `serve` gets each request that the worker runs, with its body read, and the response. */
export const startRawWorker = async (id, serve) => {
  const server = createServer((message, response) => {
    response.on('error', () => undefined);
    message.on('error', () => undefined);
    message.resume().on('end', () => {
      if (message.headers['expect-instance'] === id) serve(message, response);
      else response.writeHead(421, { 'Instance-Id': id }).end();
    });
  });
  await new Promise((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  return { id, address: `127.0.0.1:${server.address().port}` };
};

/** Headers of a worker's answer. */
export const newAnswerHeaders = (id, message) => ({
  'Server-Stamp': `stamp.${id}`,
  'Request-Id': message.headers['request-id'],
});
