import { DRAWN_UPSTREAMS } from '@anvilpaddle/decisions';
import { replayPeak } from '../worstLoad';

/** First peak of a calm day with 88 gateways, each of which hears the others every 218 ms. */
const FLEET = { gateways: 88, upstreams: 34 };
const REPORT_INTERVAL_MS = 218;
const DEMAND = 0.8;

const getLate = (drawn: number): number => {
  const { late, requests } = replayPeak(FLEET, REPORT_INTERVAL_MS, drawn, DEMAND, 1);
  return late / requests;
};

describe('placement by loads that are old for the size of the fleet', () => {
  it('makes few requests late, where the least loaded upstream of all makes many', () => {
    expect(getLate(DRAWN_UPSTREAMS)).toBeLessThan(0.5 * getLate(Infinity));
  });
});
