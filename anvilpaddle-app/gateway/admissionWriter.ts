/** Which gateway stores a team's admissions between its heartbeats: one of those that see each other does for all. */
import { getRendezvousOwner, type Clock } from '@anvilpaddle/common';

/** Time for which the writers are remembered; finding one costs a hash for each gateway. */
const CACHE_MS = 500;
/** Interval at least between two checks that have found nothing to store. */
const CHECK_INTERVAL_MS = 20;

/** Tells when this gateway stores admissions. */
export interface AdmissionWriter {
  /** Whether this gateway is the writer of a team with unstored admissions. */
  isDue(): boolean;
}

/** Creates the writer's side of one gateway; `getSeen` names the gateways that it sees, itself included. */
export const newAdmissionWriter = (
  self: string,
  getSeen: () => readonly string[],
  getUnstoredTeams: () => readonly string[],
  clock: Clock,
): AdmissionWriter => {
  const writers = new Map<string, string | undefined>();
  let seen: readonly string[] = [];
  let cachedMs = -Infinity;
  let nextCheckMs = -Infinity;

  const getWriter = (team: string): string | undefined => {
    if (!writers.has(team)) writers.set(team, getRendezvousOwner(team, seen));
    return writers.get(team);
  };

  const refresh = (nowMs: number): void => {
    if (nowMs - cachedMs < CACHE_MS) return;
    cachedMs = nowMs;
    seen = getSeen();
    writers.clear();
  };

  return {
    isDue: () => {
      const nowMs = clock.monotonic();
      if (nowMs < nextCheckMs) return false;
      refresh(nowMs);
      const isDue = getUnstoredTeams().some((team) => getWriter(team) === self);
      if (!isDue) nextCheckMs = nowMs + CHECK_INTERVAL_MS;
      return isDue;
    },
  };
};
