/** Retry decisions, and the bounds that the retry budget keeps. */
import fc from 'fast-check';
import { newSeededRandom } from '@anvilpaddle/common';
import {
  getCombinedRunState,
  isRetryable,
  newRetryBudget,
  type AttemptOutcome,
  type RetryState,
} from '@anvilpaddle/decisions';

const OUTCOME: AttemptOutcome = { run: 'unknown', answered: false };
const STATE: RetryState = { idempotent: true, attempts: 1, maxAttempts: 3, timeLeftMs: 1000 };
const RUNS = ['not_run', 'unknown', 'ran'] as const;

describe('retry policy', () => {
  it.each([
    ['retries an idempotent request with unknown outcome', {}, {}, true],
    ['retries an idempotent request that ran', { run: 'ran' }, {}, true],
    [
      'retries a non-idempotent request that did not run',
      { run: 'not_run' },
      { idempotent: false },
      true,
    ],
    [
      'does not retry a non-idempotent request with unknown outcome',
      {},
      { idempotent: false },
      false,
    ],
    [
      'does not retry a non-idempotent request that ran',
      { run: 'ran' },
      { idempotent: false },
      false,
    ],
    ['does not retry after the first byte of the response', { answered: true }, {}, false],
    ['does not retry after the last attempt', {}, { attempts: 3 }, false],
    ['does not retry after the deadline', {}, { timeLeftMs: 0 }, false],
  ] as const)('%s', (_case, outcome, state, expected) => {
    expect(isRetryable({ ...OUTCOME, ...outcome }, { ...STATE, ...state })).toBe(expected);
  });

  it('combines the run states of all attempts of a request', () => {
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...RUNS), { minLength: 1 }), (runs) => {
        const combined = runs.reduce(getCombinedRunState);
        expect(combined === 'not_run').toBe(runs.every((run) => run === 'not_run'));
        expect(combined === 'ran').toBe(runs.includes('ran'));
      }),
      { seed: 20_263 },
    );
  });

  it.each([1, 2, 3, 4, 5])(
    'allows at most 1.1 attempts per request after the first second when all fail, seed %i',
    (seed) => {
      const random = newSeededRandom(seed);
      const budget = newRetryBudget();
      const ratePerMs = random() * 0.2 + 0.002;
      let nowMs = 0;
      let requests = 0;
      let retries = 0;
      // Ten thousand first attempts fill the budget to its maximum.
      for (let i = 0; i < 10_000; i += 1) budget.deposit(0.1);
      while (nowMs < 20_000) {
        nowMs += -Math.log(1 - random()) / ratePerMs;
        const counted = nowMs > 1000 ? 1 : 0;
        requests += counted;
        budget.deposit(0.1);
        for (let attempt = 1; attempt < 3 && budget.tryWithdraw(nowMs); attempt += 1) {
          retries += counted;
          budget.recordResult(false, nowMs);
        }
      }

      expect(requests).toBeGreaterThanOrEqual(20);
      expect((requests + retries) / requests).toBeLessThanOrEqual(1.1);
    },
  );

  it('restores its reserve after a successful retry', () => {
    const budget = newRetryBudget();
    budget.recordResult(false, 0);
    budget.recordResult(false, 1000);
    for (let i = 0; i < 200; i += 1) budget.deposit(0.1);
    budget.recordResult(true, 1100);

    expect(Array.from({ length: 5 }, () => budget.tryWithdraw(2000))).toEqual(Array(5).fill(true));
  });

  it('allows every retry while one upstream of six fails', () => {
    const budget = newRetryBudget();
    const granted = Array.from({ length: 1000 }, (_, index) => {
      budget.deposit(0.1);
      if (index % 6 !== 0) return true;
      const isGranted = budget.tryWithdraw(index);
      budget.recordResult(true, index);
      return isGranted;
    });

    expect(granted.filter((isGranted) => !isGranted)).toEqual([]);
  });
});
