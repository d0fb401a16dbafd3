import { Readable, Writable } from 'node:stream';
import { ManualClock, newMetrics } from '@anvilpaddle/common';
import { newApiError } from '@anvilpaddle/protocol';
import type { UpstreamResponse } from '../entry/upstreamResponse';
import type { EntryDependencies, Exchange } from '../entry/types';
import { newStreamRelay } from '../entry/streamRelay';

const ATTEMPT = 'att_1';

/** Response of a caller that reads everything, or nothing at all. */
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

const newAnswer = (chunks: readonly (string | Buffer)[]): UpstreamResponse => ({
  kind: 'answer',
  attempt: ATTEMPT,
  status: 200,
  headers: {},
  body: Readable.from(chunks.map((chunk) => Buffer.from(chunk))),
  load: undefined,
});

const getEvent = (content: string): string =>
  `data: ${JSON.stringify({ id: '1', choices: [{ delta: { content } }] })}\n\n`;

describe('the relay of a stream', () => {
  const { signal } = new AbortController();

  it('ends a failed stream although its caller has stopped reading', async () => {
    const clock = new ManualClock();
    const { response } = newResponse(false);
    const failed = newRelay(response, clock).fail(newApiError('upstream_failed', 'cut'));
    clock.advance(1000);
    await failed;

    expect(response.destroyed).toBe(true);
  });

  it('passes only whole events, and characters that chunks cut in two', async () => {
    const { texts, response } = newResponse(true);
    const whole = Buffer.from(getEvent('ñ'));
    const cutAt = whole.indexOf(Buffer.from('ñ')) + 1;
    const answer = newAnswer([whole.subarray(0, cutAt), whole.subarray(cutAt), 'data: {"id"']);

    await expect(newRelay(response, new ManualClock()).relay(answer, signal)).resolves.toBe('cut');
    expect(texts.join('')).toBe(getEvent('ñ'));
  });

  it('gives up an event without end', async () => {
    const { texts, response } = newResponse(true);
    let left = 100;
    const endless = (function* getChunks() {
      for (; left > 0; left -= 1) yield Buffer.alloc(64 * 1024, 'x');
    })();
    const answer = { ...newAnswer([]), body: Readable.from(endless) };

    await expect(newRelay(response, new ManualClock()).relay(answer, signal)).resolves.toBe('cut');
    expect(texts).toEqual([]);
    expect(left).toBeGreaterThan(0);
  });
});
