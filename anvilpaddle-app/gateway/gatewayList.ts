/** The gateways of the fleet: each keeps a record of itself in the store and reads the others'. */
import {
  getFaultMessage,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import { z } from 'zod';
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
/** Longest time between two reads that counts as a record's silence; beyond it the store was away. */
const LONGEST_STEP_MS = 1.5 * MS_PER_SECOND;

const recordSchema = z.object({
  incarnation: z.string(),
  host: z.string(),
  port: z.number(),
  beat: z.number(),
});

/** One gateway process. */
export interface Gateway {
  readonly vm: string;
  readonly incarnation: string;
  readonly address: Address;
}

/** The gateways that may be at work. */
export interface GatewayList {
  /** All but this one. */
  others(): readonly Gateway[];
  /** Whether an incarnation renews its record in time. */
  isRenewed(incarnation: string): boolean;
  /** Whether the list was read of late, so that it tells who is gone. */
  isCurrent(): boolean;
  /** Removes this gateway's record. */
  leave(): Promise<void>;
}

interface Sighting {
  readonly gateway: Gateway;
  readonly revision: number;
  /** Time for which the record has been seen not to change, in milliseconds. */
  readonly silentMs: number;
}

const parse = (vm: string, value: Buffer): Gateway | undefined => {
  try {
    const { incarnation, host, port } = recordSchema.parse(JSON.parse(value.toString()));
    return { vm, incarnation, address: { host, port } };
  } catch {
    return undefined;
  }
};

/** Keeps this gateway's record renewed and follows the others'. */
export const newGatewayList = (
  store: RecordStore,
  self: Gateway,
  clock: Clock,
  log: Logger,
): GatewayList => {
  let sightings: ReadonlyMap<string, Sighting> = new Map();
  let beat = 0;
  let isLeaving = false;
  let lastReadMs: number | undefined;
  let isRenewing = false;

  const name = { table: TABLE, partition: '', key: self.vm };

  const renew = async (): Promise<void> => {
    if (isRenewing || isLeaving) return;
    isRenewing = true;
    beat += 1;
    const { host, port } = self.address;
    const value = JSON.stringify({ incarnation: self.incarnation, host, port, beat });
    const commit = await store.commit({
      checks: [],
      writes: [{ ...name, value: Buffer.from(value) }],
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
    const gateway = value === undefined ? undefined : parse(vm, value);
    if (gateway === undefined) return undefined;
    if (known?.gateway.incarnation !== gateway.incarnation) {
      log.info({ ...gateway }, 'gateway seen');
    }
    return { gateway, revision, silentMs: 0 };
  };

  newRecordWatch(
    store,
    { table: TABLE, hasPartitions: false, readEveryMs: READ_EVERY_MS, isWatched: false },
    ({ records, askedMs }) => {
      const sinceReadMs = askedMs - (lastReadMs ?? askedMs);
      lastReadMs = askedMs;
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

  const tick = (): void => {
    renew().catch((fault: unknown) => log.error({ reason: getFaultMessage(fault) }, 'heartbeat'));
  };
  tick();
  clock.every(HEARTBEAT_MS, tick);

  const getAlive = (silenceMs: number): Gateway[] =>
    [...sightings.values()]
      .filter(({ silentMs }) => silentMs < silenceMs)
      .map(({ gateway }) => gateway);

  return {
    others: () => getAlive(GONE_AFTER_MS),
    isRenewed: (incarnation) =>
      getAlive(LATE_AFTER_MS).some((gateway) => gateway.incarnation === incarnation),
    isCurrent: () => lastReadMs !== undefined && clock.monotonic() - lastReadMs < 2 * READ_EVERY_MS,
    leave: async () => {
      isLeaving = true;
      const commit = await store.commit({ checks: [], writes: [], removals: [name] });
      if (!commit.ok) {
        log.warn({ reason: getPlatformErrorText(commit.error) }, 'record not removed');
      }
    },
  };
};
