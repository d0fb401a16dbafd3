import { createConnection } from 'node:net';
import { text } from 'node:stream/consumers';
import { listen, newMetrics, type Address } from '@anvilpaddle/common';
import { newCallerServer } from '../callerServer';

const BOUNDS = {
  listen: { host: '127.0.0.1', port: 0 },
  max_headers: 2048,
  header_timeout: 10_000,
  body_timeout: 60_000,
};

/** Sends bytes and gives the status line and the error of the answer. */
const exchange = async (address: Address, bytes: string): Promise<readonly unknown[]> => {
  const socket = createConnection(address);
  socket.write(bytes);
  const [head = '', body = ''] = (await text(socket)).split('\r\n\r\n');
  const { error } = JSON.parse(body) as { error: { code: string; run: string } };
  return [head.split(' ')[1], error.code, error.run];
};

describe('the callers’ server', () => {
  const server = newCallerServer(BOUNDS, (_, response) => response.end());
  let address: Address;

  beforeAll(async () => {
    address = await listen(server, BOUNDS.listen);
  });

  afterAll(() => {
    server.close();
  });

  it.each([
    [
      'headers beyond the bound',
      `GET / HTTP/1.1\r\nx: ${'a'.repeat(4096)}\r\n\r\n`,
      '431',
      'too_large',
    ],
    ['what is not HTTP', 'good morning\r\n\r\n', '400', 'invalid_request'],
  ])('refuses %s in the shape of the API', async (_, bytes, status, code) => {
    expect(await exchange(address, bytes)).toEqual([status, code, 'not_run']);
  });
});

describe('metrics', () => {
  it('are kept when their receiver is away', async () => {
    const metrics = newMetrics({ host: '127.0.0.1', port: 9 });
    for (let index = 0; index < 2000; index += 1) metrics.record('total_ms', 'gyms', 'online', 5);
    metrics.count('refusals', 'gyms', 'rate_limited');

    expect(metrics.summaries()).toMatchObject([{ team: 'gyms', count: 2000, p50: 5 }]);
    expect(metrics.counts()).toEqual({ 'refusals|gyms|rate_limited': 1 });
    metrics.close();
  });
});
