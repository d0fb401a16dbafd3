import fc from 'fast-check';
import { newRetryAfterSchedule } from '../retryAfterSchedule';

const LONGEST_MS = 1500;

describe('schedule of returns', () => {
  it('never asks for an earlier return than the queue allows, nor a later one than is heeded', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ gapMs: fc.nat(300), queueMs: fc.nat(2000), spacingMs: fc.nat(400) }), {
          maxLength: 60,
        }),
        (refusals) => {
          const schedule = newRetryAfterSchedule();
          let nowMs = 0;
          refusals.forEach(({ gapMs, queueMs, spacingMs }) => {
            nowMs += gapMs;
            const returnMs = schedule.getRetryAfterMs(
              { queueMs, admissionIntervalMs: spacingMs },
              nowMs,
            );

            expect(returnMs).toBeGreaterThanOrEqual(Math.min(LONGEST_MS, Math.max(150, queueMs)));
            expect(returnMs).toBeLessThanOrEqual(LONGEST_MS);
          });
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  it('spreads the callers of a burst over the time in which they can be taken in', () => {
    const schedule = newRetryAfterSchedule();
    // A burst of 8 callers at once where one is taken in each 100 ms.
    const returns = Array.from({ length: 8 }, () =>
      schedule.getRetryAfterMs({ queueMs: 200, admissionIntervalMs: 100 }, 1000),
    );

    expect(returns).toEqual([200, 300, 400, 500, 600, 700, 800, 900]);
  });
});
