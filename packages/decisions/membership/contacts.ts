/** Which processes a process sends heartbeats to, and when. */
import { getHash, getRendezvousOrder, MS_PER_SECOND } from '@anvilpaddle/common';
import { VM_ROLE, type Vm } from '@anvilpaddle/platform';

/** Number of processes that one process sends heartbeats to. */
export interface Fanout {
  /** Sidecars that an entry process contacts in each upstream group. */
  readonly sidecarsPerGroup: number;
  /** Entry processes that a process contacts, for the configuration and for its own group. */
  readonly entries: number;
}

const getVmName = ({ vm }: Vm): string => vm;

/** Stable subset of VMs for a process, chosen by rendezvous hashing. */
const getSubset = (self: string, vms: readonly Vm[], size: number): Vm[] => {
  if (vms.length <= size) return [...vms];
  const chosen = new Set(getRendezvousOrder(self, vms.map(getVmName)).slice(0, size));
  return vms.filter(({ vm }) => chosen.has(vm));
};

const getSidecarContacts = (self: Vm, sidecars: readonly Vm[], size: number): Vm[] => {
  const groups = new Map<string, Vm[]>();
  sidecars.forEach((vm) => {
    const group = vm.group ?? '';
    groups.set(group, [...(groups.get(group) ?? []), vm]);
  });
  return [...groups.values()].flatMap((group) => {
    const sameDomain = group.filter((vm) => vm.failureDomain === self.failureDomain);
    const otherDomains = group.filter((vm) => vm.failureDomain !== self.failureDomain);
    // Half of the subset is in the same failure domain; the other half survives the loss of it. Where
    // one side has too few sidecars, the other side fills up the subset.
    const localContacts = getSubset(
      self.vm,
      sameDomain,
      Math.max(Math.ceil(size / 2), size - otherDomains.length),
    );
    return [...localContacts, ...getSubset(self.vm, otherDomains, size - localContacts.length)];
  });
};

/**
 * Processes that a process sends heartbeats to. The subset is stable: adding or removing one VM in
 * the list changes few contacts. A sidecar has only entry processes as contacts.
 */
export const getContacts = (self: Vm, listed: readonly Vm[], fanout: Fanout): Vm[] => {
  const others = listed.filter(({ vm }) => vm !== self.vm);
  const entries = others.filter(({ role }) => role === VM_ROLE.entry);
  const entryContacts = getSubset(self.vm, entries, fanout.entries);
  if (self.role === VM_ROLE.sidecar) return entryContacts;
  const sidecars = others.filter(({ role }) => role === VM_ROLE.sidecar);
  return [...entryContacts, ...getSidecarContacts(self, sidecars, fanout.sidecarsPerGroup)];
};

/**
 * Time between two heartbeats to the same contact, in milliseconds: `baseMs`, or longer when there
 * are so many contacts that `baseMs` would exceed the number of messages per second that a process
 * may send.
 */
export const getHeartbeatIntervalMs = (
  contacts: number,
  baseMs: number,
  maxMessagesPerSecond: number,
): number => Math.max(baseMs, (contacts * MS_PER_SECOND) / maxMessagesPerSecond);

/**
 * Fraction of the interval by which a process delays its heartbeats to a contact, so that the
 * heartbeats of different processes are spread over the interval.
 */
export const getHeartbeatPhase = (self: string, contact: string): number =>
  (getHash(`${self}\n${contact}`) % 1000) / 1000;
