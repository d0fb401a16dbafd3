import type { Member } from '@anvilpaddle/protocol';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/** Candidates in turn; a baseline for measurements. */
export class RoundRobinRouter implements Router {
  private turn = 0;

  pick(members: readonly Member[], need: RoutingCriteria): Member | undefined {
    const candidates = getCandidates(members, need);
    this.turn += 1;
    return candidates[this.turn % Math.max(1, candidates.length)];
  }

  started(): void {}

  ended(): void {}
}
