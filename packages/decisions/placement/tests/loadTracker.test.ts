import { newLoadTracker } from '../loadTracker';

const LOADS = new Map([['u1', { online: 3, batch: 2 }]]);
const RECEIVED_MS = 1000;

describe('load tracker', () => {
  it.each([
    ['right after its report', 0, { online: 3, batch: 2 }],
    ['while its online requests may run', 1400, { online: 3, batch: 2 }],
    ['while its batch items may run', 4000, { online: 0, batch: 2 }],
    ['after they have ended', 5100, { online: 0, batch: 0 }],
  ])('counts the requests of a peer that has stopped reporting, %s', (_, silenceMs, load) => {
    const tracker = newLoadTracker();
    tracker.updatePeer('peer', LOADS, RECEIVED_MS);

    expect(tracker.getLoad('u1', RECEIVED_MS + silenceMs)).toEqual(load);
  });

  it('counts no requests of a process that has ended', () => {
    const tracker = newLoadTracker();
    tracker.updatePeer('peer', LOADS, RECEIVED_MS);
    tracker.removePeer('peer');

    expect(tracker.getLoad('u1', RECEIVED_MS)).toEqual({ online: 0, batch: 0 });
  });

  it('notifies of each change of the own load', () => {
    let changes = 0;
    const tracker = newLoadTracker(() => {
      changes += 1;
    });
    tracker.begin('u1', 'online');
    tracker.end('u1', 'online');

    expect(changes).toBe(2);
    expect(tracker.getOwn().size).toBe(0);
  });
});
