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

const CASE_COUNT = 600;
const CONCURRENCY = 30;
const UPSTREAMS = 3;
const SLOTS = 3;
const MAX_ATTEMPTS = 3;
const MAX_DELAY_MS = 40;
// Longer than any delay that a fault causes.
const SETTLE_WAIT_MS = 500;
const FIRST_SECOND_MS = 1000;

const UPSTREAM_FAULTS = [
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
  'reset_unframed',
] as const;
const ATTEMPT_FAULTS = ['fair', 'fair', 'fair', 'duplicate', 'late', 'never', 'unheard'] as const;
const REVOCATION_FAULTS = ['fair', 'fair', 'lost', 'late'] as const;

/** One request with the faults that are injected into it. */
interface TestCase {
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly fault: (typeof UPSTREAM_FAULTS)[number];
  readonly faultTimes: number;
  readonly delayMs: number;
  readonly networkFaults: NetworkFaults;
  readonly timeoutMs: number;
  /** When the caller closes the connection; never if undefined. */
  readonly abortMs: number | undefined;
}

/** Result that the caller received. */
type CallerResult =
  | { readonly kind: 'gone' }
  | { readonly kind: 'answer'; readonly body: { readonly path: string } }
  | { readonly kind: 'refusal'; readonly run: RunState; readonly retryAfter: string | null }
  | { readonly kind: 'upstream_error' };

const pick = <T>(items: readonly T[], random: Random): T => {
  const item = getRandomElement(items, random);
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
};

const newTestCase = (index: number, random: Random): TestCase => ({
  path: `/intake/${index}/`,
  method: random() < 0.6 ? 'POST' : 'GET',
  fault: pick(UPSTREAM_FAULTS, random),
  faultTimes: pick([1, MAX_ATTEMPTS], random),
  delayMs: random() * MAX_DELAY_MS,
  networkFaults: {
    attempt: pick(ATTEMPT_FAULTS, random),
    delayMs: random() * MAX_DELAY_MS,
    revocation: pick(REVOCATION_FAULTS, random),
    restart: random() < 0.03,
  },
  timeoutMs: random() < 0.2 ? 20 + random() * 40 : 5000,
  abortMs: random() < 0.05 ? Math.ceil(random() * MAX_DELAY_MS) : undefined,
});

const readResult = async (response: Response): Promise<CallerResult> => {
  const body = (await response.json()) as { path: string; error?: { run?: RunState } | string };
  if (response.status === 200) return { kind: 'answer', body };
  if (typeof body.error === 'string') return { kind: 'upstream_error' };
  const run = body.error?.run;
  if (run === undefined) throw new Error(`a refusal without a run state: ${JSON.stringify(body)}`);
  return { kind: 'refusal', run, retryAfter: response.headers.get('retry-after') };
};

const getBrokenRules = (result: CallerResult, runs: number, testCase: TestCase): string[] => {
  const rules: readonly (readonly [string, boolean])[] = [
    ['a call that is not idempotent ran twice', testCase.method === 'POST' && runs > 1],
    ['more runs than attempts', runs > MAX_ATTEMPTS],
    ['an answer, but nothing ran', result.kind === 'answer' && runs === 0],
    [
      'the answer to another request',
      result.kind === 'answer' && result.body.path !== testCase.path,
    ],
    ['not_run, but it ran', result.kind === 'refusal' && result.run === 'not_run' && runs > 0],
    ['ran, but it did not', result.kind === 'refusal' && result.run === 'ran' && runs === 0],
    [
      'not_run without a retry-after',
      result.kind === 'refusal' && result.run === 'not_run' && result.retryAfter === null,
    ],
  ];
  return rules.filter(([, isBroken]) => isBroken).map(([rule]) => rule);
};

