/** List of the running gateways: each renews its own record in the store and reads the others'. */
import { isIPv4 } from 'node:net';
import {
  getErrorMessage,
  getHash,
  isPort,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import { z } from 'zod';
import {
  getPlatformErrorMessage,
  type RecordStore,
  type StoredRecord,
} from '@anvilpaddle/platform';
import { newAdmissionCheckpoint, type AdmissionCheckpointHooks } from './admissionCheckpoint';
import { newRecordWatch } from './recordWatch';

const TABLE = 'gateways';
const HEARTBEAT_INTERVAL_MS = MS_PER_SECOND;
const READ_INTERVAL_MS = MS_PER_SECOND;
/** Interval at least between two writes of the record. */
const MIN_WRITE_INTERVAL_MS = 20;
/**
 * Age of an unchanged record after which its gateway leaves the list. By then that gateway admits
 * nothing even if it still runs: it can't reach the store, so its API keys have expired.
 */
const REMOVE_AFTER_MS = 6 * MS_PER_SECOND;
/** Age of an unchanged record after which other gateways may take over its gateway's jobs. */
const TAKEOVER_AFTER_MS = 2.5 * MS_PER_SECOND;
/**
 * Longest time between two reads that counts towards the age of an unchanged record. After a longer
 * gap the store was unreachable, and no gateway could renew its record.
 */
const MAX_COUNTED_GAP_MS = 1.5 * MS_PER_SECOND;

const recordSchema = z.object({
  incarnation: z.string().min(1),
  host: z.string().refine(isIPv4),
  port: z.number().refine(isPort),
  /** A gateway of an earlier version names none. */
  failureDomain: z.string().optional(),
});
type GatewayRecord = z.output<typeof recordSchema>;

/** Fields that gateways of an earlier version expect in a record, in which they kept checkpoints. */
const EARLIER_FIELDS = { atStoreMs: 0, spent: [] } as const;

/** One gateway process. */
export interface Gateway {
  readonly vm: string;
  readonly incarnation: string;
  readonly address: Address;
  /** Undefined for a gateway of an earlier version. */
  readonly failureDomain: string | undefined;
}

/** Gateways that may be running. */
export interface GatewayList {
  /** All gateways except this one. */
  getOthers(): readonly Gateway[];
  /** Whether the gateway with this incarnation has renewed its record recently. */
  hasRecentHeartbeat(incarnation: string): boolean;
  /** Whether the list was read recently enough to tell which gateways have stopped. */
  isCurrent(): boolean;
  /** Revision of the store as of the last read. */
  getReadRevision(): number;
  /** Whether the list has been read and the admissions before this start have been restored. */
  hasBeenRead(): boolean;
  /** Starts of all gateways in the limits' window, before which admissions may not have been stored. */
  countRestarts(): number;
  /** Stores the admissions soon if many that this gateway is to store are not; called when they change. */
  onAdmissions(): void;
  /** Adds a gateway that sent a datagram; it replaces an earlier process on the same VM. */
  addFromDatagram(gateway: Gateway): void;
  /** Removes this gateway's record. */
  leave(): Promise<void>;
}

/** Another gateway with the state of its record. */
interface TrackedGateway {
  readonly gateway: Gateway;
  readonly revision: number;
  /** Time for which reads have found the record unchanged, in milliseconds. */
  readonly unchangedMs: number;
}

const parseRecord = (value: Buffer | undefined): GatewayRecord | undefined => {
  if (value === undefined) return undefined;
  try {
    return recordSchema.parse(JSON.parse(value.toString()));
  } catch {
    return undefined;
  }
};

/** Starts to renew this gateway's record and to follow the others'. */
export const newGatewayList = (
  store: RecordStore,
  self: Gateway,
  checkpointHooks: AdmissionCheckpointHooks,
  clock: Clock,
  log: Logger,
): GatewayList => {
  let trackedGateways = new Map<string, TrackedGateway>();
  let storeOffsetMs = 0;
  let isLeaving = false;
  let lastReadMs: number | undefined;
  let readRevision = 0;
  /** Whether the last read was the first, which misses gateways that started at the same time. */
  let isFirstRead = true;
  let isWriting = false;
  /** Whether the admissions of the other gateways have been read. */
  let hasRestored = false;
  let nextEarlyWriteMs = 0;

  const recordName = { table: TABLE, partition: '', key: self.vm };
  const checkpoint = newAdmissionCheckpoint(store, self.vm, checkpointHooks, clock);

  const writeRecord = async (): Promise<void> => {
    // The checkpoint of an earlier process on this VM must be read before it is overwritten.
    if (isWriting || isLeaving || !hasRestored || lastReadMs === undefined) return;
    isWriting = true;
    const mark = checkpointHooks.getMark();
    const record: GatewayRecord = {
      incarnation: self.incarnation,
      host: self.address.host,
      port: self.address.port,
      failureDomain: self.failureDomain,
    };
    const commit = await store.commit({
      checks: [],
      writes: [
        { ...recordName, value: Buffer.from(JSON.stringify({ ...record, ...EARLIER_FIELDS })) },
        checkpoint.getWrite(clock.monotonic() + storeOffsetMs),
      ],
    });
    isWriting = false;
    if (commit.ok) {
      nextEarlyWriteMs = clock.monotonic() + MIN_WRITE_INTERVAL_MS;
      checkpointHooks.onStored(mark);
      return;
    }
    nextEarlyWriteMs = clock.monotonic() + HEARTBEAT_INTERVAL_MS;
    log.debug({ reason: getPlatformErrorMessage(commit.error) }, 'heartbeat not written');
  };

  const trackRecord = (
    { key: vm, value, revision }: StoredRecord,
    sinceLastReadMs: number,
  ): TrackedGateway | undefined => {
    const known = trackedGateways.get(vm);
    if (known?.revision === revision) {
      return {
        ...known,
        unchangedMs: known.unchangedMs + Math.min(sinceLastReadMs, MAX_COUNTED_GAP_MS),
      };
    }
    const record = parseRecord(value);
    if (record === undefined) return undefined;
    const { incarnation, host, port, failureDomain } = record;
    const gateway = { vm, incarnation, address: { host, port }, failureDomain };
    if (known?.gateway.incarnation !== gateway.incarnation) {
      log.info({ ...gateway }, 'gateway seen');
    }
    return { gateway, revision, unchangedMs: 0 };
  };

  const sendHeartbeat = (): void => {
    writeRecord().catch((error: unknown) =>
      log.error({ reason: getErrorMessage(error) }, 'heartbeat'),
    );
  };
  // Gateways that start together write at different moments, so that what one stores is recent.
  clock.after(getHash(self.incarnation) % HEARTBEAT_INTERVAL_MS, () => {
    sendHeartbeat();
    clock.every(HEARTBEAT_INTERVAL_MS, sendHeartbeat);
  });

  const restoreAdmissions = async (): Promise<void> => {
    await checkpoint.restore();
    hasRestored = true;
    sendHeartbeat();
  };
  restoreAdmissions().catch((error: unknown) =>
    log.error({ err: error }, 'admissions not restored'),
  );

  newRecordWatch(
    store,
    { table: TABLE, hasPartitions: false, readIntervalMs: READ_INTERVAL_MS, isWatched: false },
    ({ records, requestedMs, storeMs, revision }) => {
      readRevision = revision;
      isFirstRead = lastReadMs === undefined;
      const sinceLastReadMs = requestedMs - (lastReadMs ?? requestedMs);
      lastReadMs = requestedMs;
      storeOffsetMs = storeMs - requestedMs;
      if (isFirstRead) {
        // Gateways of an earlier version keep their checkpoints in their records.
        checkpoint.restoreFrom(records, storeMs);
        sendHeartbeat();
      }
      const next = new Map(
        records
          .filter(({ key }) => key !== self.vm)
          .flatMap((record) => {
            const tracked = trackRecord(record, sinceLastReadMs);
            return tracked === undefined ? [] : [[record.key, tracked] as const];
          }),
      );
      trackedGateways = next;
    },
    clock,
    log,
  );

  const getActive = (maxUnchangedMs: number): Gateway[] =>
    [...trackedGateways.values()]
      .filter(({ unchangedMs }) => unchangedMs < maxUnchangedMs)
      .map(({ gateway }) => gateway);

  return {
    getOthers: () => getActive(REMOVE_AFTER_MS),
    hasRecentHeartbeat: (incarnation) =>
      getActive(TAKEOVER_AFTER_MS).some((gateway) => gateway.incarnation === incarnation),
    isCurrent: () =>
      lastReadMs !== undefined &&
      !isFirstRead &&
      clock.monotonic() - lastReadMs < 2 * READ_INTERVAL_MS,
    getReadRevision: () => readRevision,
    hasBeenRead: () => lastReadMs !== undefined && hasRestored,
    countRestarts: () => checkpoint.countRestarts(clock.monotonic() + storeOffsetMs),
    onAdmissions: () => {
      if (isWriting || clock.monotonic() < nextEarlyWriteMs) return;
      if (checkpointHooks.hasUnstored()) sendHeartbeat();
    },
    addFromDatagram: (gateway) => {
      const { vm, incarnation } = gateway;
      const known = trackedGateways.get(vm);
      if (vm === self.vm || known?.gateway.incarnation === incarnation) return;
      log.info({ ...gateway }, 'gateway heard');
      trackedGateways.set(vm, { gateway, revision: known?.revision ?? 0, unchangedMs: 0 });
    },
    leave: async () => {
      isLeaving = true;
      const commit = await store.commit({ checks: [], writes: [], removals: [recordName] });
      if (!commit.ok) {
        log.warn({ reason: getPlatformErrorMessage(commit.error) }, 'gateway record not removed');
      }
    },
  };
};
