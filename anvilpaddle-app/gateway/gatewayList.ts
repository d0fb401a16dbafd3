/** The gateways of the fleet: each keeps a record of itself in the store and reads the others'. */
import {
  getFaultMessage,
  MS_PER_SECOND,
  type Address,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import { z } from 'zod';
import { getPlatformErrorText, type RecordStore } from '@anvilpaddle/platform';
import { newRecordWatch } from './recordWatch';

const TABLE = 'gateways';
const HEARTBEAT_MS = MS_PER_SECOND;
const READ_EVERY_MS = MS_PER_SECOND;
/**
 * Silence after which a gateway is gone. By then it has also stopped trusting keys, as it can't reach
 * the store, and so admits nothing.
 */
const GONE_AFTER_MS = 6 * MS_PER_SECOND;

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
  /** Whether an incarnation has a record that is still renewed. */
  isKnown(incarnation: string): boolean;
  /** Whether the list has been read since this process could tell who is gone. */
  isSettled(): boolean;
  /** Removes this gateway's record. */
  leave(): Promise<void>;
}

interface Sighting {
  readonly gateway: Gateway;
  readonly revision: number;
  readonly changedMs: number;
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
  const sightings = new Map<string, Sighting>();
  let beat = 0;
  let isLeaving = false;
  let firstReadMs: number | undefined;
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

  const note = (vm: string, value: Buffer | undefined, revision: number): void => {
    const known = sightings.get(vm);
    if (value === undefined || known?.revision === revision) return;
    const gateway = parse(vm, value);
    if (gateway === undefined) return;
    if (known?.gateway.incarnation !== gateway.incarnation) {
      log.info({ ...gateway }, 'gateway seen');
    }
    sightings.set(vm, { gateway, revision, changedMs: clock.monotonic() });
  };

  newRecordWatch(
    store,
    { table: TABLE, hasPartitions: false, readEveryMs: READ_EVERY_MS, isWatched: false },
    ({ records }) => {
      firstReadMs ??= clock.monotonic();
      const present = new Set(records.map(({ key }) => key));
      [...sightings.keys()].filter((vm) => !present.has(vm)).forEach((vm) => sightings.delete(vm));
      records.filter(({ key }) => key !== self.vm).forEach((r) => note(r.key, r.value, r.revision));
    },
    clock,
    log,
  );

  const tick = (): void => {
    renew().catch((fault: unknown) => log.error({ reason: getFaultMessage(fault) }, 'heartbeat'));
  };
  tick();
  clock.every(HEARTBEAT_MS, tick);

  const isAlive = ({ changedMs }: Sighting): boolean =>
    clock.monotonic() - changedMs < GONE_AFTER_MS;

  return {
    others: () => [...sightings.values()].filter(isAlive).map(({ gateway }) => gateway),
    isKnown: (incarnation) =>
      incarnation === self.incarnation ||
      [...sightings.values()].some(
        (sighting) => sighting.gateway.incarnation === incarnation && isAlive(sighting),
      ),
    isSettled: () => firstReadMs !== undefined,
    leave: async () => {
      isLeaving = true;
      const commit = await store.commit({ checks: [], writes: [], removals: [name] });
      if (!commit.ok) {
        log.warn({ reason: getPlatformErrorText(commit.error) }, 'record not removed');
      }
    },
  };
};
