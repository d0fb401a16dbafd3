/** How long a belief that was confirmed at some moment may be acted on. */
export interface Freshness {
  /** Confirmed by an answer to a question that was sent at these times, in milliseconds. */
  confirm(monotonicMs: number, wallMs: number): void;
  isFresh(monotonicMs: number, wallMs: number): boolean;
}

/**
 * Belief that lapses after a time. The monotonic clock may stand still while a VM is suspended and
 * the wall clock may step, so the belief counts as old as the older of the two says.
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
