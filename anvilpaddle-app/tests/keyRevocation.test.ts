/** Time until every entry refuses a revoked API key, also while the store or the network fails. */
import { createHash } from 'node:crypto';
import { newFleet, type Fleet, type FleetProcess } from './kit/fleet';
import { waitFor } from './kit/waitFor';

/** Maximum time until a revocation, or the loss of contact, takes effect at every entry. */
const MAX_EFFECT_MS = 5000;
const LONG_CHAT = JSON.stringify({
  model: 'small-chat',
  messages: [{ role: 'user', content: 'Why did I wake at three?' }],
  max_tokens: 2000,
  stream: true,
});
const QUICK_CHAT = JSON.stringify({ model: 'small-chat', messages: [], max_tokens: 1 });

const post = (entry: FleetProcess | undefined, key: string, body: string): Promise<Response> =>
  fetch(`${entry?.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body,
  });

/** Sends a short request; returns its error code, or its status if it has none. */
const getOutcome = async (entry: FleetProcess | undefined, key: string): Promise<string> => {
  const response = await post(entry, key, QUICK_CHAT);
  const body = (await response.json()) as { error?: { code: string } };
  return body.error?.code ?? String(response.status);
};

/** Streamed response that is being read. */
interface OpenStream {
  /** Resolves with the whole text and the time when the stream has ended. */
  readonly ended: Promise<{ readonly text: string; readonly atMs: number }>;
}

/** Opens a stream and waits for its first bytes. */
const openStream = async (entry: FleetProcess | undefined, key: string): Promise<OpenStream> => {
  const response = await post(entry, key, LONG_CHAT);
  const reader = response.body?.getReader();
  if (reader === undefined) throw new Error('the response has no body');
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
      // A lost connection also ends the stream.
    }
    return { text, atMs: performance.now() };
  };
  return { ended: read() };
};

/** Revokes an API key; returns the time at which the change was accepted. */
const revoke = async (fleet: Fleet, key: string): Promise<number> => {
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

const newSlowFleet = (hasProxies = false): Promise<Fleet> =>
  newFleet({
    entries: 3,
    engines: 1,
    plainUpstreams: 0,
    engine: { tokenMs: 20, slots: 16 },
    hasProxies,
  });

/** Makes the store refuse all requests, or only those from one host. */
const makeStoreUnreachable = (fleet: Fleet, from?: string): void =>
  fleet.platform.faults.add({ path: '/tables/', kind: 'refuse', ...(from && { from }) });

describe('a revoked API key', () => {
  let fleet: Fleet;
  let key: string;
  let otherKey: string;

  beforeEach(async () => {
    fleet = await newSlowFleet();
    key = await fleet.createTeam('acme');
    otherKey = await fleet.createTeam('blue');
  });

  afterEach(() => fleet.close());

  it('ends open streams and is refused on keep-alive connections at every entry when the store fails after the revocation', async () => {
    const streams = await Promise.all(fleet.entries.map((entry) => openStream(entry, key)));
    const otherStreams = await Promise.all(
      fleet.entries.map((entry) => openStream(entry, otherKey)),
    );
    const acceptedMs = await revoke(fleet, key);
    makeStoreUnreachable(fleet);
    const ends = await Promise.all(streams.map(({ ended }) => ended));
    const outcomes = await Promise.all(fleet.entries.map((entry) => getOutcome(entry, key)));

    ends.forEach(({ text, atMs }) => {
      expect(atMs - acceptedMs).toBeLessThan(MAX_EFFECT_MS);
      expect(text).toContain('"code":"invalid_key"');
      expect(text).not.toContain('[DONE]');
    });
    expect(outcomes).toEqual(['invalid_key', 'invalid_key', 'invalid_key']);
    // An outage that all entries share does not affect other keys.
    await new Promise((resolve) => {
      setTimeout(resolve, MAX_EFFECT_MS);
    });
    expect(await Promise.all(fleet.entries.map((entry) => getOutcome(entry, otherKey)))).toEqual([
      '200',
      '200',
      '200',
    ]);
    const stillOpen = await Promise.race([...otherStreams.map(({ ended }) => ended), 'open']);
    expect(stillOpen).toBe('open');
  });

  it('ends open streams at every entry when the store is slow after the revocation', async () => {
    const streams = await Promise.all(fleet.entries.map((entry) => openStream(entry, key)));
    const acceptedMs = await revoke(fleet, key);
    fleet.platform.faults.add({ path: '/tables/', kind: 'delay', delayMs: 2 * MAX_EFFECT_MS });
    const ends = await Promise.all(streams.map(({ ended }) => ended));
    const outcomes = await Promise.all(fleet.entries.map((entry) => getOutcome(entry, key)));

    ends.forEach(({ text, atMs }) => {
      expect(atMs - acceptedMs).toBeLessThan(MAX_EFFECT_MS);
      expect(text).toContain('"code":"invalid_key"');
    });
    expect(outcomes).toEqual(['invalid_key', 'invalid_key', 'invalid_key']);
  });

  it('stays revoked at an entry that is restarted during an outage', async () => {
    await revoke(fleet, key);
    // The VM list is unavailable too, so the entry knows only the processes that send it messages.
    fleet.platform.faults.add({ path: '/', kind: 'refuse' });
    const restarted = fleet.entries[1];
    await restarted?.process.kill();
    await restarted?.restart();
    await waitFor('ready', async () => (await fetch(`${restarted?.url}/ready`)).ok);

    expect(await getOutcome(restarted, key)).toBe('invalid_key');
    await waitFor(
      'acceptance of the other key',
      async () => (await getOutcome(restarted, otherKey)) === '200',
    );
  });
});

describe('an entry cut off from the store and its peers', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await newSlowFleet(true);
  });

  afterAll(() => fleet.close());

  it('refuses all keys, and accepts them again once it is reconnected', async () => {
    const key = await fleet.createTeam('acme');
    const isolatedEntry = fleet.entries[2];
    const stream = await openStream(isolatedEntry, key);
    const isolatedMs = performance.now();
    makeStoreUnreachable(fleet, isolatedEntry?.host);
    fleet.entries.forEach(({ proxy }) => proxy?.disconnect(isolatedEntry?.host));
    isolatedEntry?.proxy?.disconnect();
    const { text, atMs } = await stream.ended;

    expect(atMs - isolatedMs).toBeLessThan(MAX_EFFECT_MS);
    expect(text).toContain('"code":"keys_unconfirmed"');
    expect(await getOutcome(isolatedEntry, key)).toBe('keys_unconfirmed');
    expect((await fetch(`${isolatedEntry?.url}/ready`)).status).toBe(503);
    expect(await getOutcome(fleet.entries[0], key)).toBe('200');

    fleet.platform.faults.clear();
    await waitFor(
      'acceptance of the key after the reconnection',
      async () => (await getOutcome(isolatedEntry, key)) === '200',
    );
  });
});
