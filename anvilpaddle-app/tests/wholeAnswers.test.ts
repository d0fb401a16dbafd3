import OpenAI from 'openai';
import { newSeededRandom } from '@anvilpaddle/common';
import {
  getResponseTokens,
  newEngineStandIn,
  type EngineStandIn,
  type Fault,
} from '@anvilpaddle/standins';
import {
  newBenchEntry,
  newBenchSidecar,
  type BenchEntry,
  type BenchSidecar,
} from './kit/attemptBench';

const MODEL = 'small-chat';
const PATH = '/v1/chat/completions';
const TOKENS = 12;
const SHAPE = { models: [MODEL], slots: 8, prefillMs: 1, tokenMs: 1 } as const;
const REQUEST = {
  model: MODEL,
  messages: [{ role: 'user' as const, content: '¿Cuánto pagará el hogar?' }],
  max_tokens: TOKENS,
};
const EXPECTED = getResponseTokens(JSON.stringify(REQUEST.messages), TOKENS).join('');

describe('whole answers', () => {
  let engines: EngineStandIn[];
  let sidecars: BenchSidecar[];
  let entry: BenchEntry;
  let client: OpenAI;

  beforeEach(async () => {
    engines = await Promise.all(
      [1, 2, 3].map(() => newEngineStandIn({ host: '127.0.0.1', port: 0 }, SHAPE)),
    );
    sidecars = await Promise.all(
      engines.map(({ url }, index) => newBenchSidecar(`llm-${index}`, url, SHAPE.slots, [MODEL])),
    );
    entry = await newBenchEntry(sidecars, {
      route: { kind: 'model' },
      getLevel: () => ({ 'retries.budget': '10' }),
      random: newSeededRandom(1),
    });
    client = new OpenAI({ apiKey: 'key', baseURL: `${entry.url}/v1`, maxRetries: 0 });
  });

  afterEach(async () => {
    await entry.close();
    await Promise.all(sidecars.map((sidecar) => sidecar.close()));
    await Promise.all(engines.map((engine) => engine.close()));
  });

  /** The first call, whichever engine gets it, shows the fault; `times` calls at each engine. */
  const strike = (fault: Partial<Fault> & Pick<Fault, 'kind'>, engine?: number): void =>
    engines.forEach(({ faults }, index) => {
      if (engine === undefined || engine === index) faults.add({ path: PATH, ...fault });
    });

  /** Strikes one call over all engines together, by switching the others off after it. */
  const strikeFirst = (fault: Partial<Fault> & Pick<Fault, 'kind'>): void => {
    let left = 1;
    engines.forEach(({ faults }) => {
      const { take } = faults;
      const takeOnce: typeof take = (path, from) => {
        if (left === 0 || path !== PATH) return take(path, from);
        left -= 1;
        return { path: PATH, ...fault };
      };
      Object.assign(faults, { take: takeOnce });
    });
  };

  const readStream = async (): Promise<{ text: string; ids: Set<string>; finishes: number }> => {
    const stream = await client.chat.completions.create({ ...REQUEST, stream: true });
    const pieces: string[] = [];
    const ids = new Set<string>();
    let finishes = 0;
    for await (const chunk of stream) {
      ids.add(chunk.id);
      pieces.push(chunk.choices[0]?.delta.content ?? '');
      if (chunk.choices[0]?.finish_reason) finishes += 1;
    }
    return { text: pieces.join(''), ids, finishes };
  };

  const getWhole = async (): Promise<string | null | undefined> =>
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
  ] as const)('goes on elsewhere with no token missing or repeated: %s', async (_case, fault) => {
    strikeFirst(fault);
    const { text, ids, finishes } = await readStream();

    expect({ text, ids: ids.size, finishes }).toEqual({ text: EXPECTED, ids: 1, finishes: 1 });
    expect(
      engines.flatMap(({ requests: records }) => records).filter(({ tokens }) => tokens > 0).length,
    ).toBeGreaterThanOrEqual(1);
  });

  it.each([1, 4])(
    'ends a stream by an error that the client raises, cut after %i',
    async (after) => {
      strike({ kind: 'cut_chunked', afterTokens: after });

      await expect(readStream()).rejects.toMatchObject({ code: 'upstream_failed' });
    },
  );

  it('leaves no end that a client which skips the error event could take for a success', async () => {
    strike({ kind: 'cut_chunked', afterTokens: 2 });
    const answer = await fetch(`${entry.url}${PATH}`, {
      method: 'POST',
      body: JSON.stringify({ ...REQUEST, stream: true }),
    });

    await expect(answer.text()).rejects.toThrow('terminated');
  });

  it.each([
    ['cut with a length', { kind: 'cut_answer' }],
    ['cut in chunks', { kind: 'cut_chunked' }],
    ['cut without length or chunks', { kind: 'cut_unframed' }],
    ['of another attempt', { kind: 'other_id' }],
    ['an error of the engine', { kind: 'fail' }],
  ] as const)('passes no bad answer on, and gets another: %s', async (_case, fault) => {
    strikeFirst(fault);

    await expect(getWhole()).resolves.toBe(EXPECTED);
  });

  it.each(['cut_answer', 'cut_chunked', 'cut_unframed', 'other_id', 'fail', 'refuse'] as const)(
    'refuses with the state when every engine shows %s',
    async (kind) => {
      strike({ kind });

      await expect(getWhole()).rejects.toMatchObject({
        status: 502,
        code: 'upstream_failed',
        error: { run: 'unknown', retry_after_ms: 1000 },
      });
    },
  );

  it('tells not_run when no engine can be reached', async () => {
    await Promise.all(engines.map((engine) => engine.close()));

    await expect(getWhole()).rejects.toMatchObject({
      code: 'upstream_failed',
      error: { run: 'not_run' },
    });
  });

  it('cancels at the engine when the caller goes away', async () => {
    const stream = await client.chat.completions.create({
      ...REQUEST,
      max_tokens: 5000,
      stream: true,
    });
    for await (const chunk of stream) {
      if (chunk.choices[0]?.delta.content) break;
    }
    const record = engines.flatMap(({ requests: records }) => records)[0];
    while (record?.state === 'running') {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }

    expect(record?.state).toBe('cancelled');
  });
});
