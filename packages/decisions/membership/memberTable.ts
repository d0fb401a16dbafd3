/** State of the other processes of the system, as one process knows it from heartbeats. */
import { VM_STATE, type Vm } from '@anvilpaddle/platform';
import type { Load, Member } from '@anvilpaddle/protocol';

/** Known state of the other processes; times are monotonic milliseconds. */
export interface MemberTable {
  /**
   * Records a member's own state. `askedMs` is when the heartbeat that it answers was sent: a process
   * that was paused may read an old answer long after it was given.
   */
  recordHeartbeat(member: Member, askedMs: number): void;
  /** Updates a member's load from a response, which is more recent than a heartbeat. */
  updateLoad(vm: string, load: Load): void;
  /** Records an unreachable member; it gets no work until it answers a heartbeat sent afterwards. */
  recordFailure(vm: string, nowMs: number): void;
  /** Replaces the platform's VM list. */
  updateList(vms: readonly Vm[]): void;
  /** Members that may be given work. */
  live(nowMs: number): Member[];
  /** Members with a heartbeat within the silence timeout, including those that are leaving. */
  recentlySeen(nowMs: number): Member[];
  /** The platform's VM list as it was last read. */
  listed(): readonly Vm[];
}

interface MemberRecord {
  member: Member;
  lastSeenMs: number;
  lastFailureMs: number | undefined;
}

/** Silence timeouts after the last heartbeat at which a member is dropped from the table. */
const REMOVAL_SILENCE_TIMEOUTS = 10;

/** Table in which a member without a heartbeat for `getSilenceTimeoutMs()` is not live. */
export const newMemberTable = (getSilenceTimeoutMs: () => number): MemberTable => {
  const records = new Map<string, MemberRecord>();
  let listed: readonly Vm[] = [];
  let listedLeaving: ReadonlySet<string> = new Set();

  const removeStale = (nowMs: number): void => {
    records.forEach(({ lastSeenMs }, vm) => {
      if (nowMs - lastSeenMs > REMOVAL_SILENCE_TIMEOUTS * getSilenceTimeoutMs()) records.delete(vm);
    });
  };

  const isRecentlySeen = (record: MemberRecord, nowMs: number): boolean =>
    nowMs - record.lastSeenMs <= getSilenceTimeoutMs();

  const isUsable = ({ member, lastFailureMs, lastSeenMs }: MemberRecord): boolean =>
    !member.leaving &&
    !listedLeaving.has(member.vm) &&
    (lastFailureMs === undefined || lastFailureMs < lastSeenMs);

  return {
    recordHeartbeat: (member, askedMs) => {
      const known = records.get(member.vm);
      if (known !== undefined && askedMs < known.lastSeenMs) return;
      // An answer that a member gave before it announced its planned stop may arrive afterwards.
      const isStillLeaving =
        known?.member.incarnation === member.incarnation && known.member.leaving;
      records.set(member.vm, {
        member: { ...member, leaving: member.leaving || isStillLeaving },
        lastSeenMs: askedMs,
        lastFailureMs: known?.lastFailureMs,
      });
      removeStale(askedMs);
    },
    updateLoad: (vm, load) => {
      const known = records.get(vm);
      if (known !== undefined) known.member = { ...known.member, load };
    },
    recordFailure: (vm, nowMs) => {
      const known = records.get(vm);
      if (known !== undefined) known.lastFailureMs = nowMs;
    },
    updateList: (vms) => {
      listed = vms;
      listedLeaving = new Set(
        vms.filter(({ state }) => state === VM_STATE.leaving).map(({ vm }) => vm),
      );
    },
    live: (nowMs) =>
      [...records.values()]
        .filter((record) => isRecentlySeen(record, nowMs) && isUsable(record))
        .map(({ member }) => member),
    recentlySeen: (nowMs) =>
      [...records.values()]
        .filter((record) => isRecentlySeen(record, nowMs))
        .map(({ member }) => member),
    listed: () => listed,
  };
};
