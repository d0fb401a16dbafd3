import xxhash from 'xxhash-wasm';

type Hasher = Awaited<ReturnType<typeof xxhash>>;

let hasher: Hasher | undefined;

/** Loads the hash function; call once at process start before any other function of this file. */
export const loadHashing = async (): Promise<void> => {
  hasher ??= await xxhash();
};

/** 32-bit hash of a string. */
export const getHash = (text: string): number => {
  if (hasher === undefined) throw new Error('loadHashing has not been awaited');
  return hasher.h32(text);
};

/** Orders candidates for a subject by rendezvous hashing, best first. */
export const getRendezvousOrder = (subject: string, candidates: readonly string[]): string[] =>
  candidates
    .map((candidate) => ({ candidate, weight: getHash(`${subject}\n${candidate}`) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);

/** Best candidate for a subject by rendezvous hashing. */
export const getRendezvousOwner = (
  subject: string,
  candidates: readonly string[],
): string | undefined => getRendezvousOrder(subject, candidates)[0];
