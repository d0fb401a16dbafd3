/** Batch jobs through separate processes, with killed processes, platform faults and bad input. */
import { request as httpRequest } from 'node:http';
import OpenAI, { toFile } from 'openai';
import { PLATFORM_RATES } from '@anvilpaddle/standins';
import { newFleet, type Fleet } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const CHAT = '/v1/chat/completions';
const SIDECAR_PAUSE_MS = 2500;
const MAX_STOP_MS = 5000;

/** Line of a results or errors file. */
interface ResultLine {
  readonly custom_id: string | null;
  readonly response: { readonly status_code: number } | null;
  readonly error: { readonly code: string; readonly message: string } | null;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const getItemLine = (index: number, maxTokens = 1): string =>
  JSON.stringify({
    custom_id: `dossier-${index}`,
    method: 'POST',
    url: CHAT,
    body: {
      model: 'small-chat',
      messages: [{ role: 'user', content: `${index}` }],
      max_tokens: maxTokens,
    },
  });

const getItemLines = (count: number, maxTokens = 1): string[] =>
  Array.from({ length: count }, (_, index) => getItemLine(index, maxTokens));

const parseLines = (content: string): ResultLine[] =>
  content
    .split('\n')
    .filter(Boolean)
    .map((line) => JSON.parse(line) as ResultLine);

describe('batch jobs in separate processes', () => {
  let fleet: Fleet;
  let key: string;
  let client: OpenAI;

  beforeAll(async () => {
    fleet = await newFleet({
      entries: 2,
      engines: 3,
      plainUpstreams: 1,
      engine: { slots: 16, prefillMs: 2, tokenMs: 2 },
      settingsByLevel: {
        fleet: { 'limits.rate': '10000', 'limits.burst': '10000', 'batch.lease': '1s' },
      },
    });
    key = await fleet.createTeam('association');
    client = new OpenAI({ apiKey: key, baseURL: `${fleet.entries[1]?.url}/v1`, maxRetries: 0 });
  });

  afterAll(() => fleet.close());

  const upload = async (content: string): Promise<string> => {
    const file = await toFile(Buffer.from(content), 'dossiers.jsonl');
    return (await client.files.create({ purpose: 'batch', file })).id;
  };

  const post = (entry: number, body: object, idempotencyKey: string): Promise<Response> =>
    fetch(`${fleet.entries[entry]?.url}/v1/batches`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'idempotency-key': idempotencyKey },
      body: JSON.stringify(body),
    });

  const getBatchBody = (file: string, endpoint = CHAT) => ({
    input_file_id: file,
    endpoint: endpoint as typeof CHAT,
    completion_window: '24h' as const,
  });

  const waitForEnd = (id: string, timeoutMs?: number) =>
    waitFor(
      `the end of job ${id}`,
      async () => {
        const job = await client.batches.retrieve(id).catch(() => undefined);
        return job !== undefined && job.status !== 'in_progress' && job;
      },
      timeoutMs,
    );

  const readLines = async (file: string | null | undefined): Promise<ResultLine[]> =>
    file == null ? [] : parseLines(await (await client.files.content(file)).text());

  it('loses and duplicates no result when sidecars are killed or paused and the stores fail', async () => {
    const lines = getItemLines(3000);
    fleet.platform.rates.set(PLATFORM_RATES);
    const file = await upload(lines.join('\n'));
    const { id } = await client.batches.create(getBatchBody(file));
    const [first, second] = fleet.sidecars;
    await waitFor('items at the engines', () =>
      fleet.engines.every(({ requests: records }) => records.length > 20),
    );
    await first?.process.kill();
    second?.process.pause();
    fleet.platform.faults.add({ path: '/tables/transact', kind: 'drop_after', times: 5 });
    fleet.platform.faults.add({ path: '/objects/results', kind: 'drop_after', times: 5 });
    fleet.platform.faults.add({ path: '/tables', kind: 'refuse', times: 20 });
    fleet.platform.faults.add({ path: '/objects', kind: 'refuse', times: 10 });
    await sleep(SIDECAR_PAUSE_MS);
    second?.process.resume();
    await first?.restart();
    const job = await waitForEnd(id);
    fleet.platform.rates.set(undefined);
    fleet.platform.faults.clear();
    const results = await readLines(job.output_file_id);

    expect(job.request_counts).toEqual({ total: 3000, completed: 3000, failed: 0 });
    expect(results.map((result) => result.custom_id)).toEqual(
      lines.map((line) => (JSON.parse(line) as ResultLine).custom_id),
    );
  });

