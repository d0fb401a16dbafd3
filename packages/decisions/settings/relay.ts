/** Distribution of the configuration: which processes read from which, and the voters' quorums. */
import { getRendezvousOrder, getRendezvousOwner } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';

const VOTERS_PER_DOMAIN = 3;
/** Number of VMs in a failure domain up to which all of them read from voters directly. */
const MAX_DIRECT_READERS = 64;

/**
 * Entry processes that read the store and hold accepted changes: a few in each failure domain. They
 * are chosen from the platform's list of VMs, which all processes share, rather than from the VMs
 * that one process sees alive.
 */
export const getVoters = (vms: readonly Vm[]): Vm[] => {
  const entryVms = vms.filter(({ role }) => role === 'entry');
  const domains = [...new Set(entryVms.map(({ failureDomain }) => failureDomain))].sort();
  return domains.flatMap((domain) => {
    const inDomain = entryVms.filter(({ failureDomain }) => failureDomain === domain);
    const names = getRendezvousOrder(
      'config',
      inDomain.map(({ vm }) => vm),
    ).slice(0, VOTERS_PER_DOMAIN);
    return inDomain.filter(({ vm }) => names.includes(vm));
  });
};

/** Number of voters that must hold a change before it is acknowledged. */
export const getWriteQuorum = (voterCount: number): number =>
  Math.max(1, Math.ceil(voterCount / 2));

/**
 * Number of voters that must confirm that a process is current. Read and write quorums overlap, so
 * every acknowledged change is held by at least one of these voters.
 */
export const getReadQuorum = (voterCount: number): number => Math.floor(voterCount / 2) + 1;

/** Revision reported by one voter. */
export interface Vote {
  readonly vm: string;
  readonly revision: number;
  /** Whether the voter was current at some time since its start; its vote counts only then. */
  readonly synced: boolean;
}

/** Whether the votes prove that no change after the revision has been acknowledged. */
export const isConfirmedByQuorum = (
  revision: number,
  votes: readonly Vote[],
  voters: readonly string[],
): boolean => {
  if (voters.length === 0) return false;
  const counted = new Set(
    votes
      .filter((vote) => vote.synced && vote.revision <= revision && voters.includes(vote.vm))
      .map(({ vm }) => vm),
  );
  return counted.size >= getReadQuorum(voters.length);
};

/** A process that reads the configuration: its VM and failure domain. */
export interface RelayNode {
  readonly vm: string;
  readonly failureDomain: string;
}

/**
 * Address from which a process reads the configuration: a voter in its failure domain or, in a
 * large domain, one of the relays that read from the voters; undefined when none is known. It
 * depends only on the platform's list of VMs, so that processes spread over the relays without
 * coordination.
 */
export const getConfigSource = (self: RelayNode, vms: readonly Vm[]): string | undefined => {
  const voters = getVoters(vms).filter(({ vm }) => vm !== self.vm);
  const localVoters = voters.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const domainVms = vms.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const isVoter = (name: string): boolean => localVoters.some(({ vm }) => vm === name);
  const candidates = domainVms.filter(({ role, vm }) => role === 'entry' && !isVoter(vm));
  const relays = getRendezvousOrder(
    'relay',
    candidates.map(({ vm }) => vm),
  ).slice(0, domainVms.length > MAX_DIRECT_READERS ? Math.ceil(Math.sqrt(domainVms.length)) : 0);
  const readsFromRelay = relays.length > 0 && !relays.includes(self.vm);
  const directSources = (localVoters.length > 0 ? localVoters : voters).map(({ vm }) => vm);
  const sourceVm = getRendezvousOwner(self.vm, readsFromRelay ? relays : directSources);
  return vms.find(({ vm }) => vm === sourceVm)?.address;
};
