import { VM_STATE, type Vm } from '@anvilpaddle/platform';
import type { Load, Member } from '@anvilpaddle/protocol';

/** What is known of the other processes; times are monotonic milliseconds. */
export interface MemberTable {
  /**
   * A member has spoken for itself. `askedMs` is when the question was sent: a process that was
   * paused may read an old answer long after it was given.
   */
  recordHeartbeat(member: Member, askedMs: number): void;
  /** Load that came with an answer, fresher than a heartbeat. */
  updateLoad(vm: string, load: Load): void;
  /** A member could not be reached; it gets no work until it is heard again. */
  recordFailure(vm: string, nowMs: number): void;
  /** The platform's list has been read. */
  updateList(vms: readonly Vm[]): void;
  /** Members that may be given work. */
  live(nowMs: number): Member[];
  /** Members heard of lately, the leaving ones included. */
  recentlySeen(nowMs: number): Member[];
  /** The platform's list as last read. */
  listed(): readonly Vm[];
}

interface Record {
  member: Member;
  heardMs: number;
  failedMs: number | undefined;
}

const FORGET_AFTER_SILENCES = 10;

/** Members that are silent for longer than `getSilenceMs()` are given no work. */
export const newMemberTable = (getSilenceMs: () => number): MemberTable => {
  const records = new Map<string, Record>();
  let listed: readonly Vm[] = [];
  let leaving: ReadonlySet<string> = new Set();

  const forget = (nowMs: number): void => {
    records.forEach(({ heardMs }, vm) => {
      if (nowMs - heardMs > FORGET_AFTER_SILENCES * getSilenceMs()) records.delete(vm);
    });
  };

  const isHeard = (record: Record, nowMs: number): boolean =>
    nowMs - record.heardMs <= getSilenceMs();

  const isUsable = ({ member, failedMs, heardMs }: Record): boolean =>
    !member.leaving && !leaving.has(member.vm) && (failedMs === undefined || failedMs < heardMs);

  return {
    recordHeartbeat: (member, askedMs) => {
      const known = records.get(member.vm);
      if (known !== undefined && askedMs < known.heardMs) return;
      // An answer given before the announcement of a planned stop may arrive after it.
      const isStillLeaving =
        known?.member.incarnation === member.incarnation && known.member.leaving;
      records.set(member.vm, {
        member: { ...member, leaving: member.leaving || isStillLeaving },
        heardMs: askedMs,
        failedMs: known?.failedMs,
      });
      forget(askedMs);
    },
    updateLoad: (vm, load) => {
      const known = records.get(vm);
      if (known !== undefined) known.member = { ...known.member, load };
    },
    recordFailure: (vm, nowMs) => {
      const known = records.get(vm);
      if (known !== undefined) known.failedMs = nowMs;
    },
    updateList: (vms) => {
      listed = vms;
      leaving = new Set(vms.filter(({ state }) => state === VM_STATE.leaving).map(({ vm }) => vm));
    },
    live: (nowMs) =>
      [...records.values()]
        .filter((record) => isHeard(record, nowMs) && isUsable(record))
        .map(({ member }) => member),
    recentlySeen: (nowMs) =>
      [...records.values()].filter((record) => isHeard(record, nowMs)).map(({ member }) => member),
    listed: () => listed,
  };
};
