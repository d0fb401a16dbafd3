import { once } from 'node:events';
import { Agent, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { SystemClock } from '../clock';
import { callHttp } from '../httpCall';
import { BODY_END, waitForBodyEnd } from '../responseEnd';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
/** Size of the reads of the process, which the head is a part of. */
const READ_BYTES = 65_536;
const clock = new SystemClock();

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('a response that the end of its connection delimits', () => {
  let server: Server;

  /** Sends a request with a body to a server that responds to its head. */
  const call = async (
    uploadBytes: number,
    respond: (socket: Socket) => void,
  ): Promise<IncomingMessage> => {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => respond(socket));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const request = {
      agent: new Agent(),
      address: { host: '127.0.0.1', port },
      method: 'POST',
      path: '/',
      headers: ['Content-Length', String(uploadBytes)],
      body: Buffer.alloc(uploadBytes, 'x'),
      connectTimeoutMs: 1000,
    };
    const result = await callHttp(request, new AbortController().signal, clock);
    if (result.kind !== 'answered') throw new Error(result.detail);
    return result.message;
  };

  afterEach(() => server.close());

  it.each([READ_BYTES - 1, READ_BYTES, READ_BYTES + 1, 2 * READ_BYTES])(
    'is whole after a FIN, of %d bytes, which fill the buffers of its reads or not',
    async (bytes) => {
      const message = await call(10, (socket) =>
        socket.end(`${HEAD}${'a'.repeat(bytes - HEAD.length)}`),
      );
      message.resume();

      await expect(waitForBodyEnd(message)).resolves.toBe(BODY_END.complete);
    },
  );

  it.each([10_000, 100_000, 1_000_000])(
    'is whole after a FIN, of %d bytes, to a reader that pauses',
    async (bytes) => {
      const message = await call(10, (socket) => socket.end(`${HEAD}${'a'.repeat(bytes)}`));
      let received = 0;
      message.on('data', (chunk: Buffer) => {
        received += chunk.length;
        message.pause();
        void pause(20).then(() => message.resume());
      });

      await expect(waitForBodyEnd(message)).resolves.toBe(BODY_END.complete);
      expect(received).toBe(bytes);
    },
  );

  it.each([10_000, 100_000])(
    'is incomplete after a reset, of %d bytes, to a reader that pauses',
    async (bytes) => {
      const message = await call(10, (socket) =>
        socket.write(`${HEAD}${'a'.repeat(bytes)}`, () => socket.resetAndDestroy()),
      );
      message.on('data', () => {
        message.pause();
        void pause(20).then(() => message.resume());
      });

      await expect(waitForBodyEnd(message)).resolves.toBe(BODY_END.reset);
    },
  );

  it('is incomplete after a FIN while its request is being written', async () => {
    const message = await call(16_000_000, (socket) => {
      socket.pause();
      socket.end(`${HEAD}part`);
      setTimeout(() => socket.destroy(), 50);
    });
    message.resume();

    await expect(waitForBodyEnd(message)).resolves.toBe(BODY_END.closed);
  });
});
