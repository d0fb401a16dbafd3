/** Waiting work of one team. */
import type { Work } from './scheduler';
import type { Estimate } from './serviceEstimates';

/** Work that waits or runs, with the estimate of what it uses. */
export interface QueueEntry {
  readonly work: Work;
  readonly estimate: Estimate;
  readonly arrivedMs: number;
}

/** Waiting work of one team in order of arrival; work added at the front goes before the rest. */
export interface TeamQueue {
  add(entry: QueueEntry, place: 'front' | 'back'): void;
  get(id: string): QueueEntry | undefined;
  remove(entry: QueueEntry): void;
  first(): QueueEntry | undefined;
  entries(): QueueEntry[];
  size(): number;
  /** Sum of the expected tokens of all entries. */
  tokens(): number;
  /** Sum of the expected durations of all entries, in milliseconds. */
  durationMs(): number;
}

/** Creates an empty queue. */
export const newTeamQueue = (): TeamQueue => {
  const front = new Map<string, QueueEntry>();
  const back = new Map<string, QueueEntry>();
  let tokens = 0;
  let durationMs = 0;
  const size = (): number => front.size + back.size;
  return {
    add: (entry, place) => {
      (place === 'front' ? front : back).set(entry.work.id, entry);
      tokens += entry.estimate.tokens;
      durationMs += entry.estimate.durationMs;
    },
    get: (id) => front.get(id) ?? back.get(id),
    remove: (entry) => {
      if (!front.delete(entry.work.id)) back.delete(entry.work.id);
      // Floating-point sums drift; they are reset whenever the queue is empty.
      tokens = size() === 0 ? 0 : tokens - entry.estimate.tokens;
      durationMs = size() === 0 ? 0 : durationMs - entry.estimate.durationMs;
    },
    first: () => (front.size > 0 ? front : back).values().next().value,
    entries: () => [...front.values(), ...back.values()],
    size,
    tokens: () => tokens,
    durationMs: () => durationMs,
  };
};
