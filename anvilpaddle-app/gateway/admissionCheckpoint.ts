/** Checkpoints of the teams' admissions in the store, from which a gateway that starts restores them. */
import { MS_PER_SECOND, type Clock } from '@anvilpaddle/common';
import { z } from 'zod';
import type { AdmissionMark, AdmissionSlots } from '@anvilpaddle/decisions';
import type { RecordStore, RecordWrite, StoredRecord } from '@anvilpaddle/platform';
import { sleep } from '../process/program';

/** Table of the checkpoints, one a VM. It is apart from the list of gateways, which all read often. */
const TABLE = 'admissions';
/** Largest number of teams whose admissions one checkpoint holds. */
const MAX_TEAMS = 300;
/** Largest number of slots that are read of a window. */
const MAX_SLOTS = 64;
const RETRY_DELAY_MS = 150;
/** Largest number of restarts that a checkpoint names. */
const MAX_RESTARTS = 8;
/** Time within which the gateways of one restart start. */
const RESTART_MS = MS_PER_SECOND;
/** Time after a gateway's last checkpoint within which it may have admitted more. */
const MAX_UNSTORED_MS = 2 * MS_PER_SECOND;

const checkpointSchema = z.object({
  /** Time of writing on the store's clock, in milliseconds. */
  atStoreMs: z.number(),
  /** Admissions of all gateways in the limit's window by team, as far as the writer knows them. */
  spent: z.array(z.unknown()),
  /** Recent restarts of all gateways on the store's clock; a gateway of an earlier version names none. */
  restarts: z.array(z.number()).max(MAX_RESTARTS).catch([]),
});

/** A team and its admissions in each slot of the window; an odd entry costs that entry alone. */
const teamSchema = z.tuple([z.string(), z.array(z.int().nonnegative()).max(MAX_SLOTS)]);

/** What one gateway knows of the admissions. */
interface Checkpoint {
  readonly atStoreMs: number;
  readonly spent: readonly (readonly [string, readonly number[]])[];
  readonly restarts: readonly number[];
}

/** Admitted requests in the rate limits' window, by team. */
export type AdmissionsByTeam = ReadonlyMap<string, AdmissionSlots>;

/** Access to the admission counts, which checkpoints hold and from which they are restored at start. */
export interface AdmissionCheckpointHooks {
  /** Admissions in the window now. */
  getAdmissions(): AdmissionsByTeam;
  /** Admissions that `getAdmissions` contains now. */
  getMark(): AdmissionMark;
  /** Called when the admissions of a mark have been stored. */
  onStored(mark: AdmissionMark): void;
  /** Whether many admissions are not stored that this gateway is to store before its next heartbeat. */
  hasUnstored(): boolean;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
  /** Called at start for each recent checkpoint with its admissions and its age in milliseconds. */
  onRestored(admissions: AdmissionsByTeam, ageMs: number): void;
}

/** Checkpoints of one gateway and its peers. */
export interface AdmissionCheckpoint {
  /** This gateway's checkpoint at a time of the store's clock. */
  getWrite(storeMs: number): RecordWrite;
  /** Restores the admissions of records that hold some and are recent. */
  restoreFrom(records: readonly StoredRecord[], storeMs: number): void;
  /** Reads and restores all checkpoints; resolves once a read has succeeded. */
  restore(): Promise<void>;
  /**
   * Number of starts of this gateway and of those before it in the window, each after admissions that may
   * not have been stored. They matter only if no gateway has run for the whole window.
   */
  countRestarts(storeMs: number): number;
}

const parseTeam = (entry: unknown): [string, number[]][] => {
  const team = teamSchema.safeParse(entry);
  return team.success ? [team.data] : [];
};

const parseCheckpoint = (value: Buffer | undefined): Checkpoint | undefined => {
  if (value === undefined) return undefined;
  try {
    const checkpoint = checkpointSchema.parse(JSON.parse(value.toString()));
    return { ...checkpoint, spent: checkpoint.spent.flatMap((entry) => parseTeam(entry)) };
  } catch {
    return undefined;
  }
};

/** Creates the checkpoint of the gateway on a VM. */
export const newAdmissionCheckpoint = (
  store: RecordStore,
  vm: string,
  { getAdmissions, windowMs, onRestored }: AdmissionCheckpointHooks,
  clock: Clock,
): AdmissionCheckpoint => {
  /** Starts of the gateways in the window on the store's clock, one for each restart of all. */
  let restarts: readonly number[] = [];

  const addRestart = (restartMs: number): void => {
    if (restarts.some((known) => Math.abs(known - restartMs) < RESTART_MS)) return;
    restarts = [...restarts, restartMs].slice(-MAX_RESTARTS);
  };

  const restoreFrom = (records: readonly StoredRecord[], storeMs: number): void => {
    const checkpoints = records.flatMap(({ value }) => parseCheckpoint(value) ?? []);
    const isRecent = (atMs: number): boolean => storeMs - atMs < windowMs;
    checkpoints
      .filter(({ atStoreMs }) => isRecent(atStoreMs))
      .forEach(({ spent, atStoreMs }) => onRestored(new Map(spent), storeMs - atStoreMs));
    checkpoints.flatMap((checkpoint) => checkpoint.restarts.filter(isRecent)).forEach(addRestart);
    if (checkpoints.some(({ atStoreMs }) => isRecent(atStoreMs + MAX_UNSTORED_MS))) {
      addRestart(storeMs);
    }
  };

  return {
    getWrite: (storeMs) => {
      const checkpoint: Checkpoint = {
        atStoreMs: Math.round(storeMs),
        spent: [...getAdmissions()].slice(0, MAX_TEAMS).map(([team, slots]) => [team, [...slots]]),
        restarts: restarts.filter((restartMs) => storeMs - restartMs < windowMs).map(Math.round),
      };
      const value = Buffer.from(JSON.stringify(checkpoint));
      return { table: TABLE, partition: '', key: vm, value };
    },
    restoreFrom,
    countRestarts: (storeMs) =>
      restarts.filter((restartMs) => storeMs - restartMs < windowMs).length,
    restore: async () => {
      for (;;) {
        const page = await store.read(TABLE, '');
        if (page.ok) {
          restoreFrom(page.value.records, page.value.storeMs);
          return;
        }
        await sleep(clock, RETRY_DELAY_MS);
      }
    },
  };
};
