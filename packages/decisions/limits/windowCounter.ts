/** Counts events in a sliding window. Times are monotonic milliseconds. */

/** Number of slots in a window: events are counted to the width of one. */
export const SLOTS_PER_WINDOW = 20;

/** Events in each time slot of a window, oldest slot first. */
export type WindowSlots = readonly number[];

/** Counter of events in a sliding window, in slots of a fixed width. */
export interface WindowCounter {
  add(count: number, nowMs: number): void;
  /** Number of events in the window. */
  get(nowMs: number): number;
  getSlots(nowMs: number): WindowSlots;
  /** Raises each slot to at least the count of another counter, as it was `ageMs` ago. */
  raise(other: WindowSlots, ageMs: number, nowMs: number): void;
  /** Time until the window contains no more than `count` events. */
  getDrainMs(count: number, nowMs: number): number;
}

/** Creates a counter without events. */
export const newWindowCounter = (windowMs: number): WindowCounter => {
  const slotMs = windowMs / SLOTS_PER_WINDOW;
  // One slot more than the window has, so that the slots always cover at least the whole window.
  const slots = new Array<number>(SLOTS_PER_WINDOW + 1).fill(0);
  let sum = 0;
  let newestSlot = 0;

  const advance = (nowMs: number): void => {
    const slot = Math.floor(nowMs / slotMs);
    const steps = Math.min(slot - newestSlot, slots.length);
    for (let step = 1; step <= steps; step += 1) {
      const index = (newestSlot + step) % slots.length;
      sum -= slots[index] ?? 0;
      slots[index] = 0;
    }
    if (steps >= slots.length) slots.fill(0);
    newestSlot = Math.max(newestSlot, slot);
  };

  return {
    add: (count, nowMs) => {
      advance(nowMs);
      const index = newestSlot % slots.length;
      slots[index] = (slots[index] ?? 0) + count;
      sum += count;
    },
    get: (nowMs) => {
      advance(nowMs);
      return sum;
    },
    getSlots: (nowMs) => {
      advance(nowMs);
      return slots.map((_, index) => slots[(newestSlot + 1 + index) % slots.length] ?? 0);
    },
    raise: (other, ageMs, nowMs) => {
      advance(nowMs);
      const slotShift = Math.floor(Math.max(0, ageMs) / slotMs);
      other.slice(slotShift).forEach((count, index) => {
        const slot = (newestSlot + 1 + index) % slots.length;
        const missing = count - (slots[slot] ?? 0);
        if (missing <= 0) return;
        slots[slot] = count;
        sum += missing;
      });
    },
    getDrainMs: (count, nowMs) => {
      advance(nowMs);
      let left = sum;
      for (let age = slots.length - 1; age >= 0; age -= 1) {
        if (left <= count) return (slots.length - 1 - age) * slotMs;
        left -= slots[(newestSlot - age + slots.length * 2) % slots.length] ?? 0;
      }
      return windowMs;
    },
  };
};
