import { setTimeout as sleep } from 'node:timers/promises';
import { getRandomElement, newSeededRandom, type Random } from '@anvilpaddle/common';
import type { RunState } from '@anvilpaddle/protocol';
import { newPlainStandIn, type Fault, type PlainStandIn } from '@anvilpaddle/standins';
import {
  NO_NETWORK_FAULTS,
  newTestEntry,
  newTestSidecar,
  type TestEntry,
  type TestSidecar,
  type NetworkFaults,
} from './kit/attemptHarness';

const CASES = 600;
const AT_ONCE = 30;
const UPSTREAMS = 3;
const SLOTS = 3;
const MAX_ATTEMPTS = 3;
const MAX_LATE_MS = 40;
// Longer than any delay that a fault brings.
const SETTLED_MS = 500;
const FIRST_SECOND_MS = 1000;

const FAULTS = [
  'none',
  'none',
  'refuse',
  'fail',
  'reset_unread',
  'drop_before',
  'drop_after',
  'delay',
  'delay_after',
  'cut_answer',
  'cut_chunked',
  'cut_unframed',
] as const;
const ATTEMPT_WEATHERS = ['fair', 'fair', 'fair', 'duplicate', 'late', 'never', 'unheard'] as const;
const WORDS = ['fair', 'fair', 'lost', 'late'] as const;

/** One request with all that befalls it. */
interface Trial {
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly fault: (typeof FAULTS)[number];
  readonly faultTimes: number;
  readonly delayMs: number;
  readonly weather: NetworkFaults;
  readonly timeoutMs: number;
  /** When the caller goes away; never when missing. */
  readonly leaveMs: number | undefined;
}

/** What the caller was told. */
type Told =
  | { readonly kind: 'gone' }
  | { readonly kind: 'answer'; readonly body: { readonly path: string } }
  | { readonly kind: 'refusal'; readonly run: RunState; readonly retryAfter: string | null }
  | { readonly kind: 'upstream_error' };

const pick = <T>(items: readonly T[], random: Random): T => {
  const item = getRandomElement(items, random);
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
};

const newTrial = (index: number, random: Random): Trial => ({
  path: `/intake/${index}/`,
  method: random() < 0.6 ? 'POST' : 'GET',
  fault: pick(FAULTS, random),
  faultTimes: pick([1, MAX_ATTEMPTS], random),
  delayMs: random() * MAX_LATE_MS,
  weather: {
    attempt: pick(ATTEMPT_WEATHERS, random),
    delayMs: random() * MAX_LATE_MS,
    revocation: pick(WORDS, random),
    restart: random() < 0.03,
  },
  timeoutMs: random() < 0.2 ? 20 + random() * 40 : 5000,
  leaveMs: random() < 0.05 ? Math.ceil(random() * MAX_LATE_MS) : undefined,
});

const getTold = async (answer: Response): Promise<Told> => {
  const body = (await answer.json()) as { path: string; error?: { run?: RunState } | string };
  if (answer.status === 200) return { kind: 'answer', body };
  if (typeof body.error === 'string') return { kind: 'upstream_error' };
  const run = body.error?.run;
  if (run === undefined) throw new Error(`a refusal without a state: ${JSON.stringify(body)}`);
  return { kind: 'refusal', run, retryAfter: answer.headers.get('retry-after') };
};

const getFaults = (told: Told, runs: number, trial: Trial): string[] => {
  const rules: readonly (readonly [string, boolean])[] = [
    ['a call that is not idempotent ran twice', trial.method === 'POST' && runs > 1],
    ['more runs than attempts', runs > MAX_ATTEMPTS],
    ['an answer without a run', told.kind === 'answer' && runs === 0],
    ['another answer', told.kind === 'answer' && told.body.path !== trial.path],
    ['not_run, but it ran', told.kind === 'refusal' && told.run === 'not_run' && runs > 0],
    ['ran, but it did not', told.kind === 'refusal' && told.run === 'ran' && runs === 0],
    [
      'not_run without a time to come back',
      told.kind === 'refusal' && told.run === 'not_run' && told.retryAfter === null,
    ],
  ];
  return rules.filter(([, isBroken]) => isBroken).map(([rule]) => rule);
};

