/** Cache of each team's holders in one view. */
import type { LimitView } from '@anvilpaddle/protocol';
import { getHolders } from './limitView';

/** Holders of each team in one view, computed on first use. */
export interface HolderCache {
  readonly members: ReadonlySet<string>;
  /** Holders computed so far, by team. */
  readonly cached: ReadonlyMap<string, readonly string[]>;
  holders(team: string): readonly string[];
}

const MAX_CACHED_TEAMS = 4000;

/**
 * Cache for a view that reuses the cache of the previous view. For a team that has lost no holder,
 * only the new members have to be compared with the previous holders.
 */
export const newHolderCache = (view: LimitView, previous: HolderCache | undefined): HolderCache => {
  const members = new Set(view.members);
  const cached = new Map<string, readonly string[]>();
  const added = view.members.filter((member) => previous?.members.has(member) !== true);

  previous?.cached.forEach((holders, team) => {
    if (holders.some((holder) => !members.has(holder))) return;
    const next =
      added.length === 0 ? holders : getHolders(team, [...holders, ...added], view.holders);
    cached.set(team, next);
  });

  return {
    members,
    cached,
    holders: (team) => {
      const value = cached.get(team);
      if (value !== undefined) return value;
      if (cached.size >= MAX_CACHED_TEAMS) cached.clear();
      const computed = getHolders(team, view.members, view.holders);
      cached.set(team, computed);
      return computed;
    },
  };
};
