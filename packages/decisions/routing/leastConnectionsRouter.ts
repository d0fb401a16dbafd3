import type { Member } from '@anvilpaddle/protocol';
import { getCandidates, type RoutingCriteria, type Router } from './router';

/** Fewest attempts of this entry's own; a baseline for measurements. */
export class LeastConnectionsRouter implements Router {
  private readonly open = new Map<string, number>();

  pick(members: readonly Member[], need: RoutingCriteria): Member | undefined {
    return getCandidates(members, need).reduce<Member | undefined>(
      (best, member) =>
        best === undefined || this.getOpen(member.vm) < this.getOpen(best.vm) ? member : best,
      undefined,
    );
  }

  started(vm: string): void {
    this.open.set(vm, this.getOpen(vm) + 1);
  }

  ended(vm: string): void {
    this.open.set(vm, Math.max(0, this.getOpen(vm) - 1));
  }

  private getOpen(vm: string): number {
    return this.open.get(vm) ?? 0;
  }
}
