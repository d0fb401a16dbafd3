/** Runs actions in the order of their time; nothing waits in real time. */
export interface EventLoop {
  now(): number;
  at(timeMs: number, action: () => void): void;
  /** Runs everything that is due up to the time. */
  run(untilMs: number): void;
}

interface Event {
  readonly timeMs: number;
  readonly order: number;
  readonly action: () => void;
}

const isBefore = (a: Event, b: Event): boolean =>
  a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.order < b.order);

/** Event loop on a binary heap. */
export const newEventLoop = (): EventLoop => {
  const heap: Event[] = [];
  let nowMs = 0;
  let order = 0;

  const swap = (a: number, b: number): void => {
    const event = heap[a] as Event;
    heap[a] = heap[b] as Event;
    heap[b] = event;
  };

  const push = (event: Event): void => {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(heap[index] as Event, heap[parent] as Event)) return;
      swap(index, parent);
      index = parent;
    }
  };

  const getSmallest = (index: number): number =>
    [index * 2 + 1, index * 2 + 2].reduce((smallest, child) => {
      const event = heap[child];
      return event !== undefined && isBefore(event, heap[smallest] as Event) ? child : smallest;
    }, index);

  const pop = (): Event | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const smallest = getSmallest(index);
      if (smallest === index) return first;
      swap(index, smallest);
      index = smallest;
    }
  };

  return {
    now: () => nowMs,
    at: (timeMs, action) => {
      push({ timeMs: Math.max(timeMs, nowMs), order, action });
      order += 1;
    },
    run: (untilMs) => {
      while (heap[0] !== undefined && heap[0].timeMs <= untilMs) {
        const event = pop() as Event;
        nowMs = event.timeMs;
        event.action();
      }
      nowMs = untilMs;
    },
  };
};
