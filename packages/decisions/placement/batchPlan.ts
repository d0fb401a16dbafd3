import type { Random } from '@anvilpaddle/common';
import { compareUrgency, type ItemTiming } from '../batch/itemOrder';
import type { UpstreamLoad } from './loadTracker';

/** An upstream as the plan for batch items sees it. */
export interface BatchCandidate {
  readonly id: string;
  readonly slots: number;
  readonly load: UpstreamLoad;
  readonly weight: number;
}

/** Batch items of the whole fleet that compete for the same slots. */
export interface CompetingItems<T extends ItemTiming> {
  /** Items of this gateway. */
  readonly own: readonly T[];
  /** Items of the other gateways, as they last told. */
  readonly peers: readonly ItemTiming[];
}

/** Slots of an upstream that neither online nor batch work uses; negative when it has a queue. */
export const getSpareSlots = ({ slots, load, weight }: BatchCandidate): number =>
  weight < 1 ? 0 : slots - load.online - load.batch;

/**
 * Part of the online requests that begin or end until an item has started or yielded, some 200 ms: their
 * number varies by the root of that.
 */
const TURNOVER = 0.6;

/** Slots that stay free for online requests: an item that starts in them yields before it has done anything. */
export const getReservedSlots = (candidates: readonly BatchCandidate[]): number => {
  const online = candidates.reduce((sum, { load }) => sum + load.online, 0);
  return Math.round(Math.sqrt(TURNOVER * online));
};

/**
 * Upstream for the next item: the one with the most spare slots; undefined when none has any.
 * Gateways that decide at the same moment shuffle ties differently.
 */
export const getUpstreamForItem = (
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
 * This gateway's items among the first few of all gateways' by an order. Where a peer's item ranks
 * the same, this gateway's goes first: both act, rather than neither.
 */
const getOwnAmongFirst = <T extends ItemTiming>(
  { own, peers }: CompetingItems<T>,
  count: number,
  compare: (a: ItemTiming, b: ItemTiming) => number,
): T[] => {
  const ranked = [
    ...own.map((item) => ({ item, own: item })),
    ...peers.map((item) => ({ item, own: undefined })),
  ].sort((a, b) => compare(a.item, b.item));
  return ranked.slice(0, Math.max(0, count)).flatMap((entry) => entry.own ?? []);
};

/**
 * Items of this gateway that start, the most urgent first. A slot goes to the most urgent item of all
 * gateways, so that a gateway with few jobs does not run them ahead of those of a gateway with many.
 */
export const getItemsToStart = <T extends ItemTiming>(
  waiting: CompetingItems<T>,
  candidates: readonly BatchCandidate[],
  nowMs: number,
): T[] => {
  const spare = candidates.reduce(
    (sum, candidate) => sum + Math.max(0, getSpareSlots(candidate)),
    -getReservedSlots(candidates),
  );
  return getOwnAmongFirst(waiting, spare, (a, b) => compareUrgency(a, b, nowMs));
};

/**
 * Items of this gateway that yield at an upstream whose work exceeds its slots: the least urgent of
 * all gateways go first.
 */
export const getItemsToPreempt = <T extends ItemTiming>(
  running: CompetingItems<T>,
  { load, slots }: BatchCandidate,
  nowMs: number,
): T[] =>
  getOwnAmongFirst(running, load.online + load.batch - slots, (a, b) =>
    compareUrgency(b, a, nowMs),
  );
