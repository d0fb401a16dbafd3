import { createConnection } from 'node:net';
import { text } from 'node:stream/consumers';
import { listen, newMetrics, type Address } from '@anvilpaddle/common';
import { newCallerServer } from '../callerServer';

const LIMITS = {
  listen: { host: '127.0.0.1', port: 0 },
  max_headers: 2048,
  header_timeout: 10_000,
  body_timeout: 60_000,
};

/** Sends bytes and returns the status, the error code and the run state of the response. */
const sendBytes = async (address: Address, bytes: string): Promise<readonly unknown[]> => {
  const socket = createConnection(address);
  socket.write(bytes);
  const [head = '', body = ''] = (await text(socket)).split('\r\n\r\n');
  const { error } = JSON.parse(body) as { error: { code: string; run: string } };
  return [head.split(' ')[1], error.code, error.run];
};

describe('the HTTP server for callers', () => {
  const server = newCallerServer(LIMITS, (_, response) => response.end());
  let address: Address;

  beforeAll(async () => {
    address = await listen(server, LIMITS.listen);
  });

  afterAll(() => {
    server.close();
  });

  it.each([
    [
      'headers over the size limit',
      `GET / HTTP/1.1\r\nx: ${'a'.repeat(4096)}\r\n\r\n`,
      '431',
      'too_large',
    ],
    ['a request that is not HTTP', 'good morning\r\n\r\n', '400', 'invalid_request'],
  ])('refuses %s with an API error', async (_, bytes, status, code) => {
    expect(await sendBytes(address, bytes)).toEqual([status, code, 'not_run']);
  });
});

describe('metrics', () => {
  it('are kept when their receiver is unreachable', async () => {
    const metrics = newMetrics({ host: '127.0.0.1', port: 9 });
    for (let index = 0; index < 2000; index += 1) metrics.record('total_ms', 'gyms', 'online', 5);
    metrics.count('refusals', 'gyms', 'rate_limited');

    expect(metrics.summaries()).toMatchObject([{ team: 'gyms', count: 2000, p50: 5 }]);
    expect(metrics.counts()).toEqual({ 'refusals|gyms|rate_limited': 1 });
    metrics.close();
  });
});
