import { Agent } from 'node:http';
import { createServer, type AddressInfo } from 'node:net';
import { SystemClock } from '../clock';
import { parseAddress } from '../http';
import { callHttp, type HttpCall } from '../httpCall';

const CALL: HttpCall = {
  agent: new Agent(),
  address: { host: '127.0.0.1', port: 9 },
  method: 'POST',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  connectTimeoutMs: 100,
};

describe('a call with which no request can be made', () => {
  it.each<Partial<HttpCall>>([
    { address: { host: '127.0.0.1', port: 99_999 } },
    { address: { host: '127.0.0.1', port: -1 } },
    { address: { host: '127.0.0.1', port: 1.5 } },
    { path: '/a b' },
    { path: '/\r\nX: 1' },
    { method: 'NO METHOD' },
    { headers: ['no name', 'x'] },
    { headers: ['', 'x'] },
    { headers: ['X', 'a\nb'] },
  ])('was not sent: %j', async (odd) => {
    const result = await callHttp(
      { ...CALL, ...odd },
      new AbortController().signal,
      new SystemClock(),
    );

    expect(result).toMatchObject({ kind: 'not_sent', isRefused: false });
  });
});

// Guards against review case 8: a call whose answer changes the protocol settled neither then nor at its abort.
describe('a call whose answer changes the protocol', () => {
  it.each([
    ['at once', '', 'Connection: upgrade\r\nUpgrade: odd\r\n'],
    [
      'after an interim response',
      'HTTP/1.1 100 Continue\r\n\r\n',
      'Connection: upgrade\r\nUpgrade: odd\r\n',
    ],
    ['without a protocol', '', ''],
    ['with a length', '', 'Connection: upgrade\r\nUpgrade: odd\r\nContent-Length: 2\r\n'],
  ])('is lost: %s', async (_, interim, headers) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () =>
        socket.write(`${interim}HTTP/1.1 101 Switching Protocols\r\n${headers}\r\nok`),
      );
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const left = new AbortController();
    const agent = new Agent({ keepAlive: true });
    const call = callHttp(
      { ...CALL, agent, address: { host: '127.0.0.1', port } },
      left.signal,
      new SystemClock(),
    );
    const timer = setTimeout(() => left.abort(), 1000);
    const unsettled = new Promise((resolve) => {
      setTimeout(() => resolve({ kind: 'never settled' }), 3000);
    });
    const result = await Promise.race([call, unsettled]);
    clearTimeout(timer);
    agent.destroy();
    server.close();

    expect(result).toMatchObject({ kind: 'lost' });
  });
});

describe('a timer', () => {
  it.each([2 ** 31, 1e300, Infinity])('with a delay of %d ms does not fire at once', async (ms) => {
    let hasFired = false;
    const timer = new SystemClock().after(ms, () => {
      hasFired = true;
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    timer.cancel();

    expect(hasFired).toBe(false);
  });
});

describe('an address', () => {
  it.each(['10.1.0.5:99999', '10.1.0.5:-1', '10.1.0.5:1.5', '10.1.0.5', ':80', ''])(
    'is not parsed from %j',
    (text) => {
      expect(parseAddress(text)).toBeUndefined();
    },
  );
});
