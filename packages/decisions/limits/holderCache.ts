import type { LimitView } from '@anvilpaddle/protocol';
import { getHolders } from './limitView';

/** Holders of each team by one view, worked out when they are first asked for. */
export interface HolderCache {
  readonly members: ReadonlySet<string>;
  readonly cached: ReadonlyMap<string, readonly string[]>;
  holders(team: string): readonly string[];
}

const MAX_KNOWN_TEAMS = 4000;

/**
 * Ranking by a view. What was known by the view before is carried over: a team that has lost no
 * holder only has to be compared with the members that are new.
 */
export const newHolderCache = (view: LimitView, before: HolderCache | undefined): HolderCache => {
  const members = new Set(view.members);
  const known = new Map<string, readonly string[]>();
  const added = view.members.filter((member) => before?.members.has(member) !== true);

  before?.cached.forEach((holders, team) => {
    if (holders.some((holder) => !members.has(holder))) return;
    const next =
      added.length === 0 ? holders : getHolders(team, [...holders, ...added], view.holders);
    known.set(team, next);
  });

  return {
    members,
    cached: known,
    holders: (team) => {
      const value = known.get(team);
      if (value !== undefined) return value;
      if (known.size >= MAX_KNOWN_TEAMS) known.clear();
      const computed = getHolders(team, view.members, view.holders);
      known.set(team, computed);
      return computed;
    },
  };
};
