/** String hashing (xxHash) and rendezvous hashing. */
import xxhash from 'xxhash-wasm';

type Hasher = Awaited<ReturnType<typeof xxhash>>;

let hasher: Hasher | undefined;

/** Loads the hash function; must be awaited once before the other functions are called. */
export const loadHashing = async (): Promise<void> => {
  hasher ??= await xxhash();
};

/** 32-bit hash of a string. */
export const getHash = (text: string): number => {
  if (hasher === undefined) throw new Error('loadHashing has not been awaited');
  return hasher.h32(text);
};

/** Ranks candidates for a key by rendezvous hashing, the preferred one first. */
export const getRendezvousOrder = (key: string, candidates: readonly string[]): string[] =>
  candidates
    .map((candidate) => ({ candidate, weight: getHash(`${key}\n${candidate}`) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);

/** Candidate that rendezvous hashing prefers for a key; undefined when there are none. */
export const getRendezvousOwner = (
  key: string,
  candidates: readonly string[],
): string | undefined => getRendezvousOrder(key, candidates)[0];
