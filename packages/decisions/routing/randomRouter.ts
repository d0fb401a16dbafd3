import { getRandomElement, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/** Picks a random candidate; a baseline for measurements. */
export class RandomRouter implements Router {
  constructor(private readonly random: Random) {}

  pick(members: readonly Member[], criteria: RoutingCriteria): Member | undefined {
    return getRandomElement(getCandidates(members, criteria), this.random);
  }

  started(): void {}

  ended(): void {}
}