describe('refusals under injected faults', () => {
  let upstreams: PlainStandIn[];
  let sidecars: TestSidecar[];
  let entry: TestEntry;
  const testCases = new Map<string, TestCase>();

  const sendRequest = async (testCase: TestCase): Promise<CallerResult> => {
    const signal = testCase.abortMs === undefined ? null : AbortSignal.timeout(testCase.abortMs);
    const { path, method } = testCase;
    try {
      return await readResult(await fetch(`${entry.url}${path}`, { method, signal }));
    } catch (error) {
      if (signal?.aborted === true) return { kind: 'gone' };
      throw error;
    }
  };

  const runTestCase = async (testCase: TestCase): Promise<CallerResult> => {
    testCases.set(testCase.path, testCase);
    const { path, delayMs, faultTimes: times } = testCase;
    if (testCase.fault !== 'none') {
      const fault: Fault = { path, kind: testCase.fault, times, delayMs };
      upstreams.forEach(({ faults }) => faults.add(fault));
    }
    return sendRequest(testCase);
  };

  const countRuns = (path: string): number =>
    upstreams.flatMap(({ calls }) => calls).filter((call) => call.path === path).length;

  beforeEach(async () => {
    testCases.clear();
    upstreams = await Promise.all(
      Array.from({ length: UPSTREAMS }, () => newPlainStandIn({ host: '127.0.0.1', port: 0 })),
    );
    sidecars = await Promise.all(
      upstreams.map(({ url }, index) => newTestSidecar(`plain-${index}`, url, SLOTS)),
    );
  });

  const startEntry = async (seed: number): Promise<void> => {
    entry = await newTestEntry(sidecars, {
      route: { kind: 'plain' },
      // A budget that allows every retry; the retry budget has its own test.
      getSettings: (path) => ({
        'request.timeout': `${testCases.get(path)?.timeoutMs ?? 0}ms`,
        'retries.budget': '10',
      }),
      getNetworkFaults: (path) => testCases.get(path)?.networkFaults ?? NO_NETWORK_FAULTS,
      random: newSeededRandom(seed),
    });
  };

  afterEach(async () => {
    await Promise.all(sidecars.map((sidecar) => sidecar.close()));
    await Promise.all(upstreams.map((upstream) => upstream.close()));
  });

  it.each([1, 2, 3, 4, 5])(
    'report the run state that the upstreams recorded, and no request runs twice that must not, seed %i',
    async (seed) => {
      await startEntry(seed);
      const random = newSeededRandom(seed);
      const queue = Array.from({ length: CASE_COUNT }, (_, index) => newTestCase(index, random));
      const results: { testCase: TestCase; result: CallerResult }[] = [];
      const runQueue = async (): Promise<void> => {
        for (let testCase = queue.pop(); testCase !== undefined; testCase = queue.pop()) {
          results.push({ testCase, result: await runTestCase(testCase) });
        }
      };
      await Promise.all(Array.from({ length: CONCURRENCY }, runQueue));
      await entry.close();
      await sleep(SETTLE_WAIT_MS);
      const violations = results.flatMap(({ testCase, result }) => {
        const runs = countRuns(testCase.path);
        const brokenRules = getBrokenRules(result, runs, testCase);
        return brokenRules.length === 0 ? [] : [{ brokenRules, testCase, result, runs }];
      });
      const resultKinds = new Set(
        results.map(({ result }) => (result.kind === 'refusal' ? result.run : result.kind)),
      );

      expect(violations).toEqual([]);
      expect(results).toHaveLength(CASE_COUNT);
      expect([...resultKinds].sort()).toEqual([
        'answer',
        'gone',
        'not_run',
        'unknown',
        'upstream_error',
      ]);
    },
  );

  it('cause at most 1.1 attempts per request after the first second when all upstreams fail', async () => {
    entry = await newTestEntry(sidecars, {
      route: { kind: 'plain' },
      random: newSeededRandom(1),
    });
    upstreams.forEach(({ faults }) => faults.add({ path: '/', kind: 'fail' }));
    const countCalls = (): number => upstreams.reduce((sum, { calls }) => sum + calls.length, 0);
    const sendRequests = (count: number): Promise<unknown> =>
      Promise.all(Array.from({ length: count }, () => fetch(`${entry.url}/intake/all/`)));
    await sendRequests(5);
    await sleep(FIRST_SECOND_MS / 2);
    await sendRequests(5);
    await sleep(FIRST_SECOND_MS / 2);
    const callsBefore = countCalls();
    for (let round = 0; round < 10; round += 1) await sendRequests(20);
    await entry.close();

    expect((countCalls() - callsBefore) / 200).toBeLessThanOrEqual(1.1);
    expect(countCalls() - callsBefore).toBeGreaterThan(200);
  });
});
