import type { Member } from '@anvilpaddle/protocol';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/**
 * Picks the candidate to which this process has the fewest open attempts; a baseline for
 * measurements.
 */
export class LeastConnectionsRouter implements Router {
  private readonly open = new Map<string, number>();

  pick(members: readonly Member[], criteria: RoutingCriteria): Member | undefined {
    return getCandidates(members, criteria).reduce<Member | undefined>(
      (best, member) =>
        best === undefined || this.getOpenCount(member.vm) < this.getOpenCount(best.vm)
          ? member
          : best,
      undefined,
    );
  }

  started(vm: string): void {
    this.open.set(vm, this.getOpenCount(vm) + 1);
  }

  ended(vm: string): void {
    this.open.set(vm, Math.max(0, this.getOpenCount(vm) - 1));
  }

  private getOpenCount(vm: string): number {
    return this.open.get(vm) ?? 0;
  }
}
