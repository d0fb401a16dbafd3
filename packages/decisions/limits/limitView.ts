/** Views of which entry processes hold the teams' tokens, and the shares that follow from a view. */
import { getRendezvousOrder } from '@anvilpaddle/common';
import type { LimitView } from '@anvilpaddle/protocol';
import { DEFAULT_HOLDERS_PER_TEAM } from './constants';

/** Addresses of the entry processes that hold a team's tokens, by rendezvous hashing, best first. */
export const getHolders = (
  team: string,
  members: readonly string[],
  maxHolders: number,
): readonly string[] => getRendezvousOrder(team, members).slice(0, maxHolders);

/**
 * Fraction of a team's rate and burst that an address holds, given the team's holders among the
 * members. It leaves room for the processes that are joining, so that they can become members
 * without the shares adding up to more than the whole.
 */
export const getShareFraction = (
  address: string,
  team: string,
  view: LimitView,
  holders: readonly string[],
): number => {
  if (!holders.includes(address)) return 0;
  const fraction = 1 / holders.length;
  if (view.joining.length === 0) return fraction;
  const nextHolders = getHolders(team, [...holders, ...view.joining], view.holders);
  return nextHolders.includes(address) ? Math.min(fraction, 1 / nextHolders.length) : 0;
};

/**
 * Next view, in which an address is joining, or is the only member if there was none; undefined when
 * the view already contains the address.
 */
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

/**
 * Next view, in which the joining addresses are members. Every member must have confirmed the
 * current view first.
 */
export const getCommitView = (view: LimitView): LimitView => ({
  ...view,
  epoch: view.epoch + 1,
  members: [...view.members, ...view.joining],
  joining: [],
});

/** Next view without the stopped processes; undefined when the view contains none of them. */
export const getRemoveView = (
  view: LimitView,
  stopped: ReadonlySet<string>,
): LimitView | undefined => {
  const members = view.members.filter((address) => !stopped.has(address));
  const joining = view.joining.filter((address) => !stopped.has(address));
  const isSame = members.length + joining.length === view.members.length + view.joining.length;
  return isSame ? undefined : { ...view, epoch: view.epoch + 1, members, joining };
};
