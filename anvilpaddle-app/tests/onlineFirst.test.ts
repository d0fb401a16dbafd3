/** Priority of online requests over batch items, and early refusals under overload. */
import OpenAI, { toFile } from 'openai';
import { newFleet, type Fleet } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const SLOTS = 2;
const ITEM_COUNT = 6;
const ITEM_TOKENS = 60;
const OVERLOAD_REQUESTS = 60;
const QUESTION = [{ role: 'user' as const, content: 'Is the household eligible?' }];

describe('online requests and batch items at one engine', () => {
  let fleet: Fleet;
  let client: OpenAI;

  beforeAll(async () => {
    fleet = await newFleet({
      entries: 1,
      engines: 1,
      plainUpstreams: 0,
      engine: { slots: SLOTS, prefillMs: 5, tokenMs: 20 },
    });
    const key = await fleet.createTeam('association');
    client = new OpenAI({ apiKey: key, baseURL: `${fleet.entries[0]?.url}/v1`, maxRetries: 0 });
  });

  afterAll(() => fleet.close());

  const getRequestStates = (): string[] =>
    fleet.engines[0]?.requests.map(({ state }) => state) ?? [];
  const ask = (tokens: number) =>
    client.chat.completions.create({ model: 'small-chat', messages: QUESTION, max_tokens: tokens });

  it('preempts a batch item for an online request when batch items hold every slot, and loses no item', async () => {
    const items = Array.from({ length: ITEM_COUNT }, (_, index) => ({
      custom_id: `dossier-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: { model: 'small-chat', messages: QUESTION, max_tokens: ITEM_TOKENS },
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
    await waitFor('batch items in every slot', () => getRequestStates().length === SLOTS);

    await ask(2);

    expect(
      getRequestStates()
        .slice(0, SLOTS + 1)
        .sort(),
    ).toEqual(['cancelled', 'finished', 'running']);
    const job = await waitFor('completion of the job', async () => {
      const read = await client.batches.retrieve(id);
      return read.status === 'completed' && read;
    });
    expect(job.request_counts).toEqual({ total: ITEM_COUNT, completed: ITEM_COUNT, failed: 0 });
  });

  it('refuses requests early under overload, and none of these reaches the engine', async () => {
    const key = await fleet.createTeam('hasty', { 'scheduling.max_wait': '200ms' });
    const shortWaitClient = new OpenAI({ apiKey: key, baseURL: client.baseURL, maxRetries: 0 });
    const askWithShortWait = () =>
      shortWaitClient.chat.completions.create({
        model: 'small-chat',
        messages: QUESTION,
        max_tokens: 4,
      });
    for (let index = 0; index < 4; index += 1) await askWithShortWait();
    const requestsBefore = getRequestStates().length;

    const outcomes = await Promise.allSettled(
      Array.from({ length: OVERLOAD_REQUESTS }, askWithShortWait),
    );

    const answeredCount = outcomes.filter(({ status }) => status === 'fulfilled').length;
    const refusals = outcomes.flatMap((outcome) =>
      outcome.status === 'rejected' ? [outcome.reason as InstanceType<typeof OpenAI.APIError>] : [],
    );
    expect(answeredCount).toBeGreaterThan(0);
    expect(refusals.length).toBeGreaterThan(0);
    expect(getRequestStates().length - requestsBefore).toBe(answeredCount);
    expect(refusals.map((error) => error.headers?.get('retry-after'))).not.toContain(null);
    expect([...new Set(refusals.map(({ code, status }) => `${status} ${code}`))]).toMatchSnapshot();
  });
});
