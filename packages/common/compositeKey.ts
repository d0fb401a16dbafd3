/** Key of several names together, which no other names have, whatever letters they hold. */
export const getCompositeKey = (...names: readonly string[]): string =>
  names.map((name) => `${name.length}:${name}`).join('');
