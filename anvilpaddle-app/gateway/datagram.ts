/** Datagrams in which gateways report their state to each other, and their encoding. */
import { isIPv4 } from 'node:net';
import { isPort, type Address } from '@anvilpaddle/common';
import type { ItemGroups, PartReport } from '@anvilpaddle/decisions';
import type { EncodedLimitReport } from './limitReport';
import type { EncodedHeldSlots } from './teamReport';

/**
 * Batch items by group. Each item is a pair in milliseconds: its due time on the store's clock and
 * its remaining run time.
 */
export type EncodedItems = readonly (readonly [string, readonly (readonly [number, number])[]])[];

/** State of a gateway process, besides its load. */
export interface GatewayState {
  /** Whether it takes over jobs of other gateways. */
  readonly takesJobs: boolean;
  /** Whether it reaches the store directly, not through a peer. */
  readonly reachesStore: boolean;
  /** Whether it has a configuration and fresh API keys, so that it can serve callers. */
  readonly isServing: boolean;
}

/** Report of a gateway to its peers. */
export interface Datagram extends GatewayState {
  readonly from: string;
  readonly vm: string;
  /** Address of the sender, which may not be that from which the datagram comes: it may be relayed. */
  readonly address?: Address;
  readonly failureDomain?: string | undefined;
  /** Time since the process started, in milliseconds. */
  readonly ageMs: number;
  /** Upstream id, online requests and batch items that this gateway has running there. */
  readonly loads: readonly (readonly [string, number, number])[];
  /**
   * Team, requests that this gateway admitted since its start, and requests that all gateways
   * admitted in the window, as far as this one knows.
   */
  readonly spent: readonly (readonly [string, number, number])[];
  /** Running batch items, by upstream. */
  readonly running: EncodedItems;
  /** The most urgent waiting batch items, by service. */
  readonly waiting: EncodedItems;
  /** Prompt parts that were present at crashes of upstreams; a peer of an earlier version sends none. */
  readonly suspects?: readonly PartReport[];
  /** Requests that were aboard at crashes; a peer of an earlier version sends none. */
  readonly requests?: readonly PartReport[];
  /** Limits that upstreams named; a peer of an earlier version sends none. */
  readonly limits?: readonly EncodedLimitReport[];
  /** Slots of teams; only where they share scarce capacity. A peer of an earlier version sends none. */
  readonly teams?: readonly EncodedHeldSlots[] | undefined;
}

/** Longest name of a gateway, VM, team, upstream or service. */
const MAX_NAME_CHARS = 256;

const isName = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_CHARS;

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

/** Whether datagrams can be sent to an address; a peer of an earlier version names none. */
const isUsableAddress = (address: Partial<Address> | null | undefined): boolean =>
  address === undefined ||
  (typeof address?.host === 'string' && isIPv4(address.host) && isPort(address.port));

/** Whether an entry is a name and two numbers that `isNumber` accepts. */
const isNamedPair = (entry: unknown, isNumber: (value: unknown) => boolean): boolean =>
  Array.isArray(entry) && isName(entry[0]) && isNumber(entry[1]) && isNumber(entry[2]);

const isItem = (entry: unknown): boolean =>
  Array.isArray(entry) && Number.isFinite(entry[0]) && Number.isFinite(entry[1]);

const isItemGroup = (entry: unknown): boolean =>
  Array.isArray(entry) && isName(entry[0]) && Array.isArray(entry[1]) && entry[1].every(isItem);

/** The datagram without its invalid entries; peers are frequent, so it is checked by hand. */
const getValidEntries = (datagram: Datagram): Datagram => ({
  ...datagram,
  failureDomain: isName(datagram.failureDomain) ? datagram.failureDomain : undefined,
  loads: datagram.loads.filter((entry) => isNamedPair(entry, isCount)),
  spent: datagram.spent.filter((entry) => isNamedPair(entry, isCount)),
  running: datagram.running.filter(isItemGroup),
  waiting: datagram.waiting.filter(isItemGroup),
});

/** Parses a peer's datagram without its invalid entries; undefined when the rest is invalid. */
export const parseDatagram = (content: Buffer): Datagram | undefined => {
  try {
    const datagram = JSON.parse(content.toString()) as Partial<Datagram> | null;
    const isValid =
      isName(datagram?.from) &&
      isName(datagram.vm) &&
      Number.isFinite(datagram.ageMs) &&
      Number(datagram.ageMs) >= 0 &&
      isUsableAddress(datagram.address) &&
      [datagram.loads, datagram.spent, datagram.running, datagram.waiting].every(Array.isArray);
    return isValid ? getValidEntries(datagram as Datagram) : undefined;
  } catch {
    return undefined;
  }
};

/** First byte of a datagram that its receiver is to pass on; others begin with a brace. */
const RELAY_MARK = '>'.charCodeAt(0);

/** Marks a datagram for its receiver to pass it on to the other gateways in its failure domain. */
export const markForRelay = (content: Buffer): Buffer =>
  Buffer.concat([Buffer.from([RELAY_MARK]), content]);

/** Content of a datagram that is marked for a relay; undefined for others. */
export const getRelayedContent = (content: Buffer): Buffer | undefined =>
  content[0] === RELAY_MARK ? content.subarray(1) : undefined;

/** Encodes items for a datagram, with times rounded to milliseconds. */
export const encodeItems = (groups: ItemGroups): EncodedItems =>
  [...groups].map(([name, items]) => [
    name,
    items.map(({ dueMs, remainingMs }) => [Math.round(dueMs), Math.round(remainingMs)] as const),
  ]);

/** Decodes the items of a datagram. */
export const decodeItems = (encoded: EncodedItems): ItemGroups =>
  new Map(
    encoded.map(([name, items]) => [
      name,
      items.map(([dueMs, remainingMs]) => ({ dueMs, remainingMs })),
    ]),
  );
