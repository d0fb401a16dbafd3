/** The gateways of the fleet: each keeps a record of itself in the store and reads the others'. */
import {
  getErrorMessage,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import { z } from 'zod';
import type { AdmissionSlots } from '@anvilpaddle/decisions';
import { getPlatformErrorText, type RecordStore, type StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch } from './recordWatch';

const TABLE = 'gateways';
const HEARTBEAT_MS = MS_PER_SECOND;
const READ_EVERY_MS = MS_PER_SECOND;
/**
 * Silence after which a gateway is gone. By then it has also stopped trusting keys, as it can't reach
 * the store, and so admits nothing.
 */
const GONE_AFTER_MS = 6 * MS_PER_SECOND;
/** Silence after which others may take over a gateway's jobs. */
const LATE_AFTER_MS = 2.5 * MS_PER_SECOND;
/** Teams whose admissions one record tells at most. */
const MAX_TOLD_TEAMS = 300;
/** Longest time between two reads that counts as a record's silence; beyond it the store was away. */
const LONGEST_STEP_MS = 1.5 * MS_PER_SECOND;

const recordSchema = z.object({
  incarnation: z.string(),
  host: z.string(),
  port: z.number(),
  /** Store's clock at the time of writing, in milliseconds. */
  atStoreMs: z.number(),
  /** Team and admissions of all gateways in the limit's window, as this one knew them. */
  spent: z.array(z.tuple([z.string(), z.array(z.number())])),
});
type GatewayRecord = z.output<typeof recordSchema>;

/** One gateway process. */
export interface Gateway {
  readonly vm: string;
  readonly incarnation: string;
  readonly address: Address;
}

/** Admissions by team in the limits' window. */
export type AdmissionsByTeam = ReadonlyMap<string, AdmissionSlots>;

/** What a gateway tells the store of itself, and what it learns there when it starts. */
export interface AdmissionCheckpointHooks {
  /** Admissions in the window now. */
  getAdmissions(): AdmissionsByTeam;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
  /** Called for each gateway of before with what it told and the time since, in milliseconds. */
  onRestored(spent: AdmissionsByTeam, ageMs: number): void;
}

/** The gateways that may be at work. */
export interface GatewayList {
  /** All but this one. */
  getOthers(): readonly Gateway[];
  /** Whether an incarnation renews its record in time. */
  hasRecentHeartbeat(incarnation: string): boolean;
  /** Whether the list was read of late, so that it tells who is gone. */
  isCurrent(): boolean;
  /** Whether the list has been read at all, and with it what gateways of before admitted. */
  hasBeenRead(): boolean;
  /** A gateway told of itself; it takes the place of an earlier process of its VM. */
  addFromDatagram(gateway: Gateway): void;
  /** Removes this gateway's record. */
  leave(): Promise<void>;
}

interface Sighting {
  readonly gateway: Gateway;
  readonly revision: number;
  /** Time for which the record has been seen not to change, in milliseconds. */
  readonly silentMs: number;
}

const parse = (value: Buffer): GatewayRecord | undefined => {
  try {
    return recordSchema.parse(JSON.parse(value.toString()));
  } catch {
    return undefined;
  }
};

/** Keeps this gateway's record renewed and follows the others'. */
export const newGatewayList = (
  store: RecordStore,
  self: Gateway,
  inheritance: AdmissionCheckpointHooks,
  clock: Clock,
  log: Logger,
): GatewayList => {
  let sightings = new Map<string, Sighting>();
  let storeOffsetMs = 0;
  let isLeaving = false;
  let lastReadMs: number | undefined;
  let isRenewing = false;

  const name = { table: TABLE, partition: '', key: self.vm };

  const renew = async (): Promise<void> => {
    // What an earlier process of this VM left is read before it is replaced.
    if (isRenewing || isLeaving || lastReadMs === undefined) return;
    isRenewing = true;
    const record: GatewayRecord = {
      incarnation: self.incarnation,
      host: self.address.host,
      port: self.address.port,
      atStoreMs: Math.round(clock.monotonic() + storeOffsetMs),
      spent: [...inheritance.getAdmissions()]
        .slice(0, MAX_TOLD_TEAMS)
        .map(([team, parts]) => [team, [...parts]]),
    };
    const commit = await store.commit({
      checks: [],
      writes: [{ ...name, value: Buffer.from(JSON.stringify(record)) }],
    });
    isRenewing = false;
    if (!commit.ok) {
      log.debug({ reason: getPlatformErrorText(commit.error) }, 'heartbeat not written');
    }
  };

  const note = (
    { key: vm, value, revision }: StoredRecord,
    sinceReadMs: number,
  ): Sighting | undefined => {
    const known = sightings.get(vm);
    if (known?.revision === revision) {
      return { ...known, silentMs: known.silentMs + Math.min(sinceReadMs, LONGEST_STEP_MS) };
    }
    const record = value === undefined ? undefined : parse(value);
    if (record === undefined) return undefined;
    const { incarnation, host, port } = record;
    const gateway = { vm, incarnation, address: { host, port } };
    if (known?.gateway.incarnation !== gateway.incarnation) {
      log.info({ ...gateway }, 'gateway seen');
    }
    return { gateway, revision, silentMs: 0 };
  };

  const inherit = (records: readonly StoredRecord[], storeMs: number): void =>
    records
      .flatMap(({ value }) => (value === undefined ? [] : (parse(value) ?? [])))
      .filter(({ atStoreMs }) => storeMs - atStoreMs < inheritance.windowMs)
      .forEach(({ spent, atStoreMs }) =>
        inheritance.onRestored(new Map(spent), storeMs - atStoreMs),
      );

  const tick = (): void => {
    renew().catch((fault: unknown) => log.error({ reason: getErrorMessage(fault) }, 'heartbeat'));
  };
  clock.every(HEARTBEAT_MS, tick);

  newRecordWatch(
    store,
    { table: TABLE, hasPartitions: false, readIntervalMs: READ_EVERY_MS, isWatched: false },
    ({ records, requestedMs: askedMs, storeMs }) => {
      const isFirst = lastReadMs === undefined;
      const sinceReadMs = askedMs - (lastReadMs ?? askedMs);
      lastReadMs = askedMs;
      storeOffsetMs = storeMs - askedMs;
      if (isFirst) {
        inherit(records, storeMs);
        tick();
      }
      const next = new Map(
        records
          .filter(({ key }) => key !== self.vm)
          .flatMap((record) => {
            const sighting = note(record, sinceReadMs);
            return sighting === undefined ? [] : [[record.key, sighting] as const];
          }),
      );
      sightings = next;
    },
    clock,
    log,
  );

  const getAlive = (silenceMs: number): Gateway[] =>
    [...sightings.values()]
      .filter(({ silentMs }) => silentMs < silenceMs)
      .map(({ gateway }) => gateway);

  return {
    getOthers: () => getAlive(GONE_AFTER_MS),
    hasRecentHeartbeat: (incarnation) =>
      getAlive(LATE_AFTER_MS).some((gateway) => gateway.incarnation === incarnation),
    isCurrent: () => lastReadMs !== undefined && clock.monotonic() - lastReadMs < 2 * READ_EVERY_MS,
    hasBeenRead: () => lastReadMs !== undefined,
    addFromDatagram: (gateway) => {
      const { vm, incarnation } = gateway;
      const known = sightings.get(vm);
      if (vm === self.vm || known?.gateway.incarnation === incarnation) return;
      log.info({ ...gateway }, 'gateway heard');
      sightings.set(vm, { gateway, revision: known?.revision ?? 0, silentMs: 0 });
    },
    leave: async () => {
      isLeaving = true;
      const commit = await store.commit({ checks: [], writes: [], removals: [name] });
      if (!commit.ok) {
        log.warn({ reason: getPlatformErrorText(commit.error) }, 'record not removed');
      }
    },
  };
};
