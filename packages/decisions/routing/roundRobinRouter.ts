import type { Member } from '@anvilpaddle/protocol';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/** Picks the candidates in turn; a baseline for measurements. */
export class RoundRobinRouter implements Router {
  private turn = 0;

  pick(members: readonly Member[], criteria: RoutingCriteria): Member | undefined {
    const candidates = getCandidates(members, criteria);
    this.turn += 1;
    return candidates[this.turn % Math.max(1, candidates.length)];
  }

  started(): void {}

  ended(): void {}
}
