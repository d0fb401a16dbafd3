import { Readable, Writable } from 'node:stream';
import { ManualClock, newMetrics } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import type { UpstreamResponse } from '../entry/upstreamResponse';
import type { EntryDependencies, Exchange } from '../entry/types';
import { newStreamRelay } from '../entry/streamRelay';

const ATTEMPT = 'att_1';

/** Response to a caller that reads everything, or nothing. */
const newResponse = (isReading: boolean) => {
  const texts: string[] = [];
  const response = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      texts.push(String(chunk));
      if (isReading) done();
    },
  });
  return { texts, response: Object.assign(response, { writeHead: () => response }) };
};

const newRelay = (response: Writable, clock: ManualClock) => {
  const exchange = {
    response,
    outcome: {},
    route: { kind: 'model' },
    json: {},
    settings: {},
  } as unknown as Exchange;
  return newStreamRelay(exchange, {
    clock,
    metrics: newMetrics(undefined),
  } as unknown as EntryDependencies);
};

const newUpstreamResponse = (chunks: readonly (string | Buffer)[]): UpstreamResponse => ({
  kind: 'answer',
  attempt: ATTEMPT,
  status: 200,
  headers: {},
  body: Readable.from(chunks.map((chunk) => Buffer.from(chunk))),
  load: undefined,
});

const getEvent = (content: string): string =>
  `data: ${JSON.stringify({ id: '1', choices: [{ delta: { content } }] })}\n\n`;

describe('the stream relay', () => {
  const { signal } = new AbortController();

  it('ends a failed stream when its caller has stopped reading', async () => {
    const clock = new ManualClock();
    const { response } = newResponse(false);
    const failure = newRelay(response, clock).fail(newApiError('upstream_failed', 'cut'));
    clock.advance(1000);
    await failure;

    expect(response.destroyed).toBe(true);
  });

  it('relays only complete events, and characters that are split across chunks', async () => {
    const { texts, response } = newResponse(true);
    const completeEvent = Buffer.from(getEvent('ñ'));
    const cutAt = completeEvent.indexOf(Buffer.from('ñ')) + 1;
    const upstreamResponse = newUpstreamResponse([
      completeEvent.subarray(0, cutAt),
      completeEvent.subarray(cutAt),
      'data: {"id"',
    ]);

    await expect(
      newRelay(response, new ManualClock()).relay(upstreamResponse, signal),
    ).resolves.toBe('cut');
    expect(texts.join('')).toBe(getEvent('ñ'));
  });

  it('stops at an event over the size limit', async () => {
    const { texts, response } = newResponse(true);
    let remainingChunks = 100;
    const endlessEvent = (function* getChunks() {
      for (; remainingChunks > 0; remainingChunks -= 1) yield Buffer.alloc(64 * 1024, 'x');
    })();
    const upstreamResponse = { ...newUpstreamResponse([]), body: Readable.from(endlessEvent) };

    await expect(
      newRelay(response, new ManualClock()).relay(upstreamResponse, signal),
    ).resolves.toBe('cut');
    expect(texts).toEqual([]);
    expect(remainingChunks).toBeGreaterThan(0);
  });
});
