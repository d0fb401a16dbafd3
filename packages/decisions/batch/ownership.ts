/** Decision which gateway owns a job. */
import { getRendezvousOwner } from '@anvilpaddle/common';

/** What a gateway knows of the other gateways when it decides whether to claim a job. */
export interface OwnershipView {
  /** Incarnation of this gateway. */
  readonly self: string;
  /** Incarnations of the gateways that can own jobs, this one included. */
  readonly eligibleOwners: readonly string[];
  /** Whether an incarnation may still be running. */
  isAlive(incarnation: string): boolean;
}

/**
 * Whether this gateway should claim a job: the job has no owner that may be running, and rendezvous
 * hashing assigns it to this gateway.
 */
export const shouldClaimJob = (
  jobId: string,
  owner: string | undefined,
  { self, eligibleOwners, isAlive }: OwnershipView,
): boolean => {
  if (owner === self) return false;
  if (owner !== undefined && isAlive(owner)) return false;
  return getRendezvousOwner(jobId, eligibleOwners) === self;
};
