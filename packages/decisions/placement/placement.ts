import type { Random } from '@anvilpaddle/common';
import type { UpstreamLoad } from './loadTracker';

/** An upstream as the choice for one online request sees it. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  readonly load: UpstreamLoad;
  /** Share of its usual work that its health allows, 0 to 1. */
  readonly weight: number;
  readonly isSameFailureDomain: boolean;
  /** Mean time of an online request at it, in milliseconds. */
  readonly upstreamMeanMs: number;
  /** Mean time of an online request at all upstreams of its service, in milliseconds. */
  readonly serviceMeanMs: number;
}

/** Facts of the request that bear on the choice. */
export interface RequestTiming {
  /** Time left in which the first byte of the answer is on time, in milliseconds. */
  readonly objectiveLeftMs: number;
  /** Time left in which an answer is of any use, in milliseconds. */
  readonly timeLeftMs: number;
}

/** Where a request goes, or how long even the shortest queue is, in milliseconds. */
export type Placement =
  | { readonly kind: 'send'; readonly upstream: string; readonly waitMs: number }
  | { readonly kind: 'refuse'; readonly queueMs: number };

/** A batch item counts nearly as a request: a free slot is better than one that has to be yielded. */
const BATCH_WEIGHT = 0.9;
/** Preference for an upstream in the gateway's failure domain, in requests. */
const NEAR_BONUS = 0.2;
/** Spread of the choice, in requests: gateways that know the same loads must not all choose alike. */
const SPREAD = 2;
/** Part of the objective that may go by in an upstream's own queue. */
const QUEUE_SHARE = 0.5;

/** Time that a new request waits at an upstream for a slot; batch work yields its slots. */
export const getQueueMs = ({ load, slots, upstreamMeanMs: serviceMs }: Candidate): number => {
  const ahead = load.online - slots + 1;
  return ahead <= 0 ? 0 : (ahead * serviceMs) / slots;
};

const getScore = (candidate: Candidate, random: Random): number => {
  const {
    load,
    slots,
    weight,
    isSameFailureDomain: isNear,
    upstreamMeanMs: serviceMs,
    serviceMeanMs: meanServiceMs,
  } = candidate;
  const work = load.online + load.batch * BATCH_WEIGHT - (isNear ? NEAR_BONUS : 0);
  const place = work + 1 + random() * SPREAD;
  // A slow upstream takes a request as soon as a fast one while it has a slot, but its queue moves slowly.
  const queued = Math.max(0, place - slots) * (serviceMs / meanServiceMs);
  return (Math.min(place, slots) + queued) / (slots * weight);
};

const getLeast = <T>(items: readonly T[], getValue: (item: T) => number): T | undefined =>
  items.reduce<T | undefined>(
    (best, item) => (best === undefined || getValue(item) < getValue(best) ? item : best),
    undefined,
  );

/**
 * Chooses the upstream with the least work for its slots among those that are healthy. When even
 * the shortest queue would use up the objective, the request is refused at once.
 */
export const getPlacement = (
  candidates: readonly Candidate[],
  demand: RequestTiming,
  random: Random,
): Placement => {
  const healthy = candidates.filter(({ weight }) => weight > 0);
  // With no healthy one left, a suspect is better than none.
  const usable = healthy.length > 0 ? healthy : candidates.map((c) => ({ ...c, weight: 1 }));
  const scored = usable.map((candidate) => ({ candidate, score: getScore(candidate, random) }));
  const best = getLeast(scored, ({ score }) => score)?.candidate;
  if (best === undefined) return { kind: 'refuse', queueMs: 0 };
  const queueMs = getQueueMs(best);
  const limitMs = Math.min(demand.timeLeftMs, demand.objectiveLeftMs * QUEUE_SHARE);
  if (queueMs <= Math.max(0, limitMs)) return { kind: 'send', upstream: best.id, waitMs: queueMs };
  return { kind: 'refuse', queueMs };
};
