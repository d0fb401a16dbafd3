import type { Vm } from '@anvilpaddle/platform';
import type { Load, Member } from '@anvilpaddle/protocol';

/** What is known of the other processes; times are monotonic milliseconds. */
export interface Members {
  /** A member has spoken for itself. */
  hear(member: Member, nowMs: number): void;
  /** Load that came with an answer, fresher than a heartbeat. */
  hearLoad(vm: string, load: Load): void;
  /** The platform's list has been read. */
  hearList(vms: readonly Vm[]): void;
  /** Members that may be given work. */
  live(nowMs: number): Member[];
  /** VMs that a heartbeat is due to. */
  targets(): readonly Vm[];
}

/** Members that are silent for longer than the timeout in milliseconds are left out. */
export const newMembers = (timeoutMs: number): Members => {
  const heard = new Map<string, { member: Member; heardMs: number }>();
  let listed: readonly Vm[] = [];

  return {
    hear: (member, nowMs) => {
      heard.set(member.vm, { member, heardMs: nowMs });
    },
    hearLoad: (vm, load) => {
      const known = heard.get(vm);
      if (known !== undefined) known.member = { ...known.member, load };
    },
    hearList: (vms) => {
      listed = vms;
    },
    live: (nowMs) => {
      const states = new Map(listed.map((vm) => [vm.vm, vm.state]));
      return [...heard.values()]
        .filter(({ heardMs }) => nowMs - heardMs <= timeoutMs)
        .map(({ member }) => member)
        .filter((member) => !member.leaving && states.get(member.vm) !== 'leaving');
    },
    targets: () => listed,
  };
};
