import { newMembers, type Members } from '@anvilpaddle/decisions';
import { newMailbox, type Clock, type Logger } from '@anvilpaddle/common';
import type { VmList } from '@anvilpaddle/platform';
import type { Load, Member } from '@anvilpaddle/protocol';
import type { PeerClient } from '../peers/peerClient';

/** Knows the other processes of the fleet and tells them of this one. */
export interface MemberController {
  /** Members that may be given work. */
  live(): Member[];
  /** Answers a heartbeat with this process's own state. */
  hear(member: Member): Member;
  hearLoad(vm: string, load: Load): void;
  /** Tells every member at once, as before a planned stop. */
  announce(): Promise<void>;
  close(): Promise<void>;
}

interface Timing {
  readonly heartbeatMs: number;
  readonly silenceMs: number;
}

/** Starts the controller; `getSelf` gives this process's state at the moment of the call. */
export const newMemberController = (
  vms: VmList,
  peers: PeerClient,
  getSelf: () => Member,
  timing: Timing,
  clock: Clock,
  log: Logger,
): MemberController => {
  const members: Members = newMembers(timing.silenceMs);

  const tellAll = async (): Promise<void> => {
    const self = getSelf();
    await Promise.all(
      members
        .targets()
        .filter((vm) => vm.address !== self.address)
        .map(async (vm) => {
          const answer = await peers.call(vm.address, 'member.heartbeat', { member: self });
          if (answer.ok) members.hear(answer.value.member, clock.monotonic());
        }),
    );
  };

  const mailbox = newMailbox<'tick'>(
    async () => {
      const list = await vms.list();
      if (list.ok) members.hearList(list.value);
      await tellAll();
    },
    (fault) => log.error({ err: fault }, 'member controller failed'),
  );
  const timer = clock.every(timing.heartbeatMs, () => {
    if (mailbox.size() === 0) mailbox.post('tick');
  });
  mailbox.post('tick');

  return {
    live: () => members.live(clock.monotonic()),
    hear: (member) => {
      members.hear(member, clock.monotonic());
      return getSelf();
    },
    hearLoad: (vm, load) => members.hearLoad(vm, load),
    announce: tellAll,
    close: async () => {
      timer.cancel();
      await mailbox.close();
    },
  };
};
