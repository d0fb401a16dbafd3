import { ATTEMPT_STATE, type AttemptState } from '@anvilpaddle/protocol';

/** What the sidecar knows of the attempts of this incarnation. */
export interface AttemptLog {
  get(attempt: string): AttemptState | undefined;
  set(attempt: string, state: AttemptState, nowMs: number): void;
  size(): number;
}

/** Log that forgets finished and revoked attempts after the retention in milliseconds. */
export const newAttemptLog = (retentionMs: number): AttemptLog => {
  const states = new Map<string, { state: AttemptState; atMs: number }>();

  const prune = (nowMs: number): void => {
    // The map keeps insertion order, so the oldest come first.
    for (const [attempt, { state, atMs }] of states) {
      if (nowMs - atMs <= retentionMs) return;
      if (state === ATTEMPT_STATE.done || state === ATTEMPT_STATE.revoked) states.delete(attempt);
    }
  };

  return {
    get: (attempt) => states.get(attempt)?.state,
    set: (attempt, state, nowMs) => {
      states.delete(attempt);
      states.set(attempt, { state, atMs: nowMs });
      prune(nowMs);
    },
    size: () => states.size,
  };
};
