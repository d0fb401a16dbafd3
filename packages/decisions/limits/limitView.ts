import { getRendezvousOrder } from '@anvilpaddle/common';
import type { LimitView } from '@anvilpaddle/protocol';
import { DEFAULT_HOLDERS_PER_TEAM } from './constants';

/** Entries that hold a team's tokens, best first. */
export const getHolders = (
  team: string,
  members: readonly string[],
  holders: number,
): readonly string[] => getRendezvousOrder(team, members).slice(0, holders);

/**
 * Part of a team's rate and burst that an entry holds, given the holders among the members. It has
 * made room for those who join.
 */
export const getShareFraction = (
  address: string,
  team: string,
  view: LimitView,
  holders: readonly string[],
): number => {
  if (!holders.includes(address)) return 0;
  const share = 1 / holders.length;
  if (view.joining.length === 0) return share;
  const later = getHolders(team, [...holders, ...view.joining], view.holders);
  return later.includes(address) ? Math.min(share, 1 / later.length) : 0;
};

/** View in which the entry joins; undefined when it is in the view already. */
export const getJoinView = (
  view: LimitView | undefined,
  address: string,
): LimitView | undefined => {
  if (view === undefined || view.members.length === 0) {
    const epoch = (view?.epoch ?? 0) + 1;
    const joining = view?.joining.filter((other) => other !== address) ?? [];
    return {
      epoch,
      members: [address],
      joining,
      holders: view?.holders ?? DEFAULT_HOLDERS_PER_TEAM,
    };
  }
  if (view.members.includes(address) || view.joining.includes(address)) return undefined;
  return { ...view, epoch: view.epoch + 1, joining: [...view.joining, address] };
};

/** View in which those who join are members. Every member must have confirmed the view before. */
export const getCommitView = (view: LimitView): LimitView => ({
  ...view,
  epoch: view.epoch + 1,
  members: [...view.members, ...view.joining],
  joining: [],
});

/** View without entries that run no more; undefined when none of them is in it. */
export const getRemoveView = (
  view: LimitView,
  gone: ReadonlySet<string>,
): LimitView | undefined => {
  const members = view.members.filter((address) => !gone.has(address));
  const joining = view.joining.filter((address) => !gone.has(address));
  const isSame = members.length + joining.length === view.members.length + view.joining.length;
  return isSame ? undefined : { ...view, epoch: view.epoch + 1, members, joining };
};
