import { newServiceEstimates } from '../scheduling/serviceEstimates';
import { newWork } from './schedulingKit';

describe('newServiceEstimates', () => {
  it('learns from the tokens used and not from the tokens allowed', () => {
    const estimates = newServiceEstimates();
    const work = newWork('w', { maxTokens: 100_000 });
    for (let index = 0; index < 50; index += 1) estimates.learn(work, 40, 400);

    expect(estimates.get(work)).toEqual({ tokens: 40, durationMs: 400, upperDurationMs: 400 });
  });

  it('estimates tokens from the duration if they are not counted', () => {
    const estimates = newServiceEstimates();
    estimates.learn(newWork('w'), 0, 250);

    expect(estimates.get(newWork('x'))).toMatchObject({ tokens: 250, durationMs: 250 });
  });

  it('does not learn from calls that fail immediately', () => {
    const estimates = newServiceEstimates();
    estimates.learn(newWork('w'), 40, 400);
    for (let index = 0; index < 50; index += 1) estimates.learn(newWork('w'), 0, 1);

    expect(estimates.get(newWork('w')).durationMs).toBe(400);
  });

  it('has no upper duration for a team without a record', () => {
    const estimates = newServiceEstimates();
    estimates.learn(newWork('w', { team: 'slow' }), 9000, 90_000);

    expect(estimates.get(newWork('x', { team: 'new' })).upperDurationMs).toBe(0);
  });

  it('does not estimate online requests from batch items', () => {
    const estimates = newServiceEstimates();
    estimates.learn(newWork('w', { serviceClass: 'batch' }), 9000, 90_000);

    expect(estimates.get(newWork('x')).durationMs).toBe(0);
  });

  it('keeps a bounded number of keys', () => {
    const estimates = newServiceEstimates(10);
    for (let index = 0; index < 100; index += 1) {
      estimates.learn(newWork('w', { team: `t${index}` }), 40, 400);
    }

    expect(estimates.size()).toBe(10);
  });
});
