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
/** Many sidecars ask each entry, which asks them too, so that theirs may be fewer. */
const MAX_HEARTBEATS_PER_SECOND = { entry: 6, sidecar: 1 } as const;
const SILENT_HEARTBEATS = 3;
const TICKS_PER_HEARTBEAT = 4;

/** Knows the other processes of the fleet and tells them of this one. */
export interface MemberController {
  /** Members that may be given work. */
  live(): Member[];
  /** Members heard of lately, the leaving ones included. */
  recentlySeen(): Member[];
  /** The platform's list as last read; it lags. */
  listed(): readonly Vm[];
  /** Answers a heartbeat with this process's own state. */
  recordHeartbeat(member: Member): Member;
  updateLoad(vm: string, load: Load): void;
  /** A member could not be reached; it gets no work until it is heard again. */
  recordFailure(vm: string): void;
  /** Tells everyone that counts on this process at once, as before a planned stop. */
  announce(): Promise<void>;
  close(): Promise<void>;
}

/** How often what is told and read, in milliseconds. */
export interface MemberTiming {
  readonly heartbeatIntervalMs: number;
  readonly silenceMs: number;
  readonly listIntervalMs: number;
}

type Message =
  | { readonly kind: 'tick' }
  | { readonly kind: 'read_list' }
  | { readonly kind: 'missed'; readonly vm: string; readonly askedMs: number }
  | { readonly kind: 'heard'; readonly member: Member; readonly askedMs: number };

/** Starts the controller; `getSelf` gives this process's state at the moment of the call. */
export const newMemberController = (
  vms: VmList,
  peers: PeerClient,
  getSelf: () => Member,
  timing: MemberTiming,
  clock: Clock,
  log: Logger,
): MemberController => {
  const dueMs = new Map<string, number>();
  const asking = new Set<string>();
  let contacts: readonly Vm[] = [];

  const getIntervalMs = (): number =>
    getHeartbeatIntervalMs(
      contacts.length,
      timing.heartbeatIntervalMs,
      MAX_HEARTBEATS_PER_SECOND[getSelf().role],
    );
  const members = newMemberTable(() =>
    Math.max(timing.silenceMs, SILENT_HEARTBEATS * getIntervalMs()),
  );

  const getSelfVm = (): Vm => {
    const { vm, address, role, failureDomain, group } = getSelf();
    return { vm, address, role, failureDomain, group, state: 'live' };
  };

  const tellSelf = (message: Message): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two refer to each other
    mailbox.post(message);
  };

  /** Asks one contact; a slow one holds back nobody else. */
  const ask = async ({ vm, address }: Vm): Promise<void> => {
    if (asking.has(address)) return;
    asking.add(address);
    const askedMs = clock.monotonic();
    const answer = await peers.call(address, 'member.heartbeat', { member: getSelf() });
    asking.delete(address);
    if (!answer.ok) {
      tellSelf({ kind: 'missed', vm, askedMs });
      return;
    }
    tellSelf({ kind: 'heard', member: answer.value.member, askedMs });
  };

  const tellDue = (): void => {
    const nowMs = clock.monotonic();
    const intervalMs = getIntervalMs();
    const self = getSelf().vm;
    contacts.forEach((contact) => {
      const { vm } = contact;
      const due = dueMs.get(vm);
      if (due !== undefined && due > nowMs) return;
      // A contact that is new is asked at once and from then on in its own phase.
      const shiftMs = due === undefined ? getHeartbeatPhase(self, vm) * intervalMs : 0;
      dueMs.set(vm, nowMs + intervalMs - shiftMs);
      void ask(contact);
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
    tellDue();
  };

  const mailbox = newMailbox<Message>(
    (message) => {
      if (message.kind === 'heard') members.recordHeartbeat(message.member, message.askedMs);
      if (message.kind === 'missed') {
        members.recordFailure(message.vm, message.askedMs);
        dueMs.set(message.vm, clock.monotonic() + timing.heartbeatIntervalMs);
      }
      if (message.kind === 'tick') tellDue();
      // Reading takes as long as the platform does, so that nothing waits for it here.
      if (message.kind === 'read_list') {
        readList().catch((fault: unknown) => log.error({ err: fault }, 'VM list not read'));
      }
    },
    (fault) => log.error({ err: fault }, 'member controller failed'),
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
      mailbox.post({ kind: 'heard', member, askedMs: clock.monotonic() });
      return getSelf();
    },
    updateLoad: (vm, load) => members.updateLoad(vm, load),
    recordFailure: (vm) => members.recordFailure(vm, clock.monotonic()),
    announce: async () => {
      const heard = members.recentlySeen(clock.monotonic()).map(({ address }) => address);
      const addresses = new Set([...heard, ...contacts.map(({ address }) => address)]);
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
