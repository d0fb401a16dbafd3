/** What gateways tell one another by datagrams, and its encoding. */
import type { ItemGroups } from '@anvilpaddle/decisions';

/** Items of one group: due time on the store's clock and run time still needed, in milliseconds. */
export type EncodedItems = readonly (readonly [string, readonly (readonly [number, number])[]])[];

/** What a gateway tells of itself besides its work. */
export interface GatewayState {
  /** Whether it takes over jobs of others. */
  readonly takesJobs: boolean;
  /** Whether its own path to the store works. */
  readonly reachesStore: boolean;
  /** Whether it knows enough to serve callers. */
  readonly isServing: boolean;
}

/** What a gateway tells. */
export interface Datagram extends GatewayState {
  readonly from: string;
  readonly vm: string;
  readonly ageMs: number;
  /** Upstream, online requests, batch items. */
  readonly loads: readonly (readonly [string, number, number])[];
  /** Team, own admissions since the start, all in the window. */
  readonly spent: readonly (readonly [string, number, number])[];
  /** Batch items that run, by upstream. */
  readonly running: EncodedItems;
  /** The most urgent batch items that wait, by service. */
  readonly waiting: EncodedItems;
}

/** Datagram of a peer; its sender is this same program, so that the outline is enough. */
export const parseDatagram = (content: Buffer): Datagram | undefined => {
  try {
    const datagram = JSON.parse(content.toString()) as Partial<Datagram> | null;
    const isWhole =
      typeof datagram?.from === 'string' &&
      typeof datagram.vm === 'string' &&
      typeof datagram.ageMs === 'number' &&
      [datagram.loads, datagram.spent, datagram.running, datagram.waiting].every(Array.isArray);
    return isWhole ? (datagram as Datagram) : undefined;
  } catch {
    return undefined;
  }
};

/** Items as a datagram tells them. */
export const encodeItems = (groups: ItemGroups): EncodedItems =>
  [...groups].map(([name, items]) => [
    name,
    items.map(({ dueMs, remainingMs }) => [Math.round(dueMs), Math.round(remainingMs)] as const),
  ]);

/** Items that a datagram tells. */
export const decodeItems = (told: EncodedItems): ItemGroups =>
  new Map(
    told.map(([name, items]) => [
      name,
      items.map(([dueMs, remainingMs]) => ({ dueMs, remainingMs })),
    ]),
  );
