/** Expiry of confirmed facts, by two clocks. */

/** Tracks whether a fact was confirmed recently enough to rely on it. */
export interface Freshness {
  /** Records a confirmation by a request that was sent at these times, in milliseconds. */
  confirm(monotonicMs: number, wallMs: number): void;
  isFresh(monotonicMs: number, wallMs: number): boolean;
}

/**
 * Freshness that expires `lifetimeMs` after a confirmation. The age is the greater one by the
 * monotonic and the wall clock, because the monotonic clock may stop while a VM is suspended and the
 * wall clock may jump.
 */
export const newFreshness = (lifetimeMs: number): Freshness => {
  let confirmedAt: { readonly monotonicMs: number; readonly wallMs: number } | undefined;
  return {
    confirm: (monotonicMs, wallMs) => {
      if (confirmedAt !== undefined && monotonicMs < confirmedAt.monotonicMs) return;
      confirmedAt = { monotonicMs, wallMs };
    },
    isFresh: (monotonicMs, wallMs) => {
      if (confirmedAt === undefined) return false;
      const ageMs = Math.max(monotonicMs - confirmedAt.monotonicMs, wallMs - confirmedAt.wallMs);
      return ageMs < lifetimeMs;
    },
  };
};
