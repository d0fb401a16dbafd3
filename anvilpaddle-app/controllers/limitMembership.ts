/** Membership in the view of the entries that hold tokens of the distributed rate limits. */
import {
  getCommitView,
  getJoinView,
  getRemoveView,
  newAbsenceTracker,
  type DistributedLimiter,
} from '@anvilpaddle/decisions';
import { getRendezvousOrder, type Clock } from '@anvilpaddle/common';
import type { TableService, VmList } from '@anvilpaddle/platform';
import { limitViewSchema, type LimitView } from '@anvilpaddle/protocol';
import type { PeerClient } from '../peers/peerClient';

const TABLE = 'limits';
const VIEW_KEY = 'view';
/** Maximum number of further list reads for which an entry waits before it removes another. */
const MAX_EXTRA_READS = 3;

/** A read that took longer than this is discarded: the process was paused in the meantime. */
const MAX_READ_DURATION_MS = 5000;

/** Dependencies of an entry's membership. */
export interface LimitMembershipDependencies {
  /** Address of this entry for messages between processes. */
  readonly address: string;
  readonly tables: TableService;
  readonly vms: VmList;
  readonly peers: Pick<PeerClient, 'call'>;
  /** Addresses of other entries that were seen within the timeout. */
  readonly getRecentlySeenEntries: () => readonly string[];
  readonly clock: Clock;
}

/** Keeps the view of which entries hold tokens current at one entry, and adds the entry to it. */
export interface LimitMembership {
  /** Reads the view and takes the next step: join, commit the join, or remove stopped entries. */
  refresh(): Promise<void>;
  /** Whether this entry is a member by a trusted view and no member is missing from the VM list. */
  isSettled(): boolean;
  /** Removes this entry from the view; call it once tokens of its share can no longer be spent. */
  leave(): Promise<void>;
}

/** View as read from the store; writes are conditional on `revision`. */
interface StoredView {
  readonly view: LimitView | undefined;
  readonly revision: number;
}

/** Creates the membership that supplies a limiter with views. */
export const newLimitMembership = (
  limiter: DistributedLimiter,
  dependencies: LimitMembershipDependencies,
): LimitMembership => {
  const { address, tables, vms, peers, clock } = dependencies;
  const absences = newAbsenceTracker();
  /** Whether writes of earlier processes of this VM can no longer take effect. */
  let isFenced = false;

  /** Reads the stored view; undefined when that failed or took too long. */
  const readView = async (): Promise<StoredView | undefined> => {
    const startedMs = clock.monotonic();
    const row = await tables.get(TABLE, VIEW_KEY);
    if (!row.ok || clock.monotonic() - startedMs > MAX_READ_DURATION_MS) return undefined;
    const view = row.value === undefined ? undefined : limitViewSchema.parse(row.value.value);
    return { view, revision: row.value?.revision ?? 0 };
  };

  /** Sends a view to its other members; returns which of them have confirmed it. */
  const sendView = (view: LimitView): Promise<readonly boolean[]> =>
    Promise.all(
      view.members
        .filter((member) => member !== address)
        .map(async (member) => {
          const response = await peers.call(member, 'limit.confirm', { view });
          return response.ok && response.value.confirmed;
        }),
    );

  /** Stores the next view unless the row has changed since it was read. */
  const commit = async (stored: StoredView, next: LimitView): Promise<boolean> => {
    const committed = await tables.transact({
      checks: [{ table: TABLE, key: VIEW_KEY, revision: stored.revision }],
      writes: [{ table: TABLE, key: VIEW_KEY, value: next }],
    });
    // When the response is lost, the next read shows the outcome.
    if (!committed.ok || !committed.value.committed) return false;
    limiter.adoptView(next, true, clock.monotonic());
    void sendView(next);
    return true;
  };

  /**
   * Returns the entries that this entry presumes stopped, because they are missing from the VM
   * list. It waits for one further read per rank, up to `MAX_EXTRA_READS`, so that entries of
   * different low ranks do not try to remove the same entry at once.
   */
  const getStoppedEntries = (view: LimitView, listed: ReadonlySet<string>): ReadonlySet<string> => {
    const otherEntries = [...view.members, ...view.joining].filter((other) => other !== address);
    absences.recordList(listed, otherEntries, clock.monotonic());
    const rank = getRendezvousOrder(String(view.epoch), [...listed]).indexOf(address);
    const extraReads = rank < 0 ? MAX_EXTRA_READS : Math.min(MAX_EXTRA_READS, rank);
    return absences.getPresumedStopped(extraReads, clock.monotonic());
  };

  /**
   * Makes sure that a delayed write of an earlier process of this VM, such as its leave, can no
   * longer take effect. Such a write is conditional on the revision of the row, so that it fails
   * after one write of this process, which comes before this process holds any tokens.
   */
  const fence = async (stored: StoredView, view: LimitView): Promise<boolean> => {
    isFenced ||= ![...view.members, ...view.joining].includes(address);
    isFenced ||= await commit(stored, { ...view, epoch: view.epoch + 1 });
    return isFenced;
  };

  /**
   * Adds this entry to the view; once the other members have confirmed that, completes the join.
   */
  const join = async (stored: StoredView): Promise<void> => {
    const next = getJoinView(stored.view, address);
    if (next !== undefined) {
      await commit(stored, next);
      return;
    }
    const { view } = stored;
    if (view === undefined || !view.joining.includes(address)) return;
    const confirmations = await sendView(view);
    if (confirmations.every(Boolean)) await commit(stored, getCommitView(view));
  };

  /**
   * Adopts a peer's view while the store is unavailable. Such a view is not trusted: this entry may
   * borrow from the holders in it, but does not hold tokens by it.
   */
  const adoptPeerView = async (): Promise<void> => {
    for (const entry of dependencies.getRecentlySeenEntries()) {
      const response = await peers.call(entry, 'limit.view', {});
      if (response.ok && response.value.view !== undefined) {
        limiter.adoptView(response.value.view, false, clock.monotonic());
        return;
      }
    }
  };

  return {
    refresh: async () => {
      const stored = await readView();
      if (stored === undefined) {
        if (!limiter.isHolding()) await adoptPeerView();
        return;
      }
      const { view } = stored;
      if (view !== undefined && !isFenced) {
        const hasFence = await fence(stored, view);
        if (!hasFence) limiter.adoptView(view, false, clock.monotonic());
        return;
      }
      if (view !== undefined) limiter.adoptView(view, true, clock.monotonic());
      const list = await vms.list();
      if (!list.ok) return;
      const listed = new Set(list.value.map((vm) => vm.address));
      if (view !== undefined) {
        const next = getRemoveView(view, getStoppedEntries(view, listed));
        if (next !== undefined) {
          await commit(stored, next);
          return;
        }
      }
      // Only a listed entry may join, so that its absence from a later list means that it has
      // stopped.
      if (listed.has(address)) await join(stored);
    },
    isSettled: () => {
      const view = limiter.view();
      const isMember = view !== undefined && view.members.includes(address);
      return limiter.isHolding() && isMember && !absences.isAnyMissing();
    },
    leave: async () => {
      const stored = await readView();
      if (stored?.view === undefined) return;
      const next = getRemoveView(stored.view, new Set([address]));
      if (next !== undefined) await commit(stored, next);
    },
  };
};
