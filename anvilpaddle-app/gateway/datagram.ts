/** Datagrams in which gateways report their state to each other, and their encoding. */
import { isIPv4 } from 'node:net';
import { isPort, type Address } from '@anvilpaddle/common';
import {
  RECENT_ADMISSIONS,
  type GatewayItems,
  type ItemGroups,
  type Loads,
  type PartReport,
} from '@anvilpaddle/decisions';
import type { EncodedLimitReport } from './limitReport';
import type { EncodedHeldSlots } from './teamReport';

/**
 * Batch item: its due time on the store's clock and its remaining run time, in milliseconds, and 1 if
 * it has given events, else 0; a peer of an earlier version sends the first two.
 */
export type EncodedItem = readonly [number, number, number?];

/** Batch items by group. */
export type EncodedItems = readonly (readonly [string, readonly EncodedItem[]])[];

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
  /**
   * Requests that the sender has admitted since its start. While it is unchanged, so are the totals in
   * `spent`. It follows `from` at the start of the text; a peer of an earlier version sends none.
   */
  readonly admitted?: number;
  /** Teams of the last `RECENT_ADMISSIONS` of these requests, with the totals of the teams. */
  readonly recent?: readonly (readonly [string, number])[];
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
  /** Prompt parts that were present at crashes of upstreams; missing if there are none. */
  readonly suspects?: readonly PartReport[] | undefined;
  /** Requests that were aboard at crashes; missing if there are none. */
  readonly requests?: readonly PartReport[] | undefined;
  /** Limits that upstreams named; missing if there are none. */
  readonly limits?: readonly EncodedLimitReport[] | undefined;
  /** Slots of teams; missing where they share no scarce capacity. */
  readonly teams?: readonly EncodedHeldSlots[] | undefined;
}

/** A datagram that is being checked. */
type MutableDatagram = { -readonly [Field in keyof Datagram]: Datagram[Field] };

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

/** The entries that are valid, in the same list if all of them are, as usual. */
const getValid = <T>(entries: readonly T[], isValid: (entry: T) => boolean): readonly T[] =>
  entries.every(isValid) ? entries : entries.filter(isValid);

const isCountEntry = (entry: unknown): boolean => isNamedPair(entry, isCount);

/** Start of a datagram: its sender and the number of requests that it has admitted. */
const START = /^\{"from":"([^"\\]+)","admitted":(\d+),"recent":/;
const SPENT_START = '"spent":[';
/** What follows the admissions; no string within them can contain it, as quotes are escaped there. */
const SPENT_END = '],"running":[';

/**
 * The text without the admissions of all teams, which are most of it; undefined if they are needed, as
 * the recent ones alone don't lead from the known number of admissions to that of the datagram.
 */
const cutAdmissions = (
  text: string,
  getKnownAdmitted: (from: string) => number | undefined,
): string | undefined => {
  const [, from = '', admitted] = START.exec(text) ?? [];
  if (admitted === undefined) return undefined;
  const added = Number(admitted) - (getKnownAdmitted(from) ?? -Infinity);
  if (added < 0 || added > RECENT_ADMISSIONS) return undefined;
  const start = text.indexOf(SPENT_START) + SPENT_START.length;
  const end = text.indexOf(SPENT_END, start);
  if (start < SPENT_START.length || end < 0) return undefined;
  return text.slice(0, start) + text.slice(end);
};

const isRecentEntry = (entry: unknown): entry is readonly [string, number] =>
  Array.isArray(entry) && isName(entry[0]) && isCount(entry[1]);

/** Recent admissions in the form of `spent`; the admissions in the window count for new peers only. */
const getRecentSpent = ({ recent }: Datagram): Datagram['spent'] =>
  Array.isArray(recent)
    ? recent.filter(isRecentEntry).map(([team, total]) => [team, total, 0] as const)
    : [];

/**
 * Parses a peer's datagram without its invalid entries; undefined when the rest is invalid. Its
 * admissions are only the recent ones if those before them are known of the peer.
 */
export const parseDatagram = (
  content: Buffer,
  getKnownAdmitted: (from: string) => number | undefined = () => undefined,
): Datagram | undefined => {
  try {
    const text = content.toString();
    const shortText = cutAdmissions(text, getKnownAdmitted);
    // Peers are frequent, so their datagrams are checked by hand and changed in place.
    const datagram = JSON.parse(shortText ?? text) as Partial<MutableDatagram> | null;
    const isValid =
      isName(datagram?.from) &&
      isName(datagram.vm) &&
      Number.isFinite(datagram.ageMs) &&
      Number(datagram.ageMs) >= 0 &&
      isUsableAddress(datagram.address) &&
      [datagram.loads, datagram.spent, datagram.running, datagram.waiting].every(Array.isArray);
    if (!isValid) return undefined;
    const valid = datagram as MutableDatagram;
    if (!isName(valid.failureDomain)) valid.failureDomain = undefined;
    valid.loads = getValid(valid.loads, isCountEntry);
    valid.spent =
      shortText === undefined ? getValid(valid.spent, isCountEntry) : getRecentSpent(valid);
    valid.running = getValid(valid.running, isItemGroup);
    valid.waiting = getValid(valid.waiting, isItemGroup);
    return valid;
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
    items.map(({ dueMs, remainingMs, hasBegun }): EncodedItem => {
      const times = [Math.round(dueMs), Math.round(remainingMs)] as const;
      return hasBegun === undefined ? times : [...times, Number(hasBegun)];
    }),
  ]);

/** Decodes the items of a datagram. */
export const decodeItems = (encoded: EncodedItems): ItemGroups =>
  new Map(
    encoded.map(([name, items]) => [
      name,
      items.map(([dueMs, remainingMs, begun]) => ({
        dueMs,
        remainingMs,
        ...(begun === 0 || begun === 1 ? { hasBegun: begun === 1 } : {}),
      })),
    ]),
  );

/** Items of a datagram; each group of them is decoded when it is first asked for. */
export const newDecodedItems = ({
  running,
  waiting,
}: Pick<Datagram, 'running' | 'waiting'>): GatewayItems => {
  let decodedRunning: ItemGroups | undefined;
  let decodedWaiting: ItemGroups | undefined;
  return {
    get running() {
      decodedRunning ??= decodeItems(running);
      return decodedRunning;
    },
    get waiting() {
      decodedWaiting ??= decodeItems(waiting);
      return decodedWaiting;
    },
  };
};

type EncodedLoads = Datagram['loads'];

/** Loads by upstream. */
export const decodeLoads = (loads: EncodedLoads): Loads =>
  new Map(loads.map(([id, online, batch]) => [id, { online, batch }]));

/** Whether two datagrams of a gateway have the same loads. */
export const areSameLoads = (loads: EncodedLoads, others: EncodedLoads): boolean =>
  loads.length === others.length &&
  loads.every(([id, online, batch], index) => {
    const other = others[index];
    return other?.[0] === id && other[1] === online && other[2] === batch;
  });