  it('keeps a job whose entry is killed after the acknowledgement, and returns the same job on a retry', async () => {
    const file = await upload(getItemLines(300).join('\n'));
    const created = await post(0, getBatchBody(file), 'night-1');
    const { id } = (await created.json()) as { id: string };
    await fleet.entries[0]?.process.kill();
    const retried = await post(1, getBatchBody(file), 'night-1');
    const conflicting = await post(
      1,
      { ...getBatchBody(file), metadata: { night: '2' } },
      'night-1',
    );
    const job = await waitForEnd(id);
    await fleet.entries[0]?.restart();

    expect(await retried.json()).toMatchObject({ id });
    expect(conflicting.status).toBe(409);
    expect(job.request_counts).toEqual({ total: 300, completed: 300, failed: 0 });
    expect(await readLines(job.output_file_id)).toHaveLength(300);
  });

  it('creates one job for concurrent requests with the same idempotency key', async () => {
    const file = await upload(getItemLines(10).join('\n'));
    const responses = await Promise.all(
      [0, 1, 0, 1, 0, 1].map((entry) => post(entry, getBatchBody(file), 'night-2')),
    );
    const ids = await Promise.all(
      responses.map(async (response) => ((await response.json()) as { id: string }).id),
    );

    expect(responses.map(({ status }) => status)).toEqual(Array(6).fill(200));
    expect(new Set(ids).size).toBe(1);
    await waitForEnd(ids[0] ?? '');
  });

  it('stops a cancelled job at every upstream within 5 s and adds no result', async () => {
    const file = await upload(getItemLines(1500, 400).join('\n'));
    const { id } = await client.batches.create(getBatchBody(file));
    const getEngineRequests = () => fleet.engines.flatMap(({ requests: records }) => records);
    await waitFor('long items at the engines', () =>
      getEngineRequests().some(({ tokens }) => tokens > 20),
    );
    const cancelled = await Promise.all([client.batches.cancel(id), client.batches.cancel(id)]);
    const endMs = performance.now() + MAX_STOP_MS;
    await waitFor(
      'the end of every running item',
      () => getEngineRequests().every(({ state }) => state === 'finished' || state === 'cancelled'),
      MAX_STOP_MS,
    );
    const startedRequests = getEngineRequests().length;
    await sleep(Math.max(0, endMs - performance.now()));
    const jobAfter = await client.batches.retrieve(id);

    expect(cancelled.map(({ status }) => status)).toEqual(['cancelled', 'cancelled']);
    expect(getEngineRequests()).toHaveLength(startedRequests);
    expect(jobAfter.request_counts).toEqual(cancelled[0]?.request_counts);
  });

  it('never repeats a non-idempotent request when its sidecar is killed', async () => {
    const [plainUpstream] = fleet.plainUpstreams;
    const lines = Array.from({ length: 200 }, (_, index) =>
      JSON.stringify({
        custom_id: `form-${index}`,
        method: 'POST',
        url: `/intake/${index}`,
        body: { index },
      }),
    );
    plainUpstream?.faults.add({ path: '/intake', kind: 'delay', delayMs: 30 });
    const file = await upload(lines.join('\n'));
    const { id } = await client.batches.create(getBatchBody(file, '/intake/'));
    await waitFor('requests at the plain upstream', () => (plainUpstream?.calls.length ?? 0) > 30);
    await fleet.sidecars[3]?.process.kill();
    await fleet.sidecars[3]?.restart();
    const job = await waitForEnd(id);
    plainUpstream?.faults.clear();
    const failed = await readLines(job.error_file_id);
    const paths = plainUpstream?.calls.map(({ path }) => path) ?? [];

    expect(new Set(paths).size).toBe(paths.length);
    expect(failed.length).toBeGreaterThan(0);
    expect(failed.every(({ error }) => error?.code === 'outcome_unknown')).toBe(true);
    expect(job.request_counts).toEqual({
      total: 200,
      completed: 200 - failed.length,
      failed: failed.length,
    });
  });

  it('gives invalid lines error results and keeps the order of the other lines', async () => {
    const lines = [
      getItemLine(0),
      '',
      'no JSON',
      '{"custom_id":"x"}',
      getItemLine(0),
      getItemLine(1),
    ];
    const oversizeLine = JSON.stringify({ custom_id: 'big', body: 'x'.repeat(1_100_000) });
    const file = await upload([...lines, oversizeLine, getItemLine(2)].join('\r\n'));
    const job = await waitForEnd((await client.batches.create(getBatchBody(file))).id);
    const failed = await readLines(job.error_file_id);
    const succeeded = await readLines(job.output_file_id);

    expect(job.request_counts).toEqual({ total: 7, completed: 3, failed: 4 });
    expect(succeeded.map((result) => result.custom_id)).toEqual([
      'dossier-0',
      'dossier-1',
      'dossier-2',
    ]);
    expect(
      failed.map((result) => [result.custom_id, result.error?.code, result.error?.message]),
    ).toMatchSnapshot();
  });

