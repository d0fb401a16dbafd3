import { createServer } from 'node:http';
import { connect } from 'node:net';
import {
  BYTES_PER_MIB,
  closeServer,
  HELD_FOR,
  listen,
  newByteBudget,
  newRoomQueue,
  SystemClock,
  UNBOUNDED_HOLDER,
} from '@anvilpaddle/common';
import { waitFor } from '../../tests/kit/waitFor';
import { holdRoomUntilRead, holdUntilRead } from '../unreadResponse';

const TIMEOUT_MS = 300;
const BODY = Buffer.alloc(16 * BYTES_PER_MIB);

describe('an ended response', () => {
  const byteBudget = newByteBudget(Infinity);

  /** Serves the body, and counts it as held. */
  const startServer = async () => {
    const server = createServer((_, response) => {
      response.end(BODY);
      holdUntilRead(response, byteBudget.newHolder(HELD_FOR.response), TIMEOUT_MS);
    });
    return { server, ...(await listen(server, { host: '127.0.0.1', port: 0 })) };
  };

  const getHeldBytes = (): number => byteBudget.getHeldBytes(HELD_FOR.response);

  it('whose caller reads nothing does not stay in memory', async () => {
    const { server, port } = await startServer();
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitFor('held bytes', () => getHeldBytes() > 0);
    await waitFor('no held bytes', () => getHeldBytes() === 0);
    socket.destroy();
    await closeServer(server);
  });

  it('whose caller reads slowly stays until it has been read', async () => {
    const { server, port } = await startServer();
    const socket = connect(port, '127.0.0.1');
    let received = 0;
    socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
      socket.pause();
      setTimeout(() => socket.resume(), 5);
    });
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    await closeServer(server);

    expect(received).toBeGreaterThan(BODY.length);
    expect(getHeldBytes()).toBe(0);
  }, 20_000);

  it.each([true, false])(
    'whose caller reads nothing gives way only if its room is wanted: %s',
    async (isWanted) => {
      const queue = newRoomQueue(BODY.length, UNBOUNDED_HOLDER, new SystemClock());
      const room = await queue.take(BODY.length, { timeoutMs: 0 });
      const server = createServer((_, response) => {
        response.end(BODY);
        holdRoomUntilRead(response, room, () => isWanted);
      });
      const { port } = await listen(server, { host: '127.0.0.1', port: 0 });
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      socket.pause();
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
      const next = queue.take(BODY.length, { timeoutMs: 5000 }).then(
        () => true,
        () => false,
      );
      expect(await next).toBe(isWanted);
      socket.destroy();
      await closeServer(server);
    },
    20_000,
  );
});
