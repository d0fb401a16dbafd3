import fc from 'fast-check';
import { newSeededRandom } from '@anvilpaddle/common';
import {
  CHUNK_STATE,
  getForecast,
  getJobCounts,
  getJobOrder,
  getLeaseMs,
  getRenewalMs,
  getTakeover,
  isJobDone,
  JOB_STATE,
  newLeaseWatch,
  newLineSplitter,
  newMissingModels,
  parseItem,
  type Chunk,
  type ItemRules,
  type Job,
  type OpenJob,
} from '..';

const SEED = 4100;

const newChunk = (more: Partial<Chunk> = {}): Chunk => ({
  job: 'batch_1',
  index: 0,
  piece: '',
  state: CHUNK_STATE.claimed,
  owner: 'inc_1',
  epoch: 1,
  writes: 0,
  leaseMs: 10_000,
  lost: 0,
  isRunning: false,
  items: 256,
  from: 0,
  input: 'files/1/000000',
  models: [],
  started: [],
  failed: 0,
  ...more,
});

const newJob = (more: Partial<Job> = {}): Job => ({
  id: 'batch_1',
  team: 'association',
  state: JOB_STATE.inProgress,
  file: 'file_1',
  endpoint: '/v1/chat/completions',
  route: 'chat',
  group: 'llm',
  revision: 1,
  chunks: 2,
  items: 100,
  createdAt: 0,
  dueAt: 1000,
  ...more,
});

