import { getRendezvousOrder, getRendezvousOwner } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';

const VOTERS_PER_DOMAIN = 3;
const DIRECT_READERS = 64;

/**
 * Entries that read the store and hold what is accepted: a few of each failure domain in the
 * platform's list, which all nodes share, rather than those that one node sees alive.
 */
export const getVoters = (vms: readonly Vm[]): Vm[] => {
  const entries = vms.filter(({ role }) => role === 'entry');
  const domains = [...new Set(entries.map(({ failureDomain }) => failureDomain))].sort();
  return domains.flatMap((domain) => {
    const inDomain = entries.filter(({ failureDomain }) => failureDomain === domain);
    const names = getRendezvousOrder(
      'config',
      inDomain.map(({ vm }) => vm),
    ).slice(0, VOTERS_PER_DOMAIN);
    return inDomain.filter(({ vm }) => names.includes(vm));
  });
};

/** Voters that must hold a change before it is acknowledged. */
export const getWriteQuorum = (voters: number): number => Math.max(1, Math.ceil(voters / 2));

/** Voters whose word makes a node current; one of them is among the holders of any change. */
export const getReadQuorum = (voters: number): number => Math.floor(voters / 2) + 1;

/** What one voter has said. */
export interface Vote {
  readonly vm: string;
  readonly revision: number;
  /** Current at some time since its start; one that has forgotten has no vote. */
  readonly synced: boolean;
}

/** Whether the votes show that no change beyond the revision has been acknowledged. */
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

/** Place of this process in the relay. */
export interface RelayNode {
  readonly vm: string;
  readonly failureDomain: string;
}

/**
 * Address that a node asks for news: a voter of its failure domain, or, in a large domain, one of
 * the relays that ask the voters; undefined when none is known. Worked out from the platform's list
 * alone, so that the nodes spread over the relays without a word between them.
 */
export const getConfigSource = (self: RelayNode, vms: readonly Vm[]): string | undefined => {
  const voters = getVoters(vms).filter(({ vm }) => vm !== self.vm);
  const near = voters.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const domain = vms.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const isVoter = (name: string): boolean => near.some(({ vm }) => vm === name);
  const entries = domain.filter(({ role, vm }) => role === 'entry' && !isVoter(vm));
  const relays = getRendezvousOrder(
    'relay',
    entries.map(({ vm }) => vm),
  ).slice(0, domain.length > DIRECT_READERS ? Math.ceil(Math.sqrt(domain.length)) : 0);
  const isRelayed = relays.length > 0 && !relays.includes(self.vm);
  const direct = (near.length > 0 ? near : voters).map(({ vm }) => vm);
  const source = getRendezvousOwner(self.vm, isRelayed ? relays : direct);
  return vms.find(({ vm }) => vm === source)?.address;
};
