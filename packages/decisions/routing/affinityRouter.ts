import { getRendezvousOrder, getRandomElement, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';
import { newHealth, type Health } from './health';
import { newPressure, type Pressure } from './pressure';
import { getCandidates, type AttemptResult, type Need, type Router } from './router';

const FULL = 1;
/** How far above the average the upstream of a prefix may be before the next one is taken. */
const AFFINITY_BOUND = 1.25;

/** Time in monotonic milliseconds. */
export type Now = () => number;

/**
 * Upstream of the prompt's prefix while it is not much fuller than the others, else the less loaded
 * of two random ones; the entry's failure domain goes first while it has room. Upstreams that fail
 * or are far slower are left out, but never more than half of the candidates.
 */
export class AffinityRouter implements Router {
  private readonly pressure: Pressure = newPressure();

  private readonly health: Health = newHealth();

  constructor(
    private readonly random: Random,
    private readonly now: Now,
  ) {}

  pick(members: readonly Member[], need: Need): Member | undefined {
    const healthy = this.getHealthy(getCandidates(members, need));
    const pool = this.getPool(healthy, need.failureDomain);
    return this.getPrefixOwner(pool, need.prefix) ?? this.getLessLoaded(pool);
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
    const bound = Math.max(FULL, (AFFINITY_BOUND * total) / pool.length);
    const owner = getRendezvousOrder(
      prefix,
      pool.map(({ vm }) => vm),
    ).find((vm) => (pressures.get(vm) ?? 0) < bound);
    return pool.find(({ vm }) => vm === owner);
  }

  private getLessLoaded(pool: readonly Member[]): Member | undefined {
    const first = getRandomElement(pool, this.random);
    const second = getRandomElement(pool, this.random);
    if (first === undefined || second === undefined) return undefined;
    return this.pressure.get(first) <= this.pressure.get(second) ? first : second;
  }
}
