/** Injectable random numbers. */

/** Source of uniformly distributed numbers in [0, 1). */
export type Random = () => number;

/** Deterministic random source from a 32-bit seed (mulberry32). */
export const newSeededRandom = (seed: number): Random => {
  /* eslint-disable no-bitwise */
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
  /* eslint-enable no-bitwise */
};

/** Random element of a list; undefined when it is empty. */
export const getRandomElement = <T>(items: readonly T[], random: Random): T | undefined =>
  items[Math.floor(random() * items.length)];
