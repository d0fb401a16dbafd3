/** Tests of the attempt server over HTTP, with stand-ins as upstreams. */
import { createServer, type Server } from 'node:http';
import { text } from 'node:stream/consumers';
import { formatAddress, listen, SystemClock } from '@anvilpaddle/common';
import type { Attempt } from '@anvilpaddle/protocol';
import {
  newEngineStandIn,
  newPlainStandIn,
  type EngineStandIn,
  type PlainStandIn,
} from '@anvilpaddle/standins';
import { newAttemptClient, type AttemptReply } from '../entry/attemptClient';
import { newPeerClient } from '../peers/peerClient';
import { HARNESS_SECRET, newTestSidecar, type TestSidecar } from './kit/attemptHarness';
import { waitFor } from './kit/waitFor';

const ANY = { host: '127.0.0.1', port: 0 } as const;
const MODEL = 'small-chat';
const client = newAttemptClient(HARNESS_SECRET);
const peerClient = newPeerClient(HARNESS_SECRET, 1000, new SystemClock());
let sequence = 0;

const newAttempt = (sidecar: TestSidecar, overrides: Partial<Attempt> = {}): Attempt => {
  sequence += 1;
  return {
    attempt: `att_${sequence}`,
    incarnation: sidecar.member().incarnation,
    sender: 'inc_entry',
    sequence,
    request: 'req_1',
    team: 'team',
    route: 'route',
    serviceClass: 'online',
    idempotent: false,
    timeLeftMs: 10_000,
    method: 'POST',
    path: '/intake/a/',
    headers: {},
    ...overrides,
  };
};

const send = (
  sidecar: TestSidecar,
  attempt: Attempt,
  body = '',
  signal = new AbortController().signal,
): Promise<AttemptReply> => client.send(sidecar.member(), attempt, Buffer.from(body), signal);

const readBody = async (reply: AttemptReply): Promise<string> =>
  reply.kind === 'answer' ? text(reply.body) : reply.kind;

afterAll(async () => {
  await Promise.all([client.close(), peerClient.close()]);
});

describe('attempt server', () => {
  let plain: PlainStandIn;
  let sidecar: TestSidecar;

  beforeEach(async () => {
    plain = await newPlainStandIn(ANY);
    sidecar = await newTestSidecar('plain-1', plain.url, 1);
  });

  afterEach(async () => {
    await sidecar.close();
    await plain.close();
  });

  it('refuses an attempt that is revoked while it waits', async () => {
    plain.faults.add({ path: '/intake/first/', kind: 'delay_after', delayMs: 300 });
    const first = send(sidecar, newAttempt(sidecar, { path: '/intake/first/' }));
    await waitFor('the first attempt runs', () => plain.calls.length === 1);
    const attempt = newAttempt(sidecar);
    const second = send(sidecar, attempt);
    await waitFor('the second attempt waits', () => sidecar.member().load?.waiting === 1);
    const revoked = await peerClient.call(sidecar.member().address, 'attempt.revoke', attempt);

    expect(revoked).toMatchObject({ ok: true, value: { state: 'not_sent' } });
    expect(await second).toEqual({
      kind: 'refusal',
      refusal: { reason: 'revoked', run: 'not_run' },
    });
    await readBody(await first);
    expect(plain.calls.map(({ path }) => path)).toEqual(['/intake/first/']);
  });

  it.each([
    ['an attempt for another incarnation', { incarnation: 'inc_other' }, 'incarnation', 'not_run'],
    ['a duplicate', { attempt: 'att_copy' }, 'duplicate', 'unknown'],
  ] as const)('refuses %s without running it', async (_case, overrides, reason, run) => {
    await readBody(await send(sidecar, newAttempt(sidecar, { attempt: 'att_copy' })));
    const reply = await send(sidecar, newAttempt(sidecar, overrides));

    expect(reply).toEqual({ kind: 'refusal', refusal: { reason, run } });
    expect(plain.calls).toHaveLength(1);
  });
});

describe('responses through a sidecar', () => {
  let upstream: Server;
  let sidecar: TestSidecar;

  beforeEach(async () => {
    upstream = createServer((request, response) => {
      response.writeHead(200, {
        'content-length': '4',
        'x-anvilpaddle-refusal': 'revoked',
        'x-anvilpaddle-attempt-id': 'att_other',
        'x-kept': request.method ?? '',
      });
      response.end('full');
    });
    const address = await listen(upstream, ANY);
    sidecar = await newTestSidecar('plain-1', `http://${formatAddress(address)}`, 2);
  });

  afterEach(async () => {
    await sidecar.close();
    upstream.closeAllConnections();
    upstream.close();
  });

  it.each([
    ['POST', 'full'],
    ['HEAD', ''],
  ])('are no refusals when the upstream sets internal headers: %s', async (method, body) => {
    const reply = await send(sidecar, newAttempt(sidecar, { method }));

    expect(reply).toMatchObject({ kind: 'answer', headers: { 'x-kept': method } });
    expect(await readBody(reply)).toBe(body);
  });
});

describe('output tokens of a response', () => {
  let engine: EngineStandIn;
  let sidecar: TestSidecar;

  beforeEach(async () => {
    const shape = { models: [MODEL], slots: 2, prefillMs: 1, tokenMs: 1 };
    engine = await newEngineStandIn(ANY, shape);
    sidecar = await newTestSidecar('llm-1', engine.url, 2, [MODEL]);
  });

  afterEach(async () => {
    await sidecar.close();
    await engine.close();
  });

  it.each([
    ['a stream', true],
    ['a complete response', false],
  ])('are counted for the scheduler: %s', async (_case, stream) => {
    const attempt = newAttempt(sidecar, { path: '/v1/completions' });
    const body = JSON.stringify({ model: MODEL, prompt: 'x', max_tokens: 9, stream });
    await readBody(await send(sidecar, attempt, body));
    await waitFor('the attempt is finished', () => sidecar.usedTokens.has(attempt.attempt));

    expect(sidecar.usedTokens.get(attempt.attempt)).toBe(9);
  });
});
