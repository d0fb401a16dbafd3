/** Choice of the upstream for a hedge: the second attempt of a request whose first is slow. */
import type { Random } from '@anvilpaddle/common';
import { getTotalLoad } from './loadTracker';
import type { Candidate } from './placement';

/** Fraction of a service's slots that online requests leave free while it has capacity to spare. */
const MIN_SPARE_FRACTION = 0.2;

/** Whether an upstream starts a hedge at once, without a preemption and at no cost to a limit. */
const isIdle = ({ load, slots, weight, limitWaitMs, isCold }: Candidate): boolean =>
  weight === 1 && limitWaitMs === undefined && !isCold && getTotalLoad(load) < slots;

const getSum = (candidates: readonly Candidate[], getValue: (item: Candidate) => number): number =>
  candidates.reduce((sum, candidate) => sum + getValue(candidate), 0);

/** Whether online requests leave enough of the slots free; batch items yield to them. */
const hasCapacityToSpare = (candidates: readonly Candidate[]): boolean => {
  const healthy = candidates.filter(({ weight }) => weight > 0);
  const slots = getSum(healthy, (candidate) => candidate.slots);
  const online = getSum(healthy, ({ load }) => load.online);
  return slots - online >= MIN_SPARE_FRACTION * slots;
};

/**
 * Upstream with the most free slots in the gateway's failure domain, or else in another one; undefined
 * if none has a free slot or the service has no capacity to spare. Ties are broken at random.
 */
export const getHedgeUpstream = (
  candidates: readonly Candidate[],
  random: Random,
): string | undefined => {
  if (!hasCapacityToSpare(candidates)) return undefined;
  const idle = candidates.filter(isIdle);
  const near = idle.filter(({ isSameFailureDomain }) => isSameFailureDomain);
  const ranked = (near.length > 0 ? near : idle)
    .map(({ id, slots, load }) => ({ id, free: slots - getTotalLoad(load) + random() }))
    .sort((a, b) => b.free - a.free);
  return ranked[0]?.id;
};
