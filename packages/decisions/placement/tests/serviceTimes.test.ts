import { newSeededRandom } from '@anvilpaddle/common';
import { newServiceTimes } from '../serviceTimes';

describe('service times', () => {
  it('distinguish a slow upstream from a fast one although request sizes vary more', () => {
    const times = newServiceTimes();
    const random = newSeededRandom(1);
    for (let request = 0; request < 400; request += 1) {
      const sizeMs = 800 * (0.5 + random());
      times.learn('engines', 'fast', sizeMs);
      times.learn('engines', 'slow', sizeMs * 1.3);
    }
    const ratio =
      times.getUpstreamMeanMs('engines', 'slow') / times.getUpstreamMeanMs('engines', 'fast');

    expect(ratio).toBeGreaterThan(1.15);
    expect(ratio).toBeLessThan(1.5);
  });

  it('change little after one long request', () => {
    const times = newServiceTimes();
    times.learn('engines', 'a', 500);
    times.learn('engines', 'a', 60_000);
    const factor = times.getUpstreamMeanMs('engines', 'a') / times.getServiceMeanMs('engines');

    expect(factor).toBeLessThan(1.2);
  });

  it('are reset for an upstream that was removed', () => {
    const times = newServiceTimes();
    times.learn('engines', 'b', 500);
    times.learn('engines', 'a', 1500);
    times.retain(new Set(['b']));

    expect(times.getUpstreamMeanMs('engines', 'a')).toBe(times.getServiceMeanMs('engines'));
  });
});
