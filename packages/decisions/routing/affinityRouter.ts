import { getRendezvousOrder, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { newHealth, type Health } from './health';
import { newUtilization, type Utilization } from './utilization';
import { getCandidates, type AttemptResult, type RoutingCriteria, type Router } from './router';

const FULL = 1;
/** Pressure up to which a prefix stays with its upstream: a multiple of the average and a slack. */
const AFFINITY_FACTOR = 1.1;
const AFFINITY_SLACK = 0.1;

const CHOICES = 2;

/** Distinct random elements, at most so many. */
const getSample = <T>(items: readonly T[], count: number, random: Random): T[] => {
  const rest = [...items];
  const sample: T[] = [];
  while (sample.length < count && rest.length > 0) {
    sample.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return sample;
};

/** Time in monotonic milliseconds. */
export type GetNowMs = () => number;

/**
 * Upstream of the prompt's prefix while it is not much fuller than the others, else the less loaded
 * of two random ones, from the entry's failure domain while that has room. A prefix has one upstream
 * over all failure domains, since copies in each would share the little cache there is. Upstreams that fail
 * or are far slower are left out, but never more than half of the candidates.
 */
export class AffinityRouter implements Router {
  private readonly pressure: Utilization = newUtilization();

  private readonly health: Health = newHealth();

  constructor(
    private readonly random: Random,
    private readonly now: GetNowMs,
  ) {}

  pick(members: readonly Member[], need: RoutingCriteria): Member | undefined {
    const healthy = this.getHealthy(getCandidates(members, need));
    const owner = this.getPrefixOwner(healthy, need.prefix);
    return owner ?? this.getLessLoaded(this.getPool(healthy, need.failureDomain));
  }

  started(vm: string): void {
    this.pressure.started(vm);
  }

  ended(vm: string, result: AttemptResult, delayMs: number): void {
    this.pressure.ended(vm);
    this.health.record(vm, result, delayMs, this.now());
  }

  private getHealthy(candidates: readonly Member[]): readonly Member[] {
    const nowMs = this.now();
    const healthy = candidates.filter(({ vm }) => this.random() < this.health.weight(vm, nowMs));
    // When most of them seem unhealthy, the cause lies elsewhere and leaving them out adds to it.
    return healthy.length * 2 >= candidates.length ? healthy : candidates;
  }

  private getPool(candidates: readonly Member[], failureDomain: string): readonly Member[] {
    const near = candidates.filter((member) => member.failureDomain === failureDomain);
    const hasRoom = near.some((member) => this.pressure.get(member) < FULL);
    return hasRoom ? near : candidates;
  }

  private getPrefixOwner(pool: readonly Member[], prefix: string | undefined): Member | undefined {
    if (prefix === undefined) return undefined;
    const pressures = new Map(pool.map((member) => [member.vm, this.pressure.get(member)]));
    const total = [...pressures.values()].reduce((sum, pressure) => sum + pressure, 0);
    const bound = (AFFINITY_FACTOR * total) / pool.length + AFFINITY_SLACK;
    const owner = getRendezvousOrder(
      prefix,
      pool.map(({ vm }) => vm),
    ).find((vm) => (pressures.get(vm) ?? 0) < bound);
    return pool.find(({ vm }) => vm === owner);
  }

  private getLessLoaded(pool: readonly Member[]): Member | undefined {
    const samples = getSample(pool, CHOICES, this.random);
    return samples.reduce<Member | undefined>(
      (best, member) =>
        best === undefined || this.pressure.get(member) < this.pressure.get(best) ? member : best,
      undefined,
    );
  }
}
