import { newItemTracker } from '../itemTracker';

const ITEM = { dueMs: 18_000, remainingMs: 3000 };
const ITEMS = {
  running: new Map([['u1', [ITEM]]]),
  waiting: new Map([['engines', [ITEM, ITEM]]]),
};

describe('item tracker', () => {
  it('returns the items of all peers that reported recently', () => {
    const tracker = newItemTracker();
    tracker.updatePeer('a', ITEMS, 0);
    tracker.updatePeer('b', ITEMS, 400);

    expect(tracker.getRunning('u1', 500)).toHaveLength(2);
    expect(tracker.getWaiting('engines', 500)).toHaveLength(4);
    expect(tracker.getRunning('u2', 500)).toEqual([]);
  });

  it('drops the items of a peer that has stopped reporting', () => {
    const tracker = newItemTracker();
    tracker.updatePeer('a', ITEMS, 0);
    tracker.updatePeer('b', ITEMS, 400);

    expect(tracker.getWaiting('engines', 600)).toHaveLength(2);
    expect(tracker.getWaiting('engines', 1000)).toEqual([]);
  });

  it('uses the latest report of a peer', () => {
    const tracker = newItemTracker();
    tracker.updatePeer('a', ITEMS, 0);
    tracker.updatePeer('a', { running: new Map(), waiting: new Map() }, 100);

    expect(tracker.getWaiting('engines', 100)).toEqual([]);
  });

  it('keeps the own items separate from those of peers', () => {
    const tracker = newItemTracker();
    tracker.setOwn(ITEMS);

    expect(tracker.getOwn()).toBe(ITEMS);
    expect(tracker.getRunning('u1', 0)).toEqual([]);
  });
});
