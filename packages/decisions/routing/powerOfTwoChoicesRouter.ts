import { getRandomElement, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { newUtilization } from './utilization';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/** The less loaded of two random candidates; a baseline for measurements. */
export class PowerOfTwoChoicesRouter implements Router {
  private readonly pressure = newUtilization();

  constructor(private readonly random: Random) {}

  pick(members: readonly Member[], need: RoutingCriteria): Member | undefined {
    const candidates = getCandidates(members, need);
    const first = getRandomElement(candidates, this.random);
    const second = getRandomElement(candidates, this.random);
    if (first === undefined || second === undefined) return undefined;
    return this.pressure.get(first) <= this.pressure.get(second) ? first : second;
  }

  started(vm: string): void {
    this.pressure.started(vm);
  }

  ended(vm: string): void {
    this.pressure.ended(vm);
  }
}
