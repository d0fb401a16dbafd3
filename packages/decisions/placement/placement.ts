/** Choice of the upstream for an online request. */
import type { Random } from '@anvilpaddle/common';
import { getTotalLoad, type UpstreamLoad } from './loadTracker';

/** An upstream that may be chosen for an online request. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  readonly load: UpstreamLoad;
  /** Fraction of its usual load that its health allows, from 0 to 1; 0 if it is ejected. */
  readonly weight: number;
  readonly isSameFailureDomain: boolean;
  /** Mean duration of an online request at this upstream, in milliseconds. */
  readonly upstreamMeanMs: number;
  /** Mean duration of an online request over all upstreams of the service, in milliseconds. */
  readonly serviceMeanMs: number;
  /**
   * Time until the limit that the upstream names allows this gateway a request, in milliseconds;
   * undefined without a limit.
   */
  readonly limitWaitMs: number | undefined;
  /** Whether the upstream is slow for now, as it has just started. */
  readonly isCold: boolean;
}

/** Times left for a request. */
export interface RequestTiming {
  /** Time left until the latency objective of the response's first byte, in milliseconds. */
  readonly objectiveLeftMs: number;
  /** Time left until the request times out, in milliseconds. */
  readonly timeLeftMs: number;
  /**
   * Longest wait for a slot that is allowed whatever time is left, in milliseconds; 0 for a request that
   * may only have a free slot. Without a bound by default.
   */
  readonly maxWaitMs?: number;
}

/** Why no upstream can be chosen. */
export interface Shortage {
  /** Expected wait at the best upstream whose limit allows a request, in milliseconds. */
  readonly queueMs: number;
  /** Time until a limit allows a request, in milliseconds; undefined if limits are no reason. */
  readonly limitWaitMs?: number;
}

/** The chosen upstream with the expected wait, or a refusal. */
export type Placement =
  | { readonly kind: 'send'; readonly upstream: string; readonly waitMs: number }
  | ({ readonly kind: 'refuse' } & Shortage);

/** Weight of a batch item in requests: a free slot is better than one that needs a preemption. */
const BATCH_ITEM_WEIGHT = 0.9;
/** Bonus of an upstream in the gateway's failure domain, in requests. */
const SAME_FAILURE_DOMAIN_BONUS = 0.2;
/** Random part of the score, in requests, so that gateways that know the same loads spread out. */
const RANDOM_SPREAD = 2;
/**
 * Number of upstreams drawn at random, of which the least loaded is chosen. Gateways that know the same
 * old loads would all choose the one that was least loaded then.
 */
export const DRAWN_UPSTREAMS = 8;
/** Maximum fraction of the time left to the objective that a request may wait at the upstream. */
const MAX_QUEUE_FRACTION = 0.5;

/** Expected wait of a new request for a slot; batch items don't count, as they are preempted. */
export const getQueueMs = ({ load, slots, upstreamMeanMs }: Candidate): number => {
  const ahead = load.online - slots + 1;
  return ahead <= 0 ? 0 : (ahead * upstreamMeanMs) / slots;
};

/** Load with one more request, per slot; queued requests are weighted by the slowness. */
const getLoadScore = (candidate: Candidate, random: Random): number => {
  const { load, slots, weight, isSameFailureDomain, upstreamMeanMs, serviceMeanMs } = candidate;
  const work =
    load.online +
    load.batch * BATCH_ITEM_WEIGHT -
    (isSameFailureDomain ? SAME_FAILURE_DOMAIN_BONUS : 0);
  const position = work + 1 + random() * RANDOM_SPREAD;
  // With a free slot a slow upstream starts a request as soon as a fast one; its queue is slower.
  const queued = Math.max(0, position - slots) * (upstreamMeanMs / serviceMeanMs);
  return (Math.min(position, slots) + queued) / (slots * weight);
};

/** The item with the lowest value. */
const getMinBy = <T>(items: readonly T[], getValue: (item: T) => number): T | undefined =>
  items.reduce<T | undefined>(
    (best, item) => (best === undefined || getValue(item) < getValue(best) ? item : best),
    undefined,
  );