describe('refusals under faults of every kind', () => {
  let upstreams: PlainStandIn[];
  let sidecars: TestSidecar[];
  let entry: TestEntry;
  const trials = new Map<string, Trial>();

  const callOnce = async (trial: Trial): Promise<Told> => {
    const signal = trial.leaveMs === undefined ? null : AbortSignal.timeout(trial.leaveMs);
    const { path, method } = trial;
    try {
      return await getTold(await fetch(`${entry.url}${path}`, { method, signal }));
    } catch (fault) {
      if (signal?.aborted === true) return { kind: 'gone' };
      throw fault;
    }
  };

  const runTrial = async (trial: Trial): Promise<Told> => {
    trials.set(trial.path, trial);
    const { path, delayMs, faultTimes: times } = trial;
    if (trial.fault !== 'none') {
      const fault: Fault = { path, kind: trial.fault, times, delayMs };
      upstreams.forEach(({ faults }) => faults.add(fault));
    }
    return callOnce(trial);
  };

  const countRuns = (path: string): number =>
    upstreams.flatMap(({ calls }) => calls).filter((call) => call.path === path).length;

  beforeEach(async () => {
    trials.clear();
    upstreams = await Promise.all(
      Array.from({ length: UPSTREAMS }, () => newPlainStandIn({ host: '127.0.0.1', port: 0 })),
    );
    sidecars = await Promise.all(
      upstreams.map(({ url }, index) => newTestSidecar(`plain-${index}`, url, SLOTS)),
    );
  });

  const start = async (seed: number): Promise<void> => {
    entry = await newTestEntry(sidecars, {
      route: { kind: 'plain' },
      // The budget has a test of its own; here each retry is to be tried.
      getSettings: (path) => ({
        'request.timeout': `${trials.get(path)?.timeoutMs ?? 0}ms`,
        'retries.budget': '10',
      }),
      getNetworkFaults: (path) => trials.get(path)?.weather ?? NO_NETWORK_FAULTS,
      random: newSeededRandom(seed),
    });
  };

  afterEach(async () => {
    await Promise.all(sidecars.map((sidecar) => sidecar.close()));
    await Promise.all(upstreams.map((upstream) => upstream.close()));
  });

  it.each([1, 2, 3, 4, 5])(
    "each tells the truth by the upstreams' own record, and nothing runs twice that must not, seed %i",
    async (seed) => {
      await start(seed);
      const random = newSeededRandom(seed);
      const queue = Array.from({ length: CASES }, (_, index) => newTrial(index, random));
      const results: { trial: Trial; told: Told }[] = [];
      const work = async (): Promise<void> => {
        for (let trial = queue.pop(); trial !== undefined; trial = queue.pop()) {
          results.push({ trial, told: await runTrial(trial) });
        }
      };
      await Promise.all(Array.from({ length: AT_ONCE }, work));
      await entry.close();
      await sleep(SETTLED_MS);
      const broken = results.flatMap(({ trial, told }) => {
        const runs = countRuns(trial.path);
        const faults = getFaults(told, runs, trial);
        return faults.length === 0 ? [] : [{ faults, trial, told, runs }];
      });
      const seen = new Set(
        results.map(({ told }) => (told.kind === 'refusal' ? told.run : told.kind)),
      );

      expect(broken).toEqual([]);
      expect(results).toHaveLength(CASES);
      expect([...seen].sort()).toEqual(['answer', 'gone', 'not_run', 'unknown', 'upstream_error']);
    },
  );

  it('bring at most 1.1 attempts a request after the first second when all upstreams fail', async () => {
    entry = await newTestEntry(sidecars, {
      route: { kind: 'plain' },
      random: newSeededRandom(1),
    });
    upstreams.forEach(({ faults }) => faults.add({ path: '/', kind: 'fail' }));
    const countAll = (): number => upstreams.reduce((sum, { calls }) => sum + calls.length, 0);
    const sendMany = (count: number): Promise<unknown> =>
      Promise.all(Array.from({ length: count }, () => fetch(`${entry.url}/intake/all/`)));
    await sendMany(5);
    await sleep(FIRST_SECOND_MS / 2);
    await sendMany(5);
    await sleep(FIRST_SECOND_MS / 2);
    const before = countAll();
    for (let round = 0; round < 10; round += 1) await sendMany(20);
    await entry.close();

    expect((countAll() - before) / 200).toBeLessThanOrEqual(1.1);
    expect(countAll() - before).toBeGreaterThan(200);
  });
});
