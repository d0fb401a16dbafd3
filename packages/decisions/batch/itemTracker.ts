import type { ItemTiming } from './itemOrder';

/** Items by the upstream at which they run, or by the service for which they wait. */
export type ItemGroups = ReadonlyMap<string, readonly ItemTiming[]>;

/** Batch items of one gateway, as it tells them to its peers. */
export interface GatewayItems {
  /** Items that run, by upstream. */
  readonly running: ItemGroups;
  /** The most urgent items that could start, by service. */
  readonly waiting: ItemGroups;
}

/** Batch items of all gateways, so that each ranks its own among them. Times are monotonic milliseconds. */
export interface ItemTracker {
  /** This gateway's items changed. */
  setOwn(items: GatewayItems): void;
  /** What this gateway tells its peers. */
  getOwn(): GatewayItems;
  /** A peer told its items. */
  updatePeer(peer: string, items: GatewayItems, nowMs: number): void;
  /** Items of peers that run at an upstream. */
  getRunning(upstream: string, nowMs: number): readonly ItemTiming[];
  /** Items of peers that wait for a service. */
  getWaiting(service: string, nowMs: number): readonly ItemTiming[];
}

/** Silence after which a peer's items no longer count: its slots must not stay empty for them. */
const PEER_SILENCE_MS = 500;

const NO_ITEMS: GatewayItems = { running: new Map(), waiting: new Map() };

interface PeerItems extends GatewayItems {
  readonly heardMs: number;
}

/** Board without any item. */
export const newItemTracker = (): ItemTracker => {
  let own = NO_ITEMS;
  const peers = new Map<string, PeerItems>();

  const getHeard = (nowMs: number): PeerItems[] => {
    peers.forEach(({ heardMs }, peer) => {
      if (nowMs - heardMs > PEER_SILENCE_MS) peers.delete(peer);
    });
    return [...peers.values()];
  };

  return {
    setOwn: (items) => {
      own = items;
    },
    getOwn: () => own,
    updatePeer: (peer, items, nowMs) => {
      peers.set(peer, { ...items, heardMs: nowMs });
    },
    getRunning: (upstream, nowMs) =>
      getHeard(nowMs).flatMap(({ running }) => running.get(upstream) ?? []),
    getWaiting: (service, nowMs) =>
      getHeard(nowMs).flatMap(({ waiting }) => waiting.get(service) ?? []),
  };
};
