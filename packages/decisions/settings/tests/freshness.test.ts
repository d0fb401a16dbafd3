import fc from 'fast-check';
import { newFreshness } from '../freshness';

const LIFETIME_MS = 4000;

describe('freshness', () => {
  it('expires when its lifetime has passed by either clock', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            monotonicMs: fc.integer({ min: 0, max: 3000 }),
            wallMs: fc.integer({ min: -3000, max: 3000 }),
            isConfirmed: fc.boolean(),
          }),
          { maxLength: 30 },
        ),
        (steps) => {
          const freshness = newFreshness(LIFETIME_MS);
          let monotonicMs = 0;
          let wallMs = 0;
          let confirmedAt: { monotonicMs: number; wallMs: number } | undefined;
          steps.forEach((step) => {
            monotonicMs += step.monotonicMs;
            wallMs += step.wallMs;
            if (step.isConfirmed) {
              freshness.confirm(monotonicMs, wallMs);
              confirmedAt = { monotonicMs, wallMs };
            }
            const isWithinLifetime =
              confirmedAt !== undefined &&
              monotonicMs - confirmedAt.monotonicMs < LIFETIME_MS &&
              wallMs - confirmedAt.wallMs < LIFETIME_MS;
            expect(freshness.isFresh(monotonicMs, wallMs)).toBe(isWithinLifetime);
          });
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it('expires while a VM is suspended, which only the wall clock shows', () => {
    const freshness = newFreshness(LIFETIME_MS);
    freshness.confirm(100, 1_000_000);

    expect(freshness.isFresh(110, 1_000_010)).toBe(true);
    expect(freshness.isFresh(120, 1_006_000)).toBe(false);
  });

  it('ignores a response to an older request', () => {
    const freshness = newFreshness(LIFETIME_MS);
    freshness.confirm(5000, 5000);
    freshness.confirm(1000, 1000);

    expect(freshness.isFresh(8000, 8000)).toBe(true);
  });
});
