import { getRandomElement, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { newUtilization } from './utilization';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/**
 * Picks the less loaded of two random candidates, which may be the same one; a baseline for
 * measurements.
 */
export class PowerOfTwoChoicesRouter implements Router {
  private readonly utilization = newUtilization();

  constructor(private readonly random: Random) {}

  pick(members: readonly Member[], criteria: RoutingCriteria): Member | undefined {
    const candidates = getCandidates(members, criteria);
    const first = getRandomElement(candidates, this.random);
    const second = getRandomElement(candidates, this.random);
    if (first === undefined || second === undefined) return undefined;
    return this.utilization.get(first) <= this.utilization.get(second) ? first : second;
  }

  started(vm: string): void {
    this.utilization.started(vm);
  }

  ended(vm: string): void {
    this.utilization.ended(vm);
  }
}
