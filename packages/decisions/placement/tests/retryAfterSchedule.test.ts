import fc from 'fast-check';
import { newRetryAfterSchedule } from '../retryAfterSchedule';

const MAX_RETRY_AFTER_MS = 1500;

describe('retry-after schedule', () => {
  it('never asks for a retry before the limits of the upstreams allow a request', () => {
    const shortage = { queueMs: 0, limitWaitMs: 2000, admissionIntervalMs: 100 };
    const schedule = newRetryAfterSchedule();

    expect(schedule.getRetryAfterMs(shortage, 0)).toBe(2000);
  });

  it('never asks for a retry before the queue has drained, nor later than the maximum', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            gapMs: fc.nat(300),
            queueMs: fc.nat(2000),
            admissionIntervalMs: fc.nat(400),
          }),
          {
            maxLength: 60,
          },
        ),
        (refusals) => {
          const schedule = newRetryAfterSchedule();
          let nowMs = 0;
          refusals.forEach(({ gapMs, queueMs, admissionIntervalMs }) => {
            nowMs += gapMs;
            const retryAfterMs = schedule.getRetryAfterMs({ queueMs, admissionIntervalMs }, nowMs);

            expect(retryAfterMs).toBeGreaterThanOrEqual(
              Math.min(MAX_RETRY_AFTER_MS, Math.max(150, queueMs)),
            );
            expect(retryAfterMs).toBeLessThanOrEqual(MAX_RETRY_AFTER_MS);
          });
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  it('spreads the retries of a burst over the time in which they can be served', () => {
    const schedule = newRetryAfterSchedule();
    // A burst of 8 callers, of which one can be served every 100 ms.
    const retryAfterTimes = Array.from({ length: 8 }, () =>
      schedule.getRetryAfterMs({ queueMs: 200, admissionIntervalMs: 100 }, 1000),
    );

    expect(retryAfterTimes).toEqual([200, 300, 400, 500, 600, 700, 800, 900]);
  });
});
