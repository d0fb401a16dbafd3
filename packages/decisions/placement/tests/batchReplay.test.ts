import { compareUrgency } from '../../batch/itemOrder';
import { getItemsToPreempt, getItemsToStart } from '../batchPlan';
import { replayBatchLoad, type BatchPolicy, type ReplayLoad } from './batchReplay';

const POLICY: BatchPolicy = { compare: compareUrgency, getItemsToStart, getItemsToPreempt };

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
      const { items, late, p99WaitMs } = replayBatchLoad(POLICY, load, 1);

      expect(items).toBeGreaterThan(0);
      expect(late).toBeLessThan(items * 0.01);
      expect(p99WaitMs).toBeLessThan(700);
    },
    60_000,
  );

  it('finish as many as the valleys can run under overload, with lost upstreams', () => {
    const { items, late } = replayBatchLoad(POLICY, { ...OVERLOAD, outage: OUTAGE }, 1);

    expect(late).toBeLessThan(items * 0.35);
  }, 60_000);
});
