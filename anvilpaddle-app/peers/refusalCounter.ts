/** Counting and logging of refused messages. */
import type { Logger } from '@anvilpaddle/common';

/** Counts refused messages or requests by reason. */
export interface RefusalCounter {
  /** Counts one refusal. */
  add(reason: string): void;
  /** Refusals so far, by reason. */
  readonly counts: Readonly<Record<string, number>>;
}

const isPowerOfTwo = (count: number): boolean => Math.log2(count) % 1 === 0;

/**
 * Creates a counter of refusals of `what`. A count is logged whenever it reaches a power of two, so
 * that a flood of refusals writes few lines.
 */
export const newRefusalCounter = (what: string, log: Logger): RefusalCounter => {
  const counts: Record<string, number> = {};
  return {
    counts,
    add: (reason) => {
      const count = (counts[reason] ?? 0) + 1;
      counts[reason] = count;
      if (isPowerOfTwo(count)) log.warn({ reason, count }, `${what} refused`);
    },
  };
};
