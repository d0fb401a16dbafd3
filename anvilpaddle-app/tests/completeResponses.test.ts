import OpenAI from 'openai';
import { newSeededRandom } from '@anvilpaddle/common';
import {
  getAnswerTokens,
  newEngineStandIn,
  type EngineStandIn,
  type Fault,
} from '@anvilpaddle/standins';
import {
  newTestEntry,
  newTestSidecar,
  type TestEntry,
  type TestSidecar,
} from './kit/attemptHarness';

const MODEL = 'small-chat';
const PATH = '/v1/chat/completions';
const TOKENS = 12;
const ENGINE_OPTIONS = { models: [MODEL], slots: 8, prefillMs: 1, tokenMs: 1 } as const;
const REQUEST = {
  model: MODEL,
  messages: [{ role: 'user' as const, content: '¿Cuánto pagará el hogar?' }],
  max_tokens: TOKENS,
};
const EXPECTED_TEXT = getAnswerTokens(JSON.stringify(REQUEST.messages), TOKENS).join('');

describe('complete responses', () => {
  let engines: EngineStandIn[];
  let sidecars: TestSidecar[];
  let entry: TestEntry;
  let client: OpenAI;

  beforeEach(async () => {
    engines = await Promise.all(
      [1, 2, 3].map(() => newEngineStandIn({ host: '127.0.0.1', port: 0 }, ENGINE_OPTIONS)),
    );
    sidecars = await Promise.all(
      engines.map(({ url }, index) =>
        newTestSidecar(`llm-${index}`, url, ENGINE_OPTIONS.slots, [MODEL]),
      ),
    );
    entry = await newTestEntry(sidecars, {
      route: { kind: 'model' },
      getSettings: () => ({ 'retries.budget': '10' }),
      random: newSeededRandom(1),
    });
    client = new OpenAI({ apiKey: 'key', baseURL: `${entry.url}/v1`, maxRetries: 0 });
  });

  afterEach(async () => {
    await entry.close();
    await Promise.all(sidecars.map((sidecar) => sidecar.close()));
    await Promise.all(engines.map((engine) => engine.close()));
  });

  /** Adds a fault to every engine, or to the given one. */
  const addFault = (fault: Partial<Fault> & Pick<Fault, 'kind'>, engine?: number): void =>
    engines.forEach(({ faults }, index) => {
      if (engine === undefined || engine === index) faults.add({ path: PATH, ...fault });
    });

  /** Adds a fault that affects only the first call, whichever engine receives it. */
  const addFaultToFirstCall = (fault: Partial<Fault> & Pick<Fault, 'kind'>): void => {
    let remainingFaults = 1;
    engines.forEach(({ faults }) => {
      const { take } = faults;
      const takeOnce: typeof take = (path, from) => {
        if (remainingFaults === 0 || path !== PATH) return take(path, from);
        remainingFaults -= 1;
        return { path: PATH, ...fault };
      };
      Object.assign(faults, { take: takeOnce });
    });
  };

  const readStream = async (): Promise<{ text: string; ids: Set<string>; finishCount: number }> => {
    const stream = await client.chat.completions.create({ ...REQUEST, stream: true });
    const texts: string[] = [];
    const ids = new Set<string>();
    let finishCount = 0;
    for await (const chunk of stream) {
      ids.add(chunk.id);
      texts.push(chunk.choices[0]?.delta.content ?? '');
      if (chunk.choices[0]?.finish_reason) finishCount += 1;
    }
    return { text: texts.join(''), ids, finishCount };
  };

  const getResponseText = async (): Promise<string | null | undefined> =>
    (await client.chat.completions.create(REQUEST)).choices[0]?.message.content;

  it.each([
    ['cut before its first token', { kind: 'cut_chunked', afterTokens: 0 }],
    ['cut after one token', { kind: 'cut_chunked', afterTokens: 1 }],
    ['cut in the middle', { kind: 'cut_chunked', afterTokens: 6 }],
    ['cut after its last token', { kind: 'cut_chunked', afterTokens: TOKENS }],
    ['ended without its end mark', { kind: 'end_early', afterTokens: 5 }],
    ['of another attempt', { kind: 'other_id' }],
    ['refused by the engine', { kind: 'refuse' }],
    ['reset before it was read', { kind: 'reset_unread' }],
    ['reset after it was read', { kind: 'drop_after' }],
  ] as const)(
    'resume at another engine with no token missing or repeated: %s',
    async (_case, fault) => {
      addFaultToFirstCall(fault);
      const { text, ids, finishCount } = await readStream();

      expect({ text, ids: ids.size, finishCount }).toEqual({
        text: EXPECTED_TEXT,
        ids: 1,
        finishCount: 1,
      });
      expect(
        engines.flatMap(({ records }) => records).filter(({ tokens }) => tokens > 0).length,
      ).toBeGreaterThanOrEqual(1);
    },
  );

  it.each([1, 4])(
    'end with an error that the client raises when the stream is cut after %i',
    async (afterTokens) => {
      addFault({ kind: 'cut_chunked', afterTokens });

      await expect(readStream()).rejects.toMatchObject({ code: 'upstream_failed' });
    },
  );

  it('end with a cut connection, so that a client which skips the error event sees no success', async () => {
    addFault({ kind: 'cut_chunked', afterTokens: 2 });
    const response = await fetch(`${entry.url}${PATH}`, {
      method: 'POST',
      body: JSON.stringify({ ...REQUEST, stream: true }),
    });

    await expect(response.text()).rejects.toThrow('terminated');
  });

  it.each([
    ['cut with a length', { kind: 'cut_answer' }],
    ['cut in chunks', { kind: 'cut_chunked' }],
    ['cut without length or chunks', { kind: 'cut_unframed' }],
    ['of another attempt', { kind: 'other_id' }],
    ['an error of the engine', { kind: 'fail' }],
  ] as const)('come from another engine after a bad response: %s', async (_case, fault) => {
    addFaultToFirstCall(fault);

    await expect(getResponseText()).resolves.toBe(EXPECTED_TEXT);
  });

  it.each(['cut_answer', 'cut_chunked', 'cut_unframed', 'other_id', 'fail', 'refuse'] as const)(
    'give way to an error with the run state when every engine fails with %s',
    async (kind) => {
      addFault({ kind });

      await expect(getResponseText()).rejects.toMatchObject({
        status: 502,
        code: 'upstream_failed',
        error: { run: 'unknown', retry_after_ms: 1000 },
      });
    },
  );

  it('give way to an error with the state not_run when no engine can be reached', async () => {
    await Promise.all(engines.map((engine) => engine.close()));

    await expect(getResponseText()).rejects.toMatchObject({
      code: 'upstream_failed',
      error: { run: 'not_run' },
    });
  });

  it('are cancelled at the engine when the caller closes the connection', async () => {
    const stream = await client.chat.completions.create({
      ...REQUEST,
      max_tokens: 5000,
      stream: true,
    });
    for await (const chunk of stream) {
      if (chunk.choices[0]?.delta.content) break;
    }
    const record = engines.flatMap(({ records }) => records)[0];
    while (record?.state === 'running') {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }

    expect(record?.state).toBe('cancelled');
  });
});
