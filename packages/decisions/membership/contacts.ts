import { getHash, getRendezvousOrder, MS_PER_SECOND } from '@anvilpaddle/common';
import { NODE_ROLE, type Vm } from '@anvilpaddle/platform';

/** How many other processes one process sends heartbeats to. */
export interface Fanout {
  /** Sidecars of each group that an entry routes to. */
  readonly sidecarsPerGroup: number;
  /** Entries that a process hears from, for the configuration and for its own group. */
  readonly entries: number;
}

const getName = ({ vm }: Vm): string => vm;

const getSubset = (self: string, vms: readonly Vm[], size: number): Vm[] => {
  if (vms.length <= size) return [...vms];
  const order = new Set(getRendezvousOrder(self, vms.map(getName)).slice(0, size));
  return vms.filter(({ vm }) => order.has(vm));
};

const getSidecarContacts = (self: Vm, sidecars: readonly Vm[], size: number): Vm[] => {
  const groups = new Map<string, Vm[]>();
  sidecars.forEach((vm) => {
    const group = vm.group ?? '';
    groups.set(group, [...(groups.get(group) ?? []), vm]);
  });
  return [...groups.values()].flatMap((group) => {
    const near = group.filter((vm) => vm.failureDomain === self.failureDomain);
    const far = group.filter((vm) => vm.failureDomain !== self.failureDomain);
    // Half of the subset stays within the failure domain; the rest survives its loss.
    const nearby = getSubset(self.vm, near, Math.max(Math.ceil(size / 2), size - far.length));
    return [...nearby, ...getSubset(self.vm, far, size - nearby.length)];
  });
};

/**
 * Processes that this one sends heartbeats to. The subset is stable: one VM more or less in the
 * list changes few contacts. Sidecars hear only from entries.
 */
export const getContacts = (self: Vm, listed: readonly Vm[], fanout: Fanout): Vm[] => {
  const others = listed.filter(({ vm }) => vm !== self.vm);
  const entries = others.filter(({ role }) => role === NODE_ROLE.entry);
  const entryContacts = getSubset(self.vm, entries, fanout.entries);
  if (self.role === NODE_ROLE.sidecar) return entryContacts;
  const sidecars = others.filter(({ role }) => role === NODE_ROLE.sidecar);
  return [...entryContacts, ...getSidecarContacts(self, sidecars, fanout.sidecarsPerGroup)];
};

/**
 * Time between two heartbeats to one contact in milliseconds: the base, or longer when there are so
 * many contacts that the base would go beyond the messages a second that a process may send.
 */
export const getHeartbeatIntervalMs = (
  contacts: number,
  baseMs: number,
  maxMessagesPerSecond: number,
): number => Math.max(baseMs, (contacts * MS_PER_SECOND) / maxMessagesPerSecond);

/** Part of the interval by which a process's heartbeats are shifted against those of others. */
export const getHeartbeatPhase = (self: string, contact: string): number =>
  (getHash(`${self}\n${contact}`) % 1000) / 1000;
