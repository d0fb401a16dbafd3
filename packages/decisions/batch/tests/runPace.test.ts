import { newRunPace, newSlowRunMoves, type PacedRun } from '../runPace';

const newRun = (msPerEvent: number): PacedRun => ({ route: 'r', msPerEvent, meanMsPerEvent: 24 });

describe('pace of a run', () => {
  it('leaves out the wait for the first event, such as that for a slot', () => {
    const pace = newRunPace(50);
    pace.observe(50, 900);
    pace.observe(51, 1000);
    pace.observe(61, 1200);

    expect(pace.getMsPerEvent(1200)).toBe(20);
  });

  it('is unknown while the run has given few events, whatever earlier runs gave', () => {
    const pace = newRunPace(50);
    pace.observe(51, 1000);
    pace.observe(60, 1200);

    expect(pace.getMsPerEvent(1200)).toBeUndefined();
  });
});

describe('moves of slow runs', () => {
  it('are not made for runs as slow as upstreams differ, or for the last events of an item', () => {
    const moves = newSlowRunMoves();

    expect(moves.shouldMove(newRun(60), 5000)).toBe(true);
    expect(moves.shouldMove(newRun(31), 5000)).toBe(false);
    expect(moves.shouldMove(newRun(60), 500)).toBe(false);
  });

  it('end where the runs after slow ones are slow too, and begin again once they are not', () => {
    const moves = newSlowRunMoves();
    for (let run = 0; run < 20; run += 1) moves.learnNextRun(newRun(60));
    expect(moves.shouldMove(newRun(60), 5000)).toBe(false);
    expect(moves.shouldMove({ ...newRun(60), route: 'other' }, 5000)).toBe(true);

    for (let run = 0; run < 20; run += 1) moves.learnNextRun(newRun(24));
    expect(moves.shouldMove(newRun(60), 5000)).toBe(true);
  });
});
