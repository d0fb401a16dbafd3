import { newItemTracker } from '../itemTracker';

const ITEM = { dueMs: 18_000, remainingMs: 3000 };
const ITEMS = {
  running: new Map([['u1', [ITEM]]]),
  waiting: new Map([['engines', [ITEM, ITEM]]]),
};

describe('board of batch items', () => {
  it('has the items of all peers heard of late', () => {
    const board = newItemTracker();
    board.updatePeer('a', ITEMS, 0);
    board.updatePeer('b', ITEMS, 400);

    expect(board.getRunning('u1', 500)).toHaveLength(2);
    expect(board.getWaiting('engines', 500)).toHaveLength(4);
    expect(board.getRunning('u2', 500)).toEqual([]);
  });

  it('keeps no slot for the items of a peer that has fallen silent', () => {
    const board = newItemTracker();
    board.updatePeer('a', ITEMS, 0);
    board.updatePeer('b', ITEMS, 400);

    expect(board.getWaiting('engines', 600)).toHaveLength(2);
    expect(board.getWaiting('engines', 1000)).toEqual([]);
  });

  it('takes the newest word of a peer', () => {
    const board = newItemTracker();
    board.updatePeer('a', ITEMS, 0);
    board.updatePeer('a', { running: new Map(), waiting: new Map() }, 100);

    expect(board.getWaiting('engines', 100)).toEqual([]);
  });

  it('keeps the own items apart', () => {
    const board = newItemTracker();
    board.setOwn(ITEMS);

    expect(board.getOwn()).toBe(ITEMS);
    expect(board.getRunning('u1', 0)).toEqual([]);
  });
});
