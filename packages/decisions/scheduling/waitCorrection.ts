const LEARNING_RATE = 0.1;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 4;
const SHORTEST_MS = 10;
const KEPT_TEAMS = 2000;

/**
 * Correction of expected waits for each team. A team over its share waits longer than the work
 * ahead of it suggests, since arrivals of other teams keep going first.
 */
export interface WaitCorrection {
  apply(team: string, rawWaitMs: number): number;
  learn(team: string, rawWaitMs: number, waitedMs: number): void;
}

/** Corrections of the teams seen last. */
export const newWaitCorrection = (): WaitCorrection => {
  const factors = new Map<string, number>();
  return {
    apply: (team, rawWaitMs) => rawWaitMs * (factors.get(team) ?? 1),
    learn: (team, rawWaitMs, waitedMs) => {
      // Short waits say more about the phase of the running work than about the queue.
      if (rawWaitMs < SHORTEST_MS) return;
      const seen = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, waitedMs / rawWaitMs));
      const factor = factors.get(team) ?? 1;
      factors.delete(team);
      factors.set(team, factor + (seen - factor) * LEARNING_RATE);
      if (factors.size <= KEPT_TEAMS) return;
      const [oldest] = factors.keys();
      if (oldest !== undefined) factors.delete(oldest);
    },
  };
};