  it('removes the stored parts of an upload that was interrupted or is too large', async () => {
    const objectsBefore = fleet.platform.objects.size;
    const boundary = 'cut-here';
    const head = `--${boundary}\r\ncontent-disposition: form-data; name="file"; filename="a"\r\n\r\n`;
    const url = new URL(`${fleet.entries[1]?.url}/v1/files`);
    const interrupted = httpRequest(url, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': `multipart/form-data; boundary=${boundary}`,
      },
    });
    interrupted.on('error', () => undefined);
    interrupted.write(`${head}${getItemLines(600).join('\n')}\n`);
    await waitFor('storage of the parts', () => fleet.platform.objects.size === objectsBefore + 2);
    interrupted.destroy();
    await waitFor('removal of the parts', () => fleet.platform.objects.size === objectsBefore);
    const smallFileSettings = {
      'limits.rate': '1000',
      'limits.burst': '1000',
      'files.max_size': '100KiB',
    };
    const smallFileKey = await fleet.createTeam('small', smallFileSettings);
    const smallFileClient = new OpenAI({
      apiKey: smallFileKey,
      baseURL: `${fleet.entries[1]?.url}/v1`,
      maxRetries: 0,
    });
    const tooLarge = await toFile(Buffer.from(getItemLines(3000).join('\n')), 'large.jsonl');

    await expect(
      smallFileClient.files.create({ purpose: 'batch', file: tooLarge }),
    ).rejects.toMatchObject({
      status: 413,
    });
    expect(fleet.platform.objects.size).toBe(objectsBefore);
  });

  it('refuses an empty file, keeps a file in use, and deletes results on request only', async () => {
    const empty = await upload('\n\n');
    await expect(client.batches.create(getBatchBody(empty))).rejects.toMatchObject({ status: 400 });
    const file = await upload(getItemLines(400, 40).join('\n'));
    const { id } = await client.batches.create(getBatchBody(file));
    await expect(client.files.delete(file)).rejects.toMatchObject({ status: 409 });
    const job = await waitForEnd(id);
    await client.files.delete(file);
    const page = await client.batches.list({ limit: 1 });
    const next = await client.batches.list({ limit: 1, after: page.data[0]?.id });

    expect(await readLines(job.output_file_id)).toHaveLength(400);
    expect(page.data.map((listed) => listed.id)).toEqual([id]);
    expect(next.data).toHaveLength(1);
    expect(next.data[0]?.id).not.toBe(id);
    await client.files.delete(job.output_file_id ?? '');
    await expect(client.files.content(job.output_file_id ?? '')).rejects.toMatchObject({
      status: 404,
    });
  });

  it('reports early that a job will miss its completion window', async () => {
    const lines = getItemLines(2000, 100);
    const file = await upload(lines.join('\n'));
    const created = await client.batches.create({
      ...getBatchBody(file),
      completion_window: '0h' as '24h',
    });
    const job = await waitFor('the first completed item', async () => {
      const read = await client.batches.retrieve(created.id);
      return (read.request_counts?.completed ?? 0) > 0 && read;
    });
    await client.batches.cancel(created.id);

    expect(job).toMatchObject({ status: 'in_progress', anvilpaddle: { late_expected: true } });
  });

  it('hands chunks over at a planned stop of a sidecar', async () => {
    const file = await upload(getItemLines(1000, 20).join('\n'));
    const requestsBefore = fleet.engines.map(({ requests: records }) => records.length);
    const { id } = await client.batches.create(getBatchBody(file));
    await waitFor('items at the engines', () =>
      fleet.engines.every(
        ({ requests: records }, index) => records.length > (requestsBefore[index] ?? 0) + 10,
      ),
    );
    const exitCode = await fleet.sidecars[0]?.process.stop();
    const job = await waitForEnd(id);
    await fleet.sidecars[0]?.restart();

    expect(exitCode).toBe(0);
    expect(job.request_counts).toEqual({ total: 1000, completed: 1000, failed: 0 });
    expect(await readLines(job.output_file_id)).toHaveLength(1000);
  });
});
