/** Deterministic output of the engine stand-in. */
import { createHash } from 'node:crypto';

const VOCABULARY = ['agua', 'tarifa', 'hogar', 'sleep', 'band', 'river', 'stone', 'light'] as const;

/**
 * Tokens that every engine stand-in generates for a prompt. They depend on the prompt alone, so
 * that a test can check the complete text.
 */
export const getResponseTokens = (prompt: string, count: number): string[] => {
  const seed = createHash('sha256').update(prompt).digest();
  return Array.from({ length: count }, (_, index) => {
    const byte = seed[index % seed.length] ?? 0;
    return `${VOCABULARY[(byte + index) % VOCABULARY.length]}${index} `;
  });
};
