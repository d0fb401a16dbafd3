/** Membership: which processes run, and in what state, from heartbeats and the VM list. */
import {
  getContacts,
  getHeartbeatIntervalMs,
  getHeartbeatPhase,
  newMemberTable,
  type Fanout,
} from '@anvilpaddle/decisions';
import { newMailbox, type Clock, type Logger } from '@anvilpaddle/common';
import type { Vm, VmList } from '@anvilpaddle/platform';
import type { Load, Member } from '@anvilpaddle/protocol';
import type { PeerClient } from '../peers/peerClient';

const FANOUT: Fanout = { sidecarsPerGroup: 32, entries: 4 };
/**
 * Heartbeats that a process sends per second to all its contacts together, by role. The limit is
 * lower for sidecars, because each entry receives the heartbeats of many sidecars and sends
 * heartbeats to the sidecars itself.
 */
const MAX_HEARTBEATS_PER_SECOND = { entry: 6, sidecar: 1 } as const;
/** Missed heartbeats after which a member counts as unreachable, if the timeout is not longer. */
const MAX_MISSED_HEARTBEATS = 3;
/** Checks for due heartbeats in one heartbeat interval. */
const TICKS_PER_HEARTBEAT = 4;

/** Exchanges heartbeats with other processes of the fleet and tracks which of them can get work. */
export interface MemberController {
  /** Members that may be given work. */
  live(): Member[];
  /** Members seen within the timeout, including leaving ones. */
  recentlySeen(): Member[];
  /** The VM list of the platform as last read; it can be out of date. */
  listed(): readonly Vm[];
  /** Records a heartbeat and returns the state of this process as the response. */
  recordHeartbeat(member: Member): Member;
  /** Records the load that a member reported outside of a heartbeat. */
  updateLoad(vm: string, load: Load): void;
  /** Records that a member was unreachable; it gets no work until its next heartbeat. */
  recordFailure(vm: string): void;
  /** Sends a heartbeat to all known processes at once, for example before a planned stop. */
  announce(): Promise<void>;
  /** Stops sending heartbeats. */
  close(): Promise<void>;
}

/** Intervals and timeout of membership, in milliseconds. */
export interface MemberTiming {
  /** Minimum interval between heartbeats to one contact. */
  readonly heartbeatIntervalMs: number;
  /** Time without a heartbeat after which a member counts as unreachable. */
  readonly silenceMs: number;
  /** Interval at which the VM list is read. */
  readonly listIntervalMs: number;
}

/** Message to the mailbox of the controller. */
type Message =
  | { readonly kind: 'tick' }
  | { readonly kind: 'read_list' }
  | { readonly kind: 'missed'; readonly vm: string; readonly sentMs: number }
  | { readonly kind: 'heartbeat'; readonly member: Member; readonly sentMs: number };

/** Starts the controller; `getSelf` returns the state of this process at the time of the call. */
export const newMemberController = (
  vms: VmList,
  peers: PeerClient,
  getSelf: () => Member,
  timing: MemberTiming,
  clock: Clock,
  log: Logger,
): MemberController => {
  /** Time of the next heartbeat to each contact, by VM. */
  const dueMs = new Map<string, number>();
  /** Addresses with a heartbeat that has not been answered yet. */
  const pending = new Set<string>();
  /** Processes that get heartbeats from this one. */
  let contacts: readonly Vm[] = [];

  const getIntervalMs = (): number =>
    getHeartbeatIntervalMs(
      contacts.length,
      timing.heartbeatIntervalMs,
      MAX_HEARTBEATS_PER_SECOND[getSelf().role],
    );
  const members = newMemberTable(() =>
    Math.max(timing.silenceMs, MAX_MISSED_HEARTBEATS * getIntervalMs()),
  );

  const getSelfVm = (): Vm => {
    const { vm, address, role, failureDomain, group } = getSelf();
    return { vm, address, role, failureDomain, group, state: 'live' };
  };

  const post = (message: Message): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the mailbox handles what is posted here
    mailbox.post(message);
  };

  /** Sends a heartbeat to one contact, unless the last one is still unanswered. */
  const sendHeartbeat = async ({ vm, address }: Vm): Promise<void> => {
    if (pending.has(address)) return;
    pending.add(address);
    const sentMs = clock.monotonic();
    const response = await peers.call(address, 'member.heartbeat', { member: getSelf() });
    pending.delete(address);
    if (!response.ok) {
      post({ kind: 'missed', vm, sentMs });
      return;
    }
    post({ kind: 'heartbeat', member: response.value.member, sentMs });
  };

  const sendDueHeartbeats = (): void => {
    const nowMs = clock.monotonic();
    const intervalMs = getIntervalMs();
    const self = getSelf().vm;
    contacts.forEach((contact) => {
      const { vm } = contact;
      const due = dueMs.get(vm);
      if (due !== undefined && due > nowMs) return;
      // A new contact gets a heartbeat at once, and the later ones with a phase shift of its own.
      const shiftMs = due === undefined ? getHeartbeatPhase(self, vm) * intervalMs : 0;
      dueMs.set(vm, nowMs + intervalMs - shiftMs);
      void sendHeartbeat(contact);
    });
  };

  const readList = async (): Promise<void> => {
    const list = await vms.list();
    if (!list.ok) {
      log.debug({ error: list.error }, 'VM list not read');
      return;
    }
    members.updateList(list.value);
    contacts = getContacts(getSelfVm(), list.value, FANOUT);
    const names = new Set(contacts.map(({ vm }) => vm));
    dueMs.forEach((_, vm) => {
      if (!names.has(vm)) dueMs.delete(vm);
    });
    sendDueHeartbeats();
  };

  const mailbox = newMailbox<Message>(
    (message) => {
      if (message.kind === 'heartbeat') members.recordHeartbeat(message.member, message.sentMs);
      if (message.kind === 'missed') {
        members.recordFailure(message.vm, message.sentMs);
        dueMs.set(message.vm, clock.monotonic() + timing.heartbeatIntervalMs);
      }
      if (message.kind === 'tick') sendDueHeartbeats();
      // Not awaited: a slow response of the platform must not delay the heartbeats.
      if (message.kind === 'read_list') {
        readList().catch((error: unknown) => log.error({ err: error }, 'VM list not read'));
      }
    },
    (error) => log.error({ err: error }, 'member controller failed'),
  );
  const timers = [
    clock.every(timing.heartbeatIntervalMs / TICKS_PER_HEARTBEAT, () =>
      mailbox.post({ kind: 'tick' }),
    ),
    clock.every(timing.listIntervalMs, () => mailbox.post({ kind: 'read_list' })),
  ];
  mailbox.post({ kind: 'read_list' });

  return {
    live: () => members.live(clock.monotonic()),
    recentlySeen: () => members.recentlySeen(clock.monotonic()),
    listed: () => members.listed(),
    recordHeartbeat: (member) => {
      mailbox.post({ kind: 'heartbeat', member, sentMs: clock.monotonic() });
      return getSelf();
    },
    updateLoad: (vm, load) => members.updateLoad(vm, load),
    recordFailure: (vm) => members.recordFailure(vm, clock.monotonic()),
    announce: async () => {
      const recentlySeen = members.recentlySeen(clock.monotonic()).map(({ address }) => address);
      const addresses = new Set([...recentlySeen, ...contacts.map(({ address }) => address)]);
      const self = getSelf();
      await Promise.all(
        [...addresses].map((address) => peers.call(address, 'member.heartbeat', { member: self })),
      );
    },
    close: async () => {
      timers.forEach((timer) => timer.cancel());
      await mailbox.close();
    },
  };
};
