import { newLoadTracker } from '../loadTracker';

const LOADS = new Map([['u1', { online: 3, batch: 2 }]]);
const HEARD_MS = 1000;

describe('board of loads', () => {
  it.each([
    ['at once', 0, { online: 3, batch: 2 }],
    ['while its online requests may run', 1400, { online: 3, batch: 2 }],
    ['while its batch items may run', 4000, { online: 0, batch: 2 }],
    ['after they have ended', 5100, { online: 0, batch: 0 }],
  ])('counts what a silent peer had sent, %s', (_, silenceMs, load) => {
    const board = newLoadTracker();
    board.updatePeer('peer', LOADS, HEARD_MS);

    expect(board.getLoad('u1', HEARD_MS + silenceMs)).toEqual(load);
  });

  it('counts nothing of a process that has ended', () => {
    const board = newLoadTracker();
    board.updatePeer('peer', LOADS, HEARD_MS);
    board.removePeer('peer');

    expect(board.getLoad('u1', HEARD_MS)).toEqual({ online: 0, batch: 0 });
  });

  it('tells when the own load changes', () => {
    let changes = 0;
    const board = newLoadTracker(() => {
      changes += 1;
    });
    board.begin('u1', 'online');
    board.end('u1', 'online');

    expect(changes).toBe(2);
    expect(board.getOwn().size).toBe(0);
  });
});