const getLeastLoaded = (
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined => {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: getLoadScore(candidate, random),
  }));
  return getMinBy(scored, ({ score }) => score)?.candidate;
};

/** Some of the items, drawn at random; all of them if there are no more than `count`. */
const getDrawn = <T>(items: readonly T[], count: number, random: Random): readonly T[] => {
  if (items.length <= count) return items;
  const left = [...items];
  return Array.from({ length: count }, () => {
    const index = Math.floor(random() * left.length);
    const [drawn] = left.splice(index, 1) as [T];
    return drawn;
  });
};

/** Shortage where no limit allows a request, or where there is no upstream. */
const getLimitShortage = (candidates: readonly Candidate[]): Shortage =>
  candidates.length === 0
    ? { queueMs: 0 }
    : {
        queueMs: 0,
        limitWaitMs: Math.min(...candidates.map(({ limitWaitMs = 0 }) => limitWaitMs)),
      };

/** Whether the upstream has a limit or is cold, so that others go first while they have a free slot. */
const isSpared = ({ limitWaitMs, isCold }: Candidate): boolean =>
  limitWaitMs !== undefined || isCold;

/** Whether the upstream has a free slot, and need not be spared. */
const isFree = (candidate: Candidate): boolean =>
  !isSpared(candidate) && getTotalLoad(candidate.load) < candidate.slots;

/**
 * Candidates whose limits allow a request. What a limit allows, and what a cold upstream takes, is kept
 * for times without free slots elsewhere, and for batch items.
 */
const getPreferred = (candidates: readonly Candidate[]): readonly Candidate[] => {
  const allowed = candidates.filter(({ limitWaitMs = 0 }) => limitWaitMs <= 0);
  const free = allowed.some(isSpared) ? allowed.filter(isFree) : [];
  return free.length > 0 ? free : allowed;
};

/**
 * Chooses the healthy upstream with the least load relative to its slots, among some of those whose
 * limits allow a request now; one with a limit only if no other has a free slot. If the request would
 * wait too long there, it looks at all of them. It is refused if there is none, or if its wait would
 * exceed the time left, `MAX_QUEUE_FRACTION` of the time left until the latency objective, or what it
 * is allowed to wait at most.
 */
export const getPlacement = (
  candidates: readonly Candidate[],
  { timeLeftMs, objectiveLeftMs, maxWaitMs = Infinity }: RequestTiming,
  random: Random,
  drawnUpstreams = DRAWN_UPSTREAMS,
): Placement => {
  const healthy = candidates.filter(({ weight }) => weight > 0);
  // If no upstream is healthy, all are tried: a suspect one is better than none.
  const usable = healthy.length > 0 ? healthy : candidates.map((c) => ({ ...c, weight: 1 }));
  const preferred = getPreferred(usable);
  const maxQueueMs = Math.max(
    0,
    Math.min(timeLeftMs, objectiveLeftMs * MAX_QUEUE_FRACTION, maxWaitMs),
  );
  const drawn = getDrawn(preferred, drawnUpstreams, random);
  const chosen = getLeastLoaded(drawn, random);
  if (chosen === undefined) return { kind: 'refuse', ...getLimitShortage(usable) };
  const isLookingFurther = drawn.length < preferred.length && getQueueMs(chosen) > maxQueueMs;
  const further = isLookingFurther ? (getLeastLoaded(preferred, random) ?? chosen) : chosen;
  // The score may prefer an upstream with a queue to one whose slots batch items hold.
  const isWithinMaxWait = (candidate: Candidate): boolean => getQueueMs(candidate) <= maxWaitMs;
  const best = isWithinMaxWait(further)
    ? further
    : (getLeastLoaded(preferred.filter(isWithinMaxWait), random) ?? further);
  const queueMs = getQueueMs(best);
  return queueMs <= maxQueueMs
    ? { kind: 'send', upstream: best.id, waitMs: queueMs }
    : { kind: 'refuse', queueMs };
};
