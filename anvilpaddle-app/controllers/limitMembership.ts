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
/** Entries that remove a gone one, each a read later than the one before. */
const REMOVERS = 3;

/** A view read longer ago than this is not trusted: the process was paused meanwhile. */
const MAX_READ_MS = 5000;

/** What the membership of one entry works with. */
export interface LimitMembershipDependencies {
  /** Address of this entry for messages between processes. */
  readonly address: string;
  readonly tables: TableService;
  readonly vms: VmList;
  readonly peers: Pick<PeerClient, 'call'>;
  /** Addresses of other entries that were heard of lately. */
  readonly getRecentlySeenEntries: () => readonly string[];
  readonly clock: Clock;
}

/** Keeps an entry's view of who holds tokens, and makes it a holder. */
export interface LimitMembership {
  /** Reads the view and does what is due: join, confirm, remove. */
  refresh(): Promise<void>;
  /** Whether this entry is a member by a trusted view and the list misses none. */
  isSettled(): boolean;
  /** Takes this entry out of the view; its share must be unused by then. */
  leave(): Promise<void>;
}

interface StoredView {
  readonly view: LimitView | undefined;
  readonly revision: number;
}

/** Membership that feeds a node's decisions. */
export const newLimitMembership = (
  node: DistributedLimiter,
  parts: LimitMembershipDependencies,
): LimitMembership => {
  const { address, tables, vms, peers, clock } = parts;
  const absences = newAbsenceTracker();
  let isFenced = false;

  const read = async (): Promise<StoredView | undefined> => {
    const startedMs = clock.monotonic();
    const row = await tables.get(TABLE, VIEW_KEY);
    if (!row.ok || clock.monotonic() - startedMs > MAX_READ_MS) return undefined;
    const view = row.value === undefined ? undefined : limitViewSchema.parse(row.value.value);
    return { view, revision: row.value?.revision ?? 0 };
  };

  const tell = (view: LimitView): Promise<readonly boolean[]> =>
    Promise.all(
      view.members
        .filter((member) => member !== address)
        .map(async (member) => {
          const answer = await peers.call(member, 'limit.confirm', { view });
          return answer.ok && answer.value.confirmed;
        }),
    );

  /** Stores the next view if the row is still as it was read. */
  const commit = async (stored: StoredView, next: LimitView): Promise<boolean> => {
    const committed = await tables.transact({
      checks: [{ table: TABLE, key: VIEW_KEY, revision: stored.revision }],
      writes: [{ table: TABLE, key: VIEW_KEY, value: next }],
    });
    // A lost answer is settled by the next read.
    if (!committed.ok || !committed.value.committed) return false;
    node.adoptView(next, true, clock.monotonic());
    void tell(next);
    return true;
  };

  /** Entries that are gone; a few entries look for them, each a read later than the one before. */
  const getGone = (view: LimitView, listed: ReadonlySet<string>): ReadonlySet<string> => {
    const known = [...view.members, ...view.joining].filter((other) => other !== address);
    absences.recordList(listed, known, clock.monotonic());
    const rank = getRendezvousOrder(String(view.epoch), [...listed]).indexOf(address);
    const patience = rank < 0 ? REMOVERS : Math.min(REMOVERS, rank);
    return absences.getPresumedStopped(patience, clock.monotonic());
  };

  /**
   * A write of an earlier process of this VM, such as its leave, may still be on the way. It names the
   * row's revision, so that one write of this process before it holds anything makes it fail.
   */
  const fence = async (stored: StoredView, view: LimitView): Promise<boolean> => {
    isFenced ||= ![...view.members, ...view.joining].includes(address);
    isFenced ||= await commit(stored, { ...view, epoch: view.epoch + 1 });
    return isFenced;
  };

  const join = async (stored: StoredView): Promise<void> => {
    const next = getJoinView(stored.view, address);
    if (next !== undefined) {
      await commit(stored, next);
      return;
    }
    const { view } = stored;
    if (view === undefined || !view.joining.includes(address)) return;
    const confirmations = await tell(view);
    if (confirmations.every(Boolean)) await commit(stored, getCommitView(view));
  };

  /** Without the store, a peer's view tells whom to ask, but not what to hold. */
  const askPeers = async (): Promise<void> => {
    for (const entry of parts.getRecentlySeenEntries()) {
      const answer = await peers.call(entry, 'limit.view', {});
      if (answer.ok && answer.value.view !== undefined) {
        node.adoptView(answer.value.view, false, clock.monotonic());
        return;
      }
    }
  };

  return {
    refresh: async () => {
      const stored = await read();
      if (stored === undefined) {
        if (!node.isHolding()) await askPeers();
        return;
      }
      const { view } = stored;
      if (view !== undefined && !isFenced) {
        const hasFence = await fence(stored, view);
        if (!hasFence) node.adoptView(view, false, clock.monotonic());
        return;
      }
      if (view !== undefined) node.adoptView(view, true, clock.monotonic());
      const list = await vms.list();
      if (!list.ok) return;
      const listed = new Set(list.value.map((vm) => vm.address));
      if (view !== undefined) {
        const next = getRemoveView(view, getGone(view, listed));
        if (next !== undefined) {
          await commit(stored, next);
          return;
        }
      }
      // Only an entry that the list names may join: a later absence then means that it is gone.
      if (listed.has(address)) await join(stored);
    },
    isSettled: () => {
      const view = node.view();
      const isMember = view !== undefined && view.members.includes(address);
      return node.isHolding() && isMember && !absences.isAnyMissing();
    },
    leave: async () => {
      const stored = await read();
      if (stored?.view === undefined) return;
      const next = getRemoveView(stored.view, new Set([address]));
      if (next !== undefined) await commit(stored, next);
    },
  };
};
