import { newFleet, type Fleet } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const MESSAGES = [{ role: 'user', content: 'May I?' }];
const getItem = (id: string, model: string): string =>
  JSON.stringify({
    custom_id: id,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model, messages: MESSAGES, max_tokens: 1 },
  });

interface Answer {
  readonly status: number;
  readonly json: {
    id?: string;
    status?: string;
    output_file_id?: string;
    error_file_id?: string;
    request_counts?: object;
    data?: { id: string }[];
  };
}

describe('teams', () => {
  let fleet: Fleet;
  let wide: string;
  let narrow: string;

  beforeAll(async () => {
    fleet = await newFleet({
      entries: 1,
      engines: 1,
      plainUpstreams: 1,
      engine: { models: ['small-chat', 'large-chat'] },
    });
    wide = await fleet.createTeam('wide');
    narrow = await fleet.createTeam('narrow', undefined, {
      models: ['small-chat'],
      routes: ['chat'],
    });
  });

  afterAll(() => fleet.close());

  const call = async (
    key: string,
    path: string,
    body?: object | FormData,
    method = body === undefined ? 'GET' : 'POST',
  ): Promise<Answer> => {
    const isForm = body instanceof FormData;
    const answer = await fetch(`${fleet.entries[0]?.url}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${key}`,
        ...(isForm ? {} : { 'content-type': 'application/json' }),
      },
      ...(body !== undefined && { body: isForm ? body : JSON.stringify(body) }),
    });
    const text = await answer.text();
    return {
      status: answer.status,
      json: text.startsWith('{') ? (JSON.parse(text) as object) : {},
    };
  };

  const upload = async (key: string, lines: readonly string[]): Promise<string> => {
    const form = new FormData();
    form.set('purpose', 'batch');
    form.set('file', new Blob([lines.join('\n')]), 'items.jsonl');
    return (await call(key, '/v1/files', form)).json.id ?? '';
  };

  const runBatch = async (key: string, lines: readonly string[]): Promise<string> => {
    const created = await call(key, '/v1/batches', {
      input_file_id: await upload(key, lines),
      endpoint: '/v1/chat/completions',
      completion_window: '1h',
    });
    return created.json.id ?? '';
  };

  const waitForBatch = (key: string, id: string): Promise<string> =>
    waitFor('the batch completed', async () => {
      const { json } = await call(key, `/v1/batches/${id}`);
      return json.status === 'completed' && (json.output_file_id ?? '');
    });

  it('use only their routes and models', async () => {
    const chat = { model: 'small-chat', messages: MESSAGES, max_tokens: 1 };
    const statuses = await Promise.all([
      call(narrow, '/v1/chat/completions', chat),
      call(narrow, '/v1/chat/completions', { ...chat, model: 'large-chat' }),
      call(narrow, '/v1/completions', { model: 'small-chat', prompt: 'a', max_tokens: 1 }),
      call(narrow, '/intake/forms'),
      call(narrow, '/v1/%63ompletions', { model: 'small-chat', prompt: 'a', max_tokens: 1 }),
      call(wide, '/v1/chat/completions', { ...chat, model: 'large-chat' }),
    ]);

    expect(statuses.map(({ status }) => status)).toEqual([200, 403, 403, 403, 403, 200]);
    expect((await call(narrow, '/v1/models')).json.data?.map(({ id }) => id)).toEqual([
      'small-chat',
    ]);
  });

  it('read only their own jobs, files and results', async () => {
    const id = await runBatch(wide, [getItem('a', 'large-chat')]);
    const output = await waitForBatch(wide, id);
    const file = (await call(wide, `/v1/batches/${id}`)).json as { input_file_id?: string };
    const own = await call(wide, `/v1/files/${output}/content`);
    const foreign = await Promise.all([
      call(narrow, `/v1/batches/${id}`),
      call(narrow, `/v1/batches/${id}/cancel`, {}),
      call(narrow, `/v1/files/${output}`),
      call(narrow, `/v1/files/${output}/content`),
      call(narrow, `/v1/files/${file.input_file_id}`),
      call(narrow, `/v1/files/${file.input_file_id}/content`),
      call(narrow, `/v1/files/${file.input_file_id}`, undefined, 'DELETE'),
      call(narrow, '/v1/batches', {
        input_file_id: file.input_file_id,
        endpoint: '/v1/chat/completions',
        completion_window: '1h',
      }),
    ]);

    expect(own.status).toBe(200);
    expect(foreign.map(({ status }) => status)).toEqual(foreign.map(() => 404));
    expect((await call(narrow, '/v1/batches')).json.data).toEqual([]);
  });

  it('cannot reach other routes or models by a batch', async () => {
    const refused = await call(narrow, '/v1/batches', {
      input_file_id: await upload(narrow, [getItem('a', 'small-chat')]),
      endpoint: '/v1/completions',
      completion_window: '1h',
    });
    const before = fleet.engines[0]?.records.filter(({ model }) => model === 'large-chat').length;
    const id = await runBatch(narrow, [getItem('a', 'small-chat'), getItem('b', 'large-chat')]);
    await waitForBatch(narrow, id);
    const { json } = await call(narrow, `/v1/batches/${id}`);
    const errors = await fetch(`${fleet.entries[0]?.url}/v1/files/${json.error_file_id}/content`, {
      headers: { authorization: `Bearer ${narrow}` },
    });
    const after = fleet.engines[0]?.records.filter(({ model }) => model === 'large-chat').length;

    expect(refused.status).toBe(403);
    expect(json.request_counts).toEqual({ total: 2, completed: 1, failed: 1 });
    expect(await errors.text()).toContain('may not use');
    // The team that may use it has run it, online and as an item.
    expect(before).toBeGreaterThanOrEqual(2);
    expect(after).toBe(before);
  });
});
