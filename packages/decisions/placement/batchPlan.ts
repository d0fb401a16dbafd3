import type { Random } from '@anvilpaddle/common';
import type { UpstreamLoad } from './loadBoard';

/** An upstream as the plan for batch items sees it. */
export interface BatchCandidate {
  readonly id: string;
  readonly slots: number;
  readonly load: UpstreamLoad;
  readonly weight: number;
  /** Items of this gateway at it. */
  readonly ownItems: number;
  /** Items of each other gateway at it. */
  readonly itemsByPeer: ReadonlyMap<string, number>;
}

/** Slots that stay free for online requests that arrive until an item has yielded. */
const RESERVED_SLOTS = 1;

/** Slots of an upstream that neither online nor batch work uses, less the reserve. */
export const getSpareSlots = ({ slots, load, weight }: BatchCandidate): number =>
  weight < 1 ? 0 : slots - RESERVED_SLOTS - load.online - load.batch;

/**
 * Upstream for the next item: the one with the most spare slots; undefined when none has any.
 * Gateways that decide at the same moment shuffle ties differently.
 */
export const getItemPlace = (
  candidates: readonly BatchCandidate[],
  random: Random,
): string | undefined => {
  const spare = candidates
    .map((candidate) => ({ id: candidate.id, slots: getSpareSlots(candidate) + random() }))
    .filter(({ slots }) => slots >= 1)
    .sort((a, b) => b.slots - a.slots);
  return spare[0]?.id;
};

/**
 * Number of this gateway's items that yield at an upstream whose work exceeds its slots. All
 * gateways know the same loads, and the names' order settles whose items go first.
 */
export const getYieldCount = (self: string, candidate: BatchCandidate): number => {
  const { slots, load, ownItems, itemsByPeer } = candidate;
  const excess = load.online + load.batch - slots;
  if (excess <= 0 || ownItems === 0) return 0;
  const before = [...itemsByPeer]
    .filter(([peer]) => peer < self)
    .reduce((sum, [, items]) => sum + items, 0);
  return Math.max(0, Math.min(ownItems, excess - before));
};
