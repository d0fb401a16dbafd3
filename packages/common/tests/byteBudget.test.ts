import { HELD_FOR, newByteBudget, type ByteHolder } from '../byteBudget';

const MAX_BYTES = 40_000_000;
const LARGEST_MESSAGE = 4_000_000;
const SMALL_MESSAGE = 8000;
const STEP = 64_000;

/** Holds more and more until the share is passed. */
const fill = (holder: ByteHolder): number => {
  let bytes = 0;
  while (holder.hold(bytes + STEP)) bytes += STEP;
  return bytes;
};

describe('a budget of held bytes', () => {
  it('has room for several of the largest messages', () => {
    const budget = newByteBudget(MAX_BYTES);
    const holders = Array.from({ length: 4 }, () => budget.newHolder(HELD_FOR.request));
    expect(holders.map((holder) => holder.hold(LARGEST_MESSAGE))).toEqual([true, true, true, true]);
  });

  it.each([1, 10, 100, 1000])('is not passed by %d messages without end', (count) => {
    const budget = newByteBudget(MAX_BYTES);
    Array.from({ length: count }, () => budget.newHolder(HELD_FOR.response)).forEach(fill);
    expect(budget.getHeldBytes(HELD_FOR.response)).toBeLessThan(MAX_BYTES / 2);
    expect(budget.newHolder(HELD_FOR.response).hold(SMALL_MESSAGE)).toBe(true);
    expect(budget.newHolder(HELD_FOR.request).hold(LARGEST_MESSAGE)).toBe(true);
  });

  it('leaves room for whole messages beside bytes that wait for slow readers', () => {
    const budget = newByteBudget(MAX_BYTES);
    Array.from({ length: 48 }, () => budget.newHolder(HELD_FOR.response)).forEach((holder) => {
      let bytes = 0;
      while (holder.holdWaiting(bytes + STEP)) bytes += STEP;
    });
    expect(budget.newHolder(HELD_FOR.response).hold(LARGEST_MESSAGE)).toBe(true);
    expect(budget.newHolder(HELD_FOR.response).holdWaiting(LARGEST_MESSAGE / 2)).toBe(false);
  });

  it('has the room again that was released, and keeps nothing for a released holder', () => {
    const budget = newByteBudget(MAX_BYTES);
    const holder = budget.newHolder(HELD_FOR.request);
    fill(holder);
    holder.release();
    holder.hold(STEP);
    holder.force(STEP);
    expect(budget.getHeldBytes(HELD_FOR.request)).toBe(0);
  });

  it('is used up by what had to be held, and lets what is held shrink', () => {
    const budget = newByteBudget(MAX_BYTES);
    const holder = budget.newHolder(HELD_FOR.response);
    holder.force(MAX_BYTES);
    expect(budget.isUsedUp(HELD_FOR.response)).toBe(true);
    expect(budget.newHolder(HELD_FOR.response).hold(SMALL_MESSAGE + STEP)).toBe(false);
    expect(holder.hold(MAX_BYTES - STEP)).toBe(true);
  });
});
