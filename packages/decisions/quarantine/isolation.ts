/** Placement of suspect requests, so that they crash few upstreams and few other requests. */
import { getRendezvousOwner } from '@anvilpaddle/common';

/**
 * The one healthy candidate that all gateways prefer for a part; all candidates if none is healthy.
 */
export const getIsolatedCandidates = <T extends { readonly id: string; readonly weight: number }>(
  part: string,
  candidates: readonly T[],
): readonly T[] => {
  const healthy = candidates.filter(({ weight }) => weight > 0).map(({ id }) => id);
  const preferred = getRendezvousOwner(part, healthy);
  return preferred === undefined ? candidates : candidates.filter(({ id }) => id === preferred);
};
