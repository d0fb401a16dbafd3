/** Separation of teams: routes, models, jobs, files and results. */
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

/** Response of the API, with the fields that the tests read. */
interface ApiResponse {
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
  /** API key of a team without restrictions. */
  let unrestrictedKey: string;
  /** API key of a team that may use only one route and one model. */
  let restrictedKey: string;

  beforeAll(async () => {
    fleet = await newFleet({
      entries: 1,
      engines: 1,
      plainUpstreams: 1,
      engine: { models: ['small-chat', 'large-chat'] },
    });
    unrestrictedKey = await fleet.createTeam('wide');
    restrictedKey = await fleet.createTeam('narrow', undefined, {
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
  ): Promise<ApiResponse> => {
    const isForm = body instanceof FormData;
    const response = await fetch(`${fleet.entries[0]?.url}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${key}`,
        ...(isForm ? {} : { 'content-type': 'application/json' }),
      },
      ...(body !== undefined && { body: isForm ? body : JSON.stringify(body) }),
    });
    const text = await response.text();
    return {
      status: response.status,
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
    waitFor('completion of the batch job', async () => {
      const { json } = await call(key, `/v1/batches/${id}`);
      return json.status === 'completed' && (json.output_file_id ?? '');
    });

  it('use only their routes and models', async () => {
    const chat = { model: 'small-chat', messages: MESSAGES, max_tokens: 1 };
    const responses = await Promise.all([
      call(restrictedKey, '/v1/chat/completions', chat),
      call(restrictedKey, '/v1/chat/completions', { ...chat, model: 'large-chat' }),
      call(restrictedKey, '/v1/completions', { model: 'small-chat', prompt: 'a', max_tokens: 1 }),
      call(restrictedKey, '/intake/forms'),
      call(restrictedKey, '/v1/%63ompletions', { model: 'small-chat', prompt: 'a', max_tokens: 1 }),
      call(unrestrictedKey, '/v1/chat/completions', { ...chat, model: 'large-chat' }),
    ]);

    expect(responses.map(({ status }) => status)).toEqual([200, 403, 403, 403, 403, 200]);
    expect((await call(restrictedKey, '/v1/models')).json.data?.map(({ id }) => id)).toEqual([
      'small-chat',
    ]);
  });

  it('read only their own jobs, files and results', async () => {
    const id = await runBatch(unrestrictedKey, [getItem('a', 'large-chat')]);
    const output = await waitForBatch(unrestrictedKey, id);
    const file = (await call(unrestrictedKey, `/v1/batches/${id}`)).json as {
      input_file_id?: string;
    };
    const ownResponse = await call(unrestrictedKey, `/v1/files/${output}/content`);
    const foreignResponses = await Promise.all([
      call(restrictedKey, `/v1/batches/${id}`),
      call(restrictedKey, `/v1/batches/${id}/cancel`, {}),
      call(restrictedKey, `/v1/files/${output}`),
      call(restrictedKey, `/v1/files/${output}/content`),
      call(restrictedKey, `/v1/files/${file.input_file_id}`),
      call(restrictedKey, `/v1/files/${file.input_file_id}/content`),
      call(restrictedKey, `/v1/files/${file.input_file_id}`, undefined, 'DELETE'),
      call(restrictedKey, '/v1/batches', {
        input_file_id: file.input_file_id,
        endpoint: '/v1/chat/completions',
        completion_window: '1h',
      }),
    ]);

    expect(ownResponse.status).toBe(200);
    expect(foreignResponses.map(({ status }) => status)).toEqual(foreignResponses.map(() => 404));
    expect((await call(restrictedKey, '/v1/batches')).json.data).toEqual([]);
  });

  it('cannot use other routes or models through a batch job', async () => {
    const refused = await call(restrictedKey, '/v1/batches', {
      input_file_id: await upload(restrictedKey, [getItem('a', 'small-chat')]),
      endpoint: '/v1/completions',
      completion_window: '1h',
    });
    const largeRunsBefore = fleet.engines[0]?.requests.filter(
      ({ model }) => model === 'large-chat',
    ).length;
    const id = await runBatch(restrictedKey, [
      getItem('a', 'small-chat'),
      getItem('b', 'large-chat'),
    ]);
    await waitForBatch(restrictedKey, id);
    const { json } = await call(restrictedKey, `/v1/batches/${id}`);
    const errorFile = await fetch(
      `${fleet.entries[0]?.url}/v1/files/${json.error_file_id}/content`,
      {
        headers: { authorization: `Bearer ${restrictedKey}` },
      },
    );
    const largeRunsAfter = fleet.engines[0]?.requests.filter(
      ({ model }) => model === 'large-chat',
    ).length;

    expect(refused.status).toBe(403);
    expect(json.request_counts).toEqual({ total: 2, completed: 1, failed: 1 });
    expect(await errorFile.text()).toContain('may not use');
    // The unrestricted team has used the large model, online and in a batch job.
    expect(largeRunsBefore).toBeGreaterThanOrEqual(2);
    expect(largeRunsAfter).toBe(largeRunsBefore);
  });
});
