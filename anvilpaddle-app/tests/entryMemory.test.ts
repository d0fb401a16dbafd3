import { connect, type Socket } from 'node:net';
import { BYTES_PER_MIB, loadHashing, newSeededRandom } from '@anvilpaddle/common';
import { newEngineStandIn, type EngineStandIn } from '@anvilpaddle/standins';
import {
  newTestEntry,
  newTestSidecar,
  type TestEntry,
  type TestSidecar,
} from './kit/attemptHarness';
import { waitFor } from './kit/waitFor';

const MODEL = 'small-chat';
const MAX_HELD_BYTES = 4 * BYTES_PER_MIB;
const CALLERS = 16;

let engine: EngineStandIn;
let sidecar: TestSidecar;
let entry: TestEntry;

beforeAll(loadHashing);

beforeEach(async () => {
  const options = { models: [MODEL], slots: 8, prefillMs: 1, tokenMs: 1 };
  engine = await newEngineStandIn({ host: '127.0.0.1', port: 0 }, options);
  sidecar = await newTestSidecar('llm', engine.url, options.slots, [MODEL]);
  entry = await newTestEntry([sidecar], {
    route: { kind: 'model' },
    getSettings: () => ({ 'retries.budget': '10' }),
    maxHeldBytes: MAX_HELD_BYTES,
    random: newSeededRandom(1),
  });
});

afterEach(async () => {
  await entry.close();
  await sidecar.close();
  await engine.close();
});

const send = (text: string): Promise<Response> =>
  fetch(`${entry.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      model: MODEL,
      messages: [{ role: 'user', content: text }],
      max_tokens: 2,
    }),
  });

/** Opens a request with some bytes of a body that does not end. */
const openEndlessCaller = (bytes: number): Socket => {
  const { hostname, port } = new URL(entry.url);
  const socket = connect(Number(port), hostname);
  socket.on('error', () => undefined);
  socket.write(
    `POST /v1/chat/completions HTTP/1.1\r\nHost: ${hostname}\r\nContent-Length: ${2 * bytes}\r\n\r\n${'x'.repeat(bytes)}`,
  );
  return socket;
};

// Guards against issue 46: each body was bounded, but not their sum.
describe('an entry whose bound of held bytes is small', () => {
  it('refuses a body that does not fit with overloaded and a time, and takes it later', async () => {
    const large = 'x'.repeat(0.75 * BYTES_PER_MIB);
    const sockets = Array.from({ length: CALLERS }, () => openEndlessCaller(100_000));
    await waitFor('a refusal', async () => (await send(large)).status === 503);
    const refusal = await send(large);
    expect(await refusal.json()).toMatchObject({ error: { code: 'overloaded', run: 'not_run' } });
    expect(refusal.headers.get('retry-after')).toBe('1');
    expect((await send('a small question')).status).toBe(200);
    sockets.forEach((socket) => socket.destroy());
    await waitFor('an answer', async () => (await send(large)).status === 200);
  });
});
