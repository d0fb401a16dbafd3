import { getRandomElement, type Random } from '@anvilpaddle/common';
import type { Member } from '@anvilpaddle/protocol';

/** What a request needs of an upstream. */
export interface Need {
  readonly group: string;
  readonly model?: string | undefined;
  /** Failure domain of the entry, preferred. */
  readonly failureDomain: string;
  /** Hash of the prompt's start; requests with the same hash share a cached prefix. */
  readonly prefix?: string | undefined;
  /** Sidecars that this request has tried already. */
  readonly tried: ReadonlySet<string>;
}

/** Chooses the sidecar for a request. */
export interface Router {
  pick(members: readonly Member[], need: Need): Member | undefined;
}

/** Whether a member can serve the need at all. */
export const isCandidate = (member: Member, need: Need): boolean =>
  member.role === 'sidecar' &&
  !member.leaving &&
  member.group === need.group &&
  (need.model === undefined || member.models.includes(need.model)) &&
  !need.tried.has(member.vm);

const getPressure = (member: Member): number => {
  const load = member.load ?? { running: 0, waiting: 0, slots: 1 };
  return (load.running + load.waiting) / Math.max(1, load.slots);
};

/** Least loaded of two random candidates, in the entry's failure domain when there are any. */
export class LeastOfTwoRouter implements Router {
  constructor(private readonly random: Random) {}

  pick(members: readonly Member[], need: Need): Member | undefined {
    const candidates = members.filter((member) => isCandidate(member, need));
    const near = candidates.filter((member) => member.failureDomain === need.failureDomain);
    const pool = near.length > 0 ? near : candidates;
    const first = getRandomElement(pool, this.random);
    const second = getRandomElement(pool, this.random);
    if (first === undefined || second === undefined) return undefined;
    return getPressure(first) <= getPressure(second) ? first : second;
  }
}
