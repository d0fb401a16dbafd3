/** Decisions which batch items start, where, and which are preempted. */
import { getRandomElement, type Random } from '@anvilpaddle/common';
import { getUrgencyOrder, type ItemTiming, type UrgencyOrder } from '../batch/itemOrder';
import type { UpstreamLoad } from './loadTracker';

/** An upstream that may run batch items. */
export interface BatchCandidate {
  readonly id: string;
  readonly slots: number;
  readonly load: UpstreamLoad;
  /** Fraction of its usual load that its health allows; batch items start only at 1. */
  readonly weight: number;
  /** Items that the limit which the upstream names allows now; infinite without a limit. */
  readonly spareTokens: number;
  /** Whether the upstream is slow for now, as it has just started. */
  readonly isCold: boolean;
}

/** Batch items of all gateways that compete for the same slots. */
export interface CompetingItems<T extends ItemTiming> {
  /** Items of this gateway. */
  readonly own: readonly T[];
  /** Items of the other gateways, by their latest reports. */
  readonly peers: readonly ItemTiming[];
}

/** Whether the upstream names a limit. */
export const isLimited = ({ spareTokens }: BatchCandidate): boolean => spareTokens < Infinity;

const getFreeSlots = ({ slots, load }: BatchCandidate): number => slots - load.online - load.batch;

/**
 * Number of items that an upstream can take: its free slots as far as its limit allows, negative if
 * it has more work than slots, 0 if its weight is below 1.
 */
export const getSpareSlots = (candidate: BatchCandidate): number =>
  candidate.weight < 1 ? 0 : Math.min(getFreeSlots(candidate), candidate.spareTokens);

/** Number of requests and items at an upstream beyond its slots. */
const getExcess = (candidate: BatchCandidate): number => -getFreeSlots(candidate);

/** Whether an upstream has more work than slots, so that items there must be preempted. */
export const isOverloaded = (candidate: BatchCandidate): boolean => getExcess(candidate) > 0;

/**
 * Fraction of the online requests that begin or end while an item starts or is preempted, which
 * takes about 200 ms. Their number varies by about the square root of that count.
 */
const TURNOVER_FRACTION = 0.6;

/**
 * Number of slots to keep free for online requests: an item that started in them would be preempted
 * before it made progress.
 */
export const getReservedSlots = (candidates: readonly BatchCandidate[]): number => {
  // What a limit allows items is left by online requests already.
  const unlimited = candidates.filter((candidate) => !isLimited(candidate));
  const online = unlimited.reduce((sum, { load }) => sum + load.online, 0);
  return Math.round(Math.sqrt(TURNOVER_FRACTION * online));
};

/**
 * Upstream whose free slot is the one at a place, from 0, in the order in which items take them: one
 * each of the emptiest upstreams first, by id. A place beyond the last slot stands for the last one.
 */
const getUpstreamAtPlace = (
  candidates: readonly BatchCandidate[],
  place: number,
): string | undefined => {
  let placeLeft = place;
  let ids: string[] = [];
  for (let level = Math.max(0, ...candidates.map(getFreeSlots)); level >= 1; level -= 1) {
    ids = candidates.filter((candidate) => getFreeSlots(candidate) >= level).map(({ id }) => id);
    if (placeLeft < ids.length) return ids.sort()[placeLeft];
    placeLeft -= ids.length;
  }
  return ids.sort().at(-1);
};

/**
 * Upstream for an item; undefined if none can take it. Upstreams with limits go first: online requests
 * can't fill their slots, so an item runs there undisturbed. They are chosen from at random, so that
 * gateways that decide at the same moment spread out. Elsewhere the item takes the free slot of its
 * place among the items that start: gateways that all chose the emptiest upstream would send more
 * items there than it has slots. Cold upstreams go last.
 */
export const getUpstreamForItem = (
  candidates: readonly BatchCandidate[],
  random: Random,
  place = 0,
): string | undefined => {
  const spare = candidates.filter((candidate) => getSpareSlots(candidate) >= 1);
  const warm = spare.filter(({ isCold }) => !isCold);
  const limited = getRandomElement(warm.filter(isLimited), random);
  if (limited !== undefined) return limited.id;
  return getUpstreamAtPlace(warm, place) ?? getRandomElement(spare, random)?.id;
};

/** An item of this gateway with its place among the items of all gateways, from 0. */
export interface PlacedItem<T extends ItemTiming> {
  readonly item: T;
  readonly place: number;
}

/**
 * This gateway's items among the first `count` items of all gateways in an order. An own item goes
 * before a peer's equal item: both gateways act then, instead of neither.
 */
const getOwnItemsAmongFirst = <T extends ItemTiming>(
  { own, peers }: CompetingItems<T>,
  count: number,
  compareFirst: (order: UrgencyOrder, a: ItemTiming, b: ItemTiming) => number,
): PlacedItem<T>[] => {
  if (count <= 0 || own.length === 0) return [];
  const order = getUrgencyOrder([...own, ...peers]);
  const ranked = [
    ...own.map((item) => ({ item, ownItem: item })),
    ...peers.map((item) => ({ item, ownItem: undefined })),
  ].sort((a, b) => compareFirst(order, a.item, b.item));
  return ranked
    .slice(0, count)
    .flatMap(({ ownItem }, place) => (ownItem === undefined ? [] : { item: ownItem, place }));
};

/**
 * Items of this gateway to start, the most urgent first, with their places. Slots go to the most
 * urgent items of all gateways, so that the items of a gateway with few jobs don't overtake those of
 * one with many.
 */
export const getPlacedItemsToStart = <T extends ItemTiming>(
  waiting: CompetingItems<T>,
  candidates: readonly BatchCandidate[],
  nowMs: number,
): PlacedItem<T>[] => {
  const spare = candidates.reduce(
    (sum, candidate) => sum + Math.max(0, getSpareSlots(candidate)),
    -getReservedSlots(candidates),
  );
  return getOwnItemsAmongFirst(waiting, spare, (order, a, b) => order(a, b, nowMs));
};

/** Items of this gateway to start, the most urgent first. */
export const getItemsToStart = <T extends ItemTiming>(
  waiting: CompetingItems<T>,
  candidates: readonly BatchCandidate[],
  nowMs: number,
): T[] => getPlacedItemsToStart(waiting, candidates, nowMs).map(({ item }) => item);

/**
 * Items of this gateway to preempt at an upstream with more work than slots; the least urgent items
 * of all gateways go first.
 */
export const getItemsToPreempt = <T extends ItemTiming>(
  running: CompetingItems<T>,
  candidate: BatchCandidate,
  nowMs: number,
): T[] =>
  getOwnItemsAmongFirst(running, getExcess(candidate), (order, a, b) => order(b, a, nowMs)).map(
    ({ item }) => item,
  );
