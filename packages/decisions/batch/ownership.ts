import { getRendezvousOwner } from '@anvilpaddle/common';

/** What a gateway knows when it looks at a job that has an owner or none. */
export interface OwnershipView {
  readonly self: string;
  /** Incarnations of the gateways that can take jobs, this one included. */
  readonly eligibleOwners: readonly string[];
  /** Whether an incarnation may still be at work. */
  isAlive(incarnation: string): boolean;
}

/** Whether this gateway should claim a job: its owner is gone and this gateway is next. */
export const shouldClaimJob = (
  jobId: string,
  owner: string | undefined,
  { self, eligibleOwners: takers, isAlive }: OwnershipView,
): boolean => {
  if (owner === self) return false;
  if (owner !== undefined && isAlive(owner)) return false;
  return getRendezvousOwner(jobId, takers) === self;
};
