/** Discrete-event simulation: actions run in the order of their simulated time. */
/** Queue of scheduled actions with a simulated clock; it never waits in real time. */
export interface EventLoop {
  /** Simulated time in milliseconds. */
  now(): number;
  /** Schedules an action; a time in the past counts as now. */
  at(timeMs: number, action: () => void): void;
  /** Runs all actions due up to and including `untilMs` and sets the clock to it. */
  run(untilMs: number): void;
}

interface Event {
  readonly timeMs: number;
  /** Number of the event in the order of scheduling; decides between events at the same time. */
  readonly sequence: number;
  readonly action: () => void;
}

const isBefore = (a: Event, b: Event): boolean =>
  a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.sequence < b.sequence);

/** Creates an event loop at time 0, backed by a binary heap. */
export const newEventLoop = (): EventLoop => {
  const heap: Event[] = [];
  let nowMs = 0;
  let sequence = 0;

  const swap = (a: number, b: number): void => {
    const event = heap[a] as Event;
    heap[a] = heap[b] as Event;
    heap[b] = event;
  };

  const pushEvent = (event: Event): void => {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(heap[index] as Event, heap[parent] as Event)) return;
      swap(index, parent);
      index = parent;
    }
  };

  const getEarliest = (index: number): number =>
    [index * 2 + 1, index * 2 + 2].reduce((earliest, child) => {
      const event = heap[child];
      return event !== undefined && isBefore(event, heap[earliest] as Event) ? child : earliest;
    }, index);

  const popEvent = (): Event | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const earliest = getEarliest(index);
      if (earliest === index) return first;
      swap(index, earliest);
      index = earliest;
    }
  };

  return {
    now: () => nowMs,
    at: (timeMs, action) => {
      pushEvent({ timeMs: Math.max(timeMs, nowMs), sequence, action });
      sequence += 1;
    },
    run: (untilMs) => {
      while (heap[0] !== undefined && heap[0].timeMs <= untilMs) {
        const event = popEvent() as Event;
        nowMs = event.timeMs;
        event.action();
      }
      nowMs = untilMs;
    },
  };
};
