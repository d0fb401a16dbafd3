/** Batch items of all gateways, as one gateway knows them. */
import type { ItemTiming } from './itemOrder';

/** Items by the upstream at which they run, or by the service for which they wait. */
export type ItemGroups = ReadonlyMap<string, readonly ItemTiming[]>;

/** Batch items of one gateway, as it reports them to its peers. */
export interface GatewayItems {
  /** Items that run, by upstream. */
  readonly running: ItemGroups;
  /** The most urgent items that could start, by service. */
  readonly waiting: ItemGroups;
}

/**
 * Batch items of all gateways, so that each gateway can rank its own items among them. Times are
 * monotonic milliseconds.
 */
export interface ItemTracker {
  /** Sets the items of this gateway. */
  setOwn(items: GatewayItems): void;
  /** This gateway's report to its peers. */
  getOwn(): GatewayItems;
  /** Replaces a peer's items by its latest report, of which only what is looked up is read. */
  updatePeer(peer: string, items: GatewayItems, nowMs: number): void;
  /** Items of peers that run at an upstream. */
  getRunning(upstream: string, nowMs: number): readonly ItemTiming[];
  /** Items of peers that wait for a service. */
  getWaiting(service: string, nowMs: number): readonly ItemTiming[];
}

/**
 * Time without a report after which a peer's items no longer count, so that no slots stay empty for
 * them.
 */
const PEER_TIMEOUT_MS = 500;

const NO_ITEMS: GatewayItems = { running: new Map(), waiting: new Map() };

/** Items that a peer reported, with the time of the report. */
interface PeerItems {
  readonly items: GatewayItems;
  readonly receivedMs: number;
}

/** Creates a tracker without items. */
export const newItemTracker = (): ItemTracker => {
  let own = NO_ITEMS;
  const peers = new Map<string, PeerItems>();

  const getRecentPeers = (nowMs: number): PeerItems[] => {
    peers.forEach(({ receivedMs }, peer) => {
      if (nowMs - receivedMs > PEER_TIMEOUT_MS) peers.delete(peer);
    });
    return [...peers.values()];
  };

  return {
    setOwn: (items) => {
      own = items;
    },
    getOwn: () => own,
    updatePeer: (peer, items, nowMs) => {
      peers.set(peer, { items, receivedMs: nowMs });
    },
    getRunning: (upstream, nowMs) =>
      getRecentPeers(nowMs).flatMap(({ items }) => items.running.get(upstream) ?? []),
    getWaiting: (service, nowMs) =>
      getRecentPeers(nowMs).flatMap(({ items }) => items.waiting.get(service) ?? []),
  };
};