describe('lines of an input file', () => {
  const getNaiveLines = (content: string): string[] =>
    content
      .split('\n')
      .map((line) => line.trim())
      .filter((line) => line !== '');

  const split = (content: Buffer, cuts: readonly number[], maxBytes: number): string[] => {
    const splitter = newLineSplitter(maxBytes);
    const places = [0, ...[...cuts].sort((a, b) => a - b), content.length];
    const lines = places
      .slice(1)
      .flatMap((end, index) =>
        splitter.push(content.subarray(Math.min(places[index] ?? 0, end), end)),
      );
    return [...lines, ...splitter.end()];
  };

  it('are those of the whole text, however the bytes are split into chunks', () => {
    const piece = fc.constantFrom('{"a":1}', 'ñandú', '日本', '😀', '\n', '\r\n', '', ' ', '\n\n');
    fc.assert(
      fc.property(fc.array(piece, { maxLength: 40 }), fc.array(fc.nat(200)), (pieces, cuts) => {
        const content = Buffer.from(pieces.join(''));
        const inside = cuts.map((cut) => cut % (content.length + 1));
        expect(split(content, inside, 1000)).toEqual(getNaiveLines(pieces.join('')));
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('over the limit become placeholders that keep their position and custom id', () => {
    const long = `{"custom_id":"a","body":"${'x'.repeat(5000)}"}`;
    fc.assert(
      fc.property(fc.array(fc.nat(5100), { maxLength: 8 }), (cuts) => {
        const lines = split(Buffer.from(`{"b":1}\n${long}\n{"c":1}`), cuts, 100);
        expect(lines).toEqual([
          '{"b":1}',
          `{"custom_id":"a","oversize_bytes":${long.length}}`,
          '{"c":1}',
        ]);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });
});

describe('an item', () => {
  const rules: ItemRules = {
    endpoint: '/v1/chat/completions',
    routeName: 'chat',
    route: {
      kind: 'model',
      path: '/v1/chat/completions',
      access: 'keyed',
      group: 'llm',
      idempotentMethods: ['GET'],
    },
    team: { models: ['small-chat'] },
  };
  const good = {
    custom_id: 'a',
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: 'small-chat', max_tokens: 5 },
  };
  const change = (more: object): string => JSON.stringify({ ...good, ...more });

  it.each([
    ['text', 'no JSON', 'invalid_request', ''],
    ['a list', '[]', 'invalid_request', ''],
    ['null', 'null', 'invalid_request', ''],
    ['no custom id', change({ custom_id: undefined }), 'invalid_request', 'custom_id'],
    ['a custom id that is a number', change({ custom_id: 7 }), 'invalid_request', 'custom_id'],
    ['another endpoint', change({ url: '/v1/completions' }), 'invalid_request', 'url'],
    ['another method', change({ method: 'GET' }), 'invalid_request', 'method'],
    ['no model', change({ body: {} }), 'invalid_request', 'body.model'],
    [
      'a stream',
      change({ body: { ...good.body, stream: true } }),
      'invalid_request',
      'body.stream',
    ],
    [
      'a model that the team may not use',
      change({ body: { model: 'big' } }),
      'forbidden',
      'body.model',
    ],
    ['an oversize placeholder', '{"custom_id":"a","oversize_bytes":9}', 'too_large', undefined],
  ])('with %s ends with an error', (_what, line, code, param) => {
    const parsed = parseItem(line, rules);

    expect(parsed.ok).toBe(false);
    expect(!parsed.ok && [parsed.error.error.code, parsed.error.error.param]).toEqual([
      code,
      param,
    ]);
  });

  it.each([
    ['/forms/1', true],
    ['/forms/', true],
    ['/forms/../v1/chat/completions', false],
    ['/form', false],
    ['/v1/chat/completions', false],
  ])('on a route with a prefix may have the url %s: %s', (url, isAllowed) => {
    const plain = { ...rules.route, kind: 'plain' as const, path: '/forms/' };
    const forms = { ...rules, endpoint: '/forms/', route: plain } as ItemRules;
    const post = parseItem(change({ url, body: 1 }), forms);
    const get = parseItem(change({ url, method: 'GET' }), forms);

    expect(post.ok).toBe(isAllowed);
    expect(post.ok && post.value.isRepeatable).toBe(false);
    expect(get.ok && get.value.isRepeatable).toBe(isAllowed);
  });

  it('ends with an error if the team, its permission or the route was removed', () => {
    expect(parseItem(change({}), { ...rules, team: undefined }).ok).toBe(false);
    expect(parseItem(change({}), { ...rules, team: { routes: ['other'] } }).ok).toBe(false);
    expect(parseItem(change({}), { ...rules, route: undefined }).ok).toBe(false);
    expect(parseItem(change({}), rules).ok).toBe(true);
  });
});

describe('the takeover of a chunk', () => {
  it('isolates an item that crashes its worker after few losses, and covers each line once', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 256 }), fc.nat(255), (items, place) => {
        const crashingItem = place % items;
        let pending = [newChunk({ items })];
        const covered: number[] = [];
        let losses = 0;
        let isGivenUp = false;
        while (pending.length > 0) {
          const chunk = pending.pop() as Chunk;
          const hasCrashingItem =
            crashingItem >= chunk.from && crashingItem < chunk.from + chunk.items;
          if (!hasCrashingItem) {
            covered.push(...Array.from({ length: chunk.items }, (_, item) => chunk.from + item));
            continue;
          }
          losses += 1;
          const takeover = getTakeover({ ...chunk, isRunning: true }, 3);
          if (takeover.kind === 'claim') pending.push(takeover.chunk);
          if (takeover.kind === 'split') pending = [...pending, ...takeover.pieces];
          if (takeover.kind === 'give_up') {
            covered.push(chunk.from);
            isGivenUp = true;
          }
        }
        expect(isGivenUp).toBe(true);
        expect(losses).toBeLessThanOrEqual(6);
        expect(covered.sort((a, b) => a - b)).toEqual(Array.from({ length: items }, (_, i) => i));
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('counts the loss of an owner against a suspect item only if that was running', () => {
    const getLosses = (more: Partial<Chunk>): unknown => {
      const takeover = getTakeover(newChunk({ items: 1, ...more }), 3);
      return takeover.kind === 'split' ? takeover.kind : [takeover.kind, takeover.chunk.lost];
    };

    expect(getLosses({ lost: 0 })).toEqual(['claim', 1]);
    expect(getLosses({ lost: 2 })).toEqual(['claim', 2]);
    expect(getLosses({ lost: 2, isRunning: true })).toEqual(['give_up', 3]);
  });

  it('moves the indexes of started items to their pieces', () => {
    const takeover = getTakeover(newChunk({ lost: 1, started: [0, 17, 255] }), 3);
    const pieces = takeover.kind === 'split' ? takeover.pieces : [];

    expect(pieces.flatMap(({ from, started }) => started.map((item) => from + item))).toEqual([
      0, 17, 255,
    ]);
  });
});

describe('the lease watch', () => {
  const LEASE_MS = 1000;

  it.each([
    ['unchanged for the lease and a margin', [0, 400, 800, 1250], [7, 7, 7, 7], true],
    ['unchanged for less than that', [0, 400, 800, 1200], [7, 7, 7, 7], false],
    ['renewed in between', [0, 400, 800, 1250, 1600], [7, 7, 8, 8, 8], false],
    ['not read during an outage', [0, 60_000], [7, 7], false],
    ['read again after an outage', [0, 60_000, 60_500, 61_000], [7, 7, 7, 7], true],
  ])('detects the expiry of the lease of a row %s', (_what, times, revisions, expected) => {
    const watch = newLeaseWatch();
    const results = times.map((nowMs, index) =>
      watch.observe('a', revisions[index] ?? 0, LEASE_MS, nowMs),
    );

    expect(results.at(-1)).toBe(expected);
  });

  it('limits the renewals of 10,000 sidecars to 100 writes per second', () => {
    expect((10_000 * 1000) / getRenewalMs(getLeaseMs(10_000, 10_000))).toBeLessThanOrEqual(100);
    expect(getLeaseMs(10_000, 6)).toBe(10_000);
  });
});

describe('the order of jobs', () => {
  const HOUR_MS = 3_600_000;
  const CHUNK = 100;

  /** Runs the jobs chunk by chunk at a constant rate; returns the end time of each job in ms. */
  const simulate = (jobs: readonly OpenJob[], perSecond: number, seed: number) => {
    const random = newSeededRandom(seed);
    const left = new Map(jobs.map((job) => [job.id, job.remaining]));
    const ends = new Map<string, number>();
    for (let nowMs = 0; ends.size < jobs.length; nowMs += (CHUNK / perSecond) * 1000) {
      const open = jobs
        .filter(({ id }) => !ends.has(id))
        .map((job) => ({ ...job, remaining: left.get(job.id) ?? 0 }));
      const [next] = getJobOrder(open, perSecond, nowMs, random);
      if (next === undefined) break;
      left.set(next.id, (left.get(next.id) ?? 0) - CHUNK);
      if ((left.get(next.id) ?? 0) <= 0) ends.set(next.id, nowMs + (CHUNK / perSecond) * 1000);
    }
    return ends;
  };

  const newOpenJob = (id: string, remaining: number, dueAt: number, team = id): OpenJob => ({
    id,
    team,
    weight: 1,
    dueAt,
    remaining,
  });

  it('finishes each job in time whenever the work fits', () => {
    const jobShape = fc.record({ chunks: fc.integer({ min: 1, max: 60 }), slack: fc.nat(40) });
    fc.assert(
      fc.property(
        fc.array(jobShape, { minLength: 1, maxLength: 12 }),
        fc.nat(1000),
        (shapes, seed) => {
          const perSecond = 10;
          let busyMs = 0;
          // Each job is due at least one chunk after the work of all jobs up to it.
          const jobs = shapes.map(({ chunks, slack }, index) => {
            busyMs += ((chunks + slack + 1) * CHUNK * 1000) / perSecond;
            return newOpenJob(`job-${index}`, chunks * CHUNK, busyMs);
          });
          const ends = simulate(jobs, perSecond, seed);
          jobs.forEach(({ id, dueAt }) => expect(ends.get(id)).toBeLessThanOrEqual(dueAt));
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('does not let a large job hold up a small one while there is time', () => {
    const large = newOpenJob('large', 890_000, 20 * HOUR_MS);
    const small = newOpenJob('small', CHUNK, 24 * HOUR_MS);
    const perSecond = 100;
    const ends = [1, 2, 3, 4, 5].map(
      (seed) => simulate([large, small], perSecond, seed).get('small') ?? Infinity,
    );

    // The large job alone takes two and a half hours; the small one is done within a tenth.
    expect(Math.max(...ends)).toBeLessThan(HOUR_MS / 4);
  });
});

describe('the progress of a job', () => {
  const done = { state: CHUNK_STATE.done, items: 50 } as const;

  it('counts the items and is complete only when each item has a result', () => {
    const chunks = [newChunk({ ...done, failed: 3 }), newChunk({ items: 50 })];

    expect(getJobCounts(newJob(), chunks)).toEqual({ total: 100, completed: 47, failed: 3 });
    expect(isJobDone(newJob(), chunks)).toBe(false);
    expect(isJobDone(newJob(), [newChunk(done)])).toBe(false);
    expect(isJobDone(newJob(), [newChunk(done), newChunk(done)])).toBe(true);
  });

  it.each([
    ['on time', 50, 400, 800, false],
    ['too slow', 10, 400, 4000, true],
    ['no item has finished early on', 0, 400, undefined, false],
    ['no item has finished in the second half', 0, 600, undefined, true],
  ])('is forecast when %s', (_what, completed, nowMs, finishAt, isLate) => {
    const counts = { total: 100, completed, failed: 0 };

    expect(getForecast(newJob(), counts, nowMs)).toEqual({ finishAt, isLate });
  });
});

describe('a missing model', () => {
  it('is reported only after it was not served for the whole time', () => {
    let isServed = false;
    const missing = newMissingModels(() => isServed);

    expect(missing.isMissingFor('m', 1000, 0)).toBe(false);
    isServed = true;
    missing.refresh();
    isServed = false;
    expect(missing.isMissingFor('m', 1000, 900)).toBe(false);
    expect(missing.isMissingFor('m', 1000, 1800)).toBe(false);
    expect(missing.isMissingFor('m', 1000, 1900)).toBe(true);
  });
});
