import { once } from 'node:events';
import { get, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo } from 'node:net';
import { BODY_END, waitForBodyEnd } from '../responseEnd';

describe('the end of a response’s body', () => {
  it('is known to a reader that comes after a fault has ended it', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
      socket.once('data', () => socket.write(`${head}no chunk\r\n`));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const request = get({ port, host: '127.0.0.1', agent: false });
    request.on('error', () => undefined);
    const [message] = (await once(request, 'response')) as [IncomingMessage];
    await new Promise((resolve) => {
      message.once('close', resolve);
    });
    server.close();

    await expect(waitForBodyEnd(message)).resolves.toBe(BODY_END.closed);
  });
});
