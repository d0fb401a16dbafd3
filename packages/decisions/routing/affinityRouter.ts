/** Router by prompt prefix, load and health. */
import { getRendezvousOrder, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { newHealth, type Health } from './health';
import { newUtilization, type Utilization } from './utilization';
import { getCandidates, type AttemptResult, type RoutingCriteria, type Router } from './router';

/** Utilization at which every slot is taken. */
const FULL_UTILIZATION = 1;
/**
 * An upstream gets the requests of its prefixes while its utilization is below the average of all
 * candidates times the factor, plus the slack (consistent hashing with bounded loads).
 */
const AFFINITY_LOAD_FACTOR = 1.1;
const AFFINITY_LOAD_SLACK = 0.1;

/** Candidates of which the least loaded is picked when no prefix decides. */
const RANDOM_CHOICES = 2;

/** Up to `count` distinct random elements. */
const getRandomSample = <T>(items: readonly T[], count: number, random: Random): T[] => {
  const remaining = [...items];
  const sample: T[] = [];
  while (sample.length < count && remaining.length > 0) {
    sample.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return sample;
};

/** Current monotonic time in milliseconds. */
export type GetNowMs = () => number;

/**
 * Sends requests with the same prompt prefix to the same upstream, as long as that is not much more
 * loaded than the others. Otherwise picks the less loaded of two random candidates, from the entry
 * process's failure domain while that has a free slot.
 *
 * Each prefix has one upstream across all failure domains, because a copy per domain would take up
 * the limited prefix caches. Upstreams that fail or are far slower than the others are skipped, but
 * never more than half of the candidates.
 */
export class AffinityRouter implements Router {
  private readonly utilization: Utilization = newUtilization();

  private readonly health: Health = newHealth();

  constructor(
    private readonly random: Random,
    private readonly getNowMs: GetNowMs,
  ) {}

  pick(members: readonly Member[], criteria: RoutingCriteria): Member | undefined {
    const healthy = this.getHealthy(getCandidates(members, criteria));
    const owner = this.getPrefixOwner(healthy, criteria.prefix);
    return owner ?? this.getLeastLoadedOfSample(this.getPreferred(healthy, criteria.failureDomain));
  }

  started(vm: string): void {
    this.utilization.started(vm);
  }

  ended(vm: string, result: AttemptResult, firstByteMs: number): void {
    this.utilization.ended(vm);
    this.health.record(vm, result, firstByteMs, this.getNowMs());
  }

  private getHealthy(candidates: readonly Member[]): readonly Member[] {
    const nowMs = this.getNowMs();
    const healthy = candidates.filter(({ vm }) => this.random() < this.health.weight(vm, nowMs));
    // If most candidates seem unhealthy, the cause lies elsewhere and skipping them makes it worse.
    return healthy.length * 2 >= candidates.length ? healthy : candidates;
  }

  /** Candidates of the failure domain while one of them has a free slot, else all candidates. */
  private getPreferred(candidates: readonly Member[], failureDomain: string): readonly Member[] {
    const local = candidates.filter((member) => member.failureDomain === failureDomain);
    const hasFreeSlot = local.some((member) => this.utilization.get(member) < FULL_UTILIZATION);
    return hasFreeSlot ? local : candidates;
  }

  /** First candidate in the prefix's rendezvous order that is not overloaded. */
  private getPrefixOwner(
    candidates: readonly Member[],
    prefix: string | undefined,
  ): Member | undefined {
    if (prefix === undefined) return undefined;
    const utilizations = new Map(
      candidates.map((member) => [member.vm, this.utilization.get(member)]),
    );
    const total = [...utilizations.values()].reduce((sum, utilization) => sum + utilization, 0);
    const maxUtilization = (AFFINITY_LOAD_FACTOR * total) / candidates.length + AFFINITY_LOAD_SLACK;
    const owner = getRendezvousOrder(
      prefix,
      candidates.map(({ vm }) => vm),
    ).find((vm) => (utilizations.get(vm) ?? 0) < maxUtilization);
    return candidates.find(({ vm }) => vm === owner);
  }

  /** Least loaded of a few random candidates. */
  private getLeastLoadedOfSample(candidates: readonly Member[]): Member | undefined {
    const sample = getRandomSample(candidates, RANDOM_CHOICES, this.random);
    return sample.reduce<Member | undefined>(
      (best, member) =>
        best === undefined || this.utilization.get(member) < this.utilization.get(best)
          ? member
          : best,
      undefined,
    );
  }
}
