import fc from 'fast-check';
import { loadHashing } from '@anvilpaddle/common';
import { shouldClaimJob } from '../ownership';
import { getWaitingTokens } from '../waitingTokens';

beforeAll(() => loadHashing());

const incarnations = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 6 }), {
  minLength: 1,
  maxLength: 9,
});

describe('ownership of jobs', () => {
  it('lets exactly one gateway claim a job whose owner is gone', () => {
    fc.assert(
      fc.property(incarnations, fc.string(), (takers, jobId) => {
        const claimants = takers.filter((self) =>
          shouldClaimJob(jobId, 'gone', {
            self,
            eligibleOwners: takers,
            isAlive: (owner) => owner !== 'gone',
          }),
        );

        expect(claimants).toHaveLength(1);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('leaves a job to an owner that may still be running', () => {
    fc.assert(
      fc.property(incarnations, fc.string(), fc.nat(), (takers, jobId, pick) => {
        const owner = takers[pick % takers.length];
        const claimants = takers.filter((self) =>
          shouldClaimJob(jobId, owner, {
            self,
            eligibleOwners: takers,
            isAlive: (id) => takers.includes(id),
          }),
        );

        expect(claimants).toEqual([]);
      }),
      { seed: 2, numRuns: 200 },
    );
  });
});

describe('waiting tokens', () => {
  it('are the tokens of the items without a result, as in a naive count', () => {
    const job = fc
      .record({ tokens: fc.array(fc.nat(5000), { maxLength: 20 }), isEnded: fc.boolean() })
      .chain(({ tokens, isEnded }) =>
        fc.record({
          tokens: fc.constant(tokens),
          isEnded: fc.constant(isEnded),
          listed: fc.subarray(tokens.map((_, index) => index)),
        }),
      );
    fc.assert(
      fc.property(fc.array(job, { maxLength: 6 }), (jobs) => {
        let naive = 0;
        jobs.forEach(({ tokens, listed, isEnded }) =>
          tokens.forEach((count, index) => {
            if (!isEnded && !listed.includes(index)) naive += count;
          }),
        );

        expect(getWaitingTokens(jobs)).toBe(naive);
      }),
      { seed: 3, numRuns: 200 },
    );
  });
});
