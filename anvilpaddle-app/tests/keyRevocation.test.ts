import { createHash } from 'node:crypto';
import { newFleet, type Fleet, type FleetProcess } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const PROMISE_MS = 5000;
const CHAT = JSON.stringify({
  model: 'small-chat',
  messages: [{ role: 'user', content: 'Why did I wake at three?' }],
  max_tokens: 2000,
  stream: true,
});
const QUICK_CHAT = JSON.stringify({ model: 'small-chat', messages: [], max_tokens: 1 });

const post = (node: FleetProcess | undefined, key: string, body: string): Promise<Response> =>
  fetch(`${node?.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body,
  });

/** Status of a short request, and its error code when it has one. */
const getOutcome = async (node: FleetProcess | undefined, key: string): Promise<string> => {
  const answer = await post(node, key, QUICK_CHAT);
  const body = (await answer.json()) as { error?: { code: string } };
  return body.error?.code ?? String(answer.status);
};

interface OpenStream {
  readonly ended: Promise<{ readonly text: string; readonly atMs: number }>;
}

/** Opens a stream and waits for its first bytes. */
const openStream = async (node: FleetProcess | undefined, key: string): Promise<OpenStream> => {
  const answer = await post(node, key, CHAT);
  const reader = answer.body?.getReader();
  if (reader === undefined) throw new Error('no body');
  const decoder = new TextDecoder();
  let text = decoder.decode((await reader.read()).value);
  const read = async (): Promise<{ text: string; atMs: number }> => {
    try {
      for (;;) {
        const { done, value } = await reader.read();
        if (done) break;
        text += decoder.decode(value, { stream: true });
      }
    } catch {
      // A cut connection ends the stream too.
    }
    return { text, atMs: performance.now() };
  };
  return { ended: read() };
};

const withdraw = async (fleet: Fleet, key: string): Promise<number> => {
  const hash = createHash('sha256').update(key).digest('hex');
  const listed = await fleet.operator.get('/entries/key');
  if (!listed.ok) throw new Error(listed.error.message);
  const { entries } = listed.value as {
    entries: { id: string; revision: number; value: { hash: string } }[];
  };
  const entry = entries.find(({ value }) => value.hash === hash);
  await fleet.change('key', entry?.id ?? '', null, entry?.revision);
  return performance.now();
};

const newSlowFleet = (links = false): Promise<Fleet> =>
  newFleet({
    entries: 3,
    engines: 1,
    plainUpstreams: 0,
    engine: { tokenMs: 20, slots: 16 },
    hasProxies: links,
  });

const refuseStore = (fleet: Fleet, from?: string): void =>
  fleet.platform.faults.add({ path: '/tables/', kind: 'refuse', ...(from && { from }) });

describe('a withdrawn key', () => {
  let fleet: Fleet;
  let key: string;
  let other: string;

  beforeEach(async () => {
    fleet = await newSlowFleet();
    key = await fleet.createTeam('acme');
    other = await fleet.createTeam('blue');
  });

  afterEach(() => fleet.close());

  it('ends open streams and kept-alive connections everywhere, with the store down after it', async () => {
    const streams = await Promise.all(fleet.entries.map((entry) => openStream(entry, key)));
    const kept = await Promise.all(fleet.entries.map((entry) => openStream(entry, other)));
    const acceptedMs = await withdraw(fleet, key);
    refuseStore(fleet);
    const ends = await Promise.all(streams.map(({ ended }) => ended));
    const outcomes = await Promise.all(fleet.entries.map((entry) => getOutcome(entry, key)));

    ends.forEach(({ text, atMs }) => {
      expect(atMs - acceptedMs).toBeLessThan(PROMISE_MS);
      expect(text).toContain('"code":"invalid_key"');
      expect(text).not.toContain('[DONE]');
    });
    expect(outcomes).toEqual(['invalid_key', 'invalid_key', 'invalid_key']);
    // The common outage stops nobody else.
    await new Promise((resolve) => {
      setTimeout(resolve, PROMISE_MS);
    });
    expect(await Promise.all(fleet.entries.map((entry) => getOutcome(entry, other)))).toEqual([
      '200',
      '200',
      '200',
    ]);
    const stillOpen = await Promise.race([...kept.map(({ ended }) => ended), 'open']);
    expect(stillOpen).toBe('open');
  });

  it('ends open streams everywhere while the store is slow after it', async () => {
    const streams = await Promise.all(fleet.entries.map((entry) => openStream(entry, key)));
    const acceptedMs = await withdraw(fleet, key);
    fleet.platform.faults.add({ path: '/tables/', kind: 'delay', delayMs: 2 * PROMISE_MS });
    const ends = await Promise.all(streams.map(({ ended }) => ended));
    const outcomes = await Promise.all(fleet.entries.map((entry) => getOutcome(entry, key)));

    ends.forEach(({ text, atMs }) => {
      expect(atMs - acceptedMs).toBeLessThan(PROMISE_MS);
      expect(text).toContain('"code":"invalid_key"');
    });
    expect(outcomes).toEqual(['invalid_key', 'invalid_key', 'invalid_key']);
  });

  it('stays withdrawn on an entry that is restarted during an outage', async () => {
    await withdraw(fleet, key);
    // The list of VMs is down too: the entry knows only who speaks to it.
    fleet.platform.faults.add({ path: '/', kind: 'refuse' });
    const restarted = fleet.entries[1];
    await restarted?.process.kill();
    await restarted?.restart();
    await waitFor('ready', async () => (await fetch(`${restarted?.url}/ready`)).ok);

    expect(await getOutcome(restarted, key)).toBe('invalid_key');
    await waitFor('honoured', async () => (await getOutcome(restarted, other)) === '200');
  });
});

describe('an entry that alone is cut off', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await newSlowFleet(true);
  });

  afterAll(() => fleet.close());

  it('stops honouring keys, and honours them again when it is back', async () => {
    const key = await fleet.createTeam('acme');
    const lone = fleet.entries[2];
    const stream = await openStream(lone, key);
    const cutMs = performance.now();
    refuseStore(fleet, lone?.host);
    fleet.entries.forEach(({ proxy: link }) => link?.cut(lone?.host));
    lone?.proxy?.cut();
    const { text, atMs } = await stream.ended;

    expect(atMs - cutMs).toBeLessThan(PROMISE_MS);
    expect(text).toContain('"code":"keys_unconfirmed"');
    expect(await getOutcome(lone, key)).toBe('keys_unconfirmed');
    expect((await fetch(`${lone?.url}/ready`)).status).toBe(503);
    expect(await getOutcome(fleet.entries[0], key)).toBe('200');

    fleet.platform.faults.clear();
    await waitFor('honoured again', async () => (await getOutcome(lone, key)) === '200');
  });
});
