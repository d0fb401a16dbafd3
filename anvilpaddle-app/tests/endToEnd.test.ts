/** Requests and a batch job through separate entry and sidecar processes. */
import OpenAI, { toFile } from 'openai';
import { getResponseTokens } from '@anvilpaddle/standins';
import { newFleet, type Fleet } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const QUESTION = [{ role: 'user' as const, content: 'Is the household eligible?' }];
const getExpectedText = (messages: unknown, count: number): string =>
  getResponseTokens(JSON.stringify(messages), count).join('');

describe('requests through separate entry and sidecar processes', () => {
  let fleet: Fleet;
  let client: OpenAI;
  let key: string;

  beforeAll(async () => {
    fleet = await newFleet({ entries: 2, engines: 2, plainUpstreams: 1 });
    key = await fleet.createTeam('association');
    client = new OpenAI({ apiKey: key, baseURL: `${fleet.entries[1]?.url}/v1`, maxRetries: 0 });
  });

  afterAll(() => fleet.close());

  it('answers a chat completion', async () => {
    const response = await client.chat.completions.create({
      model: 'small-chat',
      messages: QUESTION,
      max_tokens: 8,
    });

    expect(response.choices[0]?.message.content).toBe(getExpectedText(QUESTION, 8));
  });

  it('streams a chat completion to its end', async () => {
    const stream = await client.chat.completions.create({
      model: 'small-chat',
      messages: QUESTION,
      max_tokens: 8,
      stream: true,
    });
    const pieces: string[] = [];
    for await (const chunk of stream) pieces.push(chunk.choices[0]?.delta.content ?? '');

    expect(pieces.join('')).toBe(getExpectedText(QUESTION, 8));
  });

  it('answers a plain completion', async () => {
    const prompt = 'The tariff application of';
    const response = await client.completions.create({
      model: 'small-chat',
      prompt,
      max_tokens: 4,
    });

    expect(response.choices[0]?.text).toBe(getExpectedText(prompt, 4));
  });

  it('lists the models', async () => {
    const models = await client.models.list();

    expect(models.data.map(({ id }) => id)).toEqual(['small-chat']);
  });

  it('forwards a request to a plain upstream once, without the API key', async () => {
    const response = await fetch(`${fleet.entries[0]?.url}/intake/forms`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}` },
      body: 'a form',
    });

    expect(response.status).toBe(200);
    expect(fleet.plainUpstreams[0]?.calls).toMatchObject([
      { method: 'POST', path: '/intake/forms', body: 'a form' },
    ]);
    expect(JSON.stringify(fleet.plainUpstreams[0]?.calls)).not.toContain(key);
  });

  it('runs a batch job from upload to results', async () => {
    const items = Array.from({ length: 20 }, (_, index) => ({
      custom_id: `dossier-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: { model: 'small-chat', messages: QUESTION, max_tokens: 4 },
    }));
    const lines = items.map((item) => JSON.stringify(item)).join('\n');
    const file = await client.files.create({
      purpose: 'batch',
      file: await toFile(Buffer.from(lines), 'dossiers.jsonl'),
    });
    const { id } = await client.batches.create({
      input_file_id: file.id,
      endpoint: '/v1/chat/completions',
      completion_window: '24h',
    });
    const job = await waitFor('completion of the job', async () => {
      const read = await client.batches.retrieve(id);
      return read.status === 'completed' && read;
    });
    const output = await (await client.files.content(job.output_file_id ?? '')).text();
    const results = output
      .trim()
      .split('\n')
      .map((line) => JSON.parse(line) as { custom_id: string; response: { status_code: number } });

    expect(job.request_counts).toEqual({ total: 20, completed: 20, failed: 0 });
    expect(results.map((result) => result.custom_id)).toEqual(items.map((item) => item.custom_id));
    expect(results.every(({ response }) => response.status_code === 200)).toBe(true);
  });

  it('refuses an unknown key without running the request', async () => {
    const response = await fetch(`${fleet.entries[0]?.url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer ap-unknown' },
      body: '{}',
    });

    expect(response.status).toBe(401);
    expect(await response.json()).toMatchSnapshot();
  });

  it('refuses a body that names no model', async () => {
    const response = await fetch(`${fleet.entries[0]?.url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}` },
      body: '{"messages":[]}',
    });

    expect(response.status).toBe(400);
    expect(await response.json()).toMatchSnapshot();
  });
});
