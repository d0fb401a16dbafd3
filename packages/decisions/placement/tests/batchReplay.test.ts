import { replayBatchLoad } from './batchReplay';
import type { ReplayLoad } from './batchReplayTypes';

/** Load of the deployment, with the slots at its load rises just used up. */
const DEPLOYMENT: ReplayLoad = {
  gateways: 21,
  upstreams: 34,
  onlineFraction: 0.55,
  wave: { lowMs: 3800, highMs: 2800, low: 0.378, high: 1.85 },
  itemsPerSecond: 23,
  eventsPerItem: 194,
};
const OUTAGE = { fromMs: 15_000, toMs: 19_500, fraction: 0.17 };

/** More items than the valleys can run, of which about as many are late as were measured. */
const OVERLOAD: ReplayLoad = { ...DEPLOYMENT, itemsPerSecond: 36 };

describe('batch items under a load that rises and falls', () => {
  it.each([
    ['all upstreams', DEPLOYMENT],
    ['lost upstreams', { ...DEPLOYMENT, outage: OUTAGE }],
  ])(
    'finish in time while the valleys can run them, with %s',
    (_, load) => {
      const { items, late, p99WaitMs } = replayBatchLoad(load, 1);

      expect(items).toBeGreaterThan(0);
      expect(late).toBeLessThan(items * 0.01);
      expect(p99WaitMs).toBeLessThan(700);
    },
    60_000,
  );

  it('are late less often under overload than by due time alone, with lost upstreams', () => {
    const load = { ...OVERLOAD, outage: OUTAGE };
    const byDueTime = replayBatchLoad({ ...load, earlierGateways: load.gateways }, 1);
    const { late, done, cutRuns, p99WaitMs } = replayBatchLoad(load, 1);

    expect(late).toBeLessThan(byDueTime.late * 0.75);
    expect(cutRuns / done).toBeLessThan(byDueTime.cutRuns / byDueTime.done);
    expect(p99WaitMs).toBeLessThan(byDueTime.p99WaitMs * 1.1);
  }, 120_000);
});
