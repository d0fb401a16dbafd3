/**
 * Checkpoints of the suspects in the store, from their first crash on, so that they outlast a restart of all
 * gateways. A gateway that starts takes each recent checkpoint as if its writer had just told it.
 */
import { getErrorMessage, MS_PER_MINUTE, MS_PER_SECOND } from '@anvilpaddle/common';
import type { Clock, Logger } from '@anvilpaddle/common';
import type { InputQuarantine, PartReport } from '@anvilpaddle/decisions';
import {
  getPlatformErrorMessage,
  type RecordChange,
  type RecordStore,
  type StoredRecord,
} from '@anvilpaddle/platform';
import { z } from 'zod';
import { sleep } from '../process/program';
import { parsePartReports } from './partReport';

/** Table of the checkpoints, one a VM. */
const TABLE = 'suspects';
/** Interval between two writes of a gateway at least, also after one that failed. */
const WRITE_INTERVAL_MS = MS_PER_SECOND;
/** Interval at which a gateway looks whether suspects that it has stored are cleared. */
const REVIEW_INTERVAL_MS = 10 * MS_PER_SECOND;
/** Age from which a crash is no longer restored. */
const MAX_RESTORED_AGE_MS = 60 * MS_PER_MINUTE;
/** Largest checkpoint; suspects with few crashes are left out first. */
const MAX_CHECKPOINT_BYTES = 16_384;
const READ_RETRY_MS = 150;

const checkpointSchema = z.object({
  incarnation: z.string().min(1),
  /** Time of writing on the store's clock, in milliseconds. */
  atStoreMs: z.number(),
  parts: z.unknown(),
  requests: z.unknown(),
});

/** What one gateway knows of the suspects. */
interface Checkpoint {
  readonly incarnation: string;
  readonly atStoreMs: number;
  readonly parts: readonly PartReport[];
  readonly requests: readonly PartReport[];
}

/** Checkpoints of one gateway. */
export interface SuspectCheckpoint {
  /** Stores the suspects soon; called when this gateway has seen a crash. */
  scheduleWrite(): void;
}

const parseCheckpoint = ({ value }: StoredRecord): Checkpoint | undefined => {
  if (value === undefined) return undefined;
  try {
    const { parts, requests, ...head } = checkpointSchema.parse(JSON.parse(value.toString()));
    return { ...head, parts: parsePartReports(parts), requests: parsePartReports(requests) };
  } catch {
    return undefined;
  }
};

/** The reports with their crashes as old as they are now, without those that are too old. */
const getAged = (reports: readonly PartReport[], elapsedMs: number): PartReport[] =>
  reports.map((report) => ({
    ...report,
    isQuarantined: false,
    crashes: report.crashes
      .map(([upstream, ageMs, ...rest]) => [upstream, ageMs + elapsedMs, ...rest] as const)
      .filter(([, ageMs]) => ageMs <= MAX_RESTORED_AGE_MS),
  }));

/** The first of the reports that fit into a number of bytes. */
const getFitting = (reports: readonly PartReport[], maxBytes: number): PartReport[] => {
  let bytes = 0;
  return reports.filter((report) => {
    bytes += Buffer.byteLength(JSON.stringify(report));
    return bytes <= maxBytes;
  });
};

/** Creates the checkpoints of the gateway on a VM, and restores those that are stored. */
export const newSuspectCheckpoint = (
  store: RecordStore,
  self: { readonly vm: string; readonly incarnation: string },
  { parts, requests }: Pick<InputQuarantine, 'parts' | 'requests'>,
  clock: Clock,
  log: Logger,
): SuspectCheckpoint => {
  const recordName = { table: TABLE, partition: '', key: self.vm };
  let storeOffsetMs: number | undefined;
  let isWriting = false;
  let isWriteDue = false;
  /** Suspects in the stored checkpoint of this VM; those of an earlier process are not known here. */
  let storedNames: readonly string[] = [];

  /** Change that stores the suspects; undefined if there are none, and none stored. */
  const getChange = (): RecordChange | undefined => {
    const nowMs = clock.monotonic();
    const reports = {
      requests: getFitting(requests.getCheckpoint(nowMs), MAX_CHECKPOINT_BYTES / 2),
      parts: getFitting(parts.getCheckpoint(nowMs), MAX_CHECKPOINT_BYTES / 2),
    };
    const earlierNames = storedNames;
    storedNames = [...reports.requests, ...reports.parts].map(({ part }) => part);
    if (storedNames.length === 0) {
      if (earlierNames.length === 0) return undefined;
      return { checks: [], writes: [], removals: [recordName] };
    }
    const checkpoint: Checkpoint = {
      incarnation: self.incarnation,
      atStoreMs: Math.round(nowMs + (storeOffsetMs ?? 0)),
      ...reports,
    };
    const value = Buffer.from(JSON.stringify(checkpoint));
    return { checks: [], writes: [{ ...recordName, value }] };
  };

  /** Writes until the newest suspects are stored. */
  const write = async (): Promise<void> => {
    // Before the first read, the checkpoint of an earlier process on this VM would be overwritten.
    if (isWriting || storeOffsetMs === undefined) return;
    isWriting = true;
    try {
      while (isWriteDue) {
        isWriteDue = false;
        const change = getChange();
        if (change === undefined) return;
        const commit = await store.commit(change);
        if (!commit.ok) {
          isWriteDue = true;
          const reason = getPlatformErrorMessage(commit.error);
          log.warn({ suspects: storedNames.length, reason }, 'suspects not stored yet');
        }
        await sleep(clock, WRITE_INTERVAL_MS);
      }
    } finally {
      isWriting = false;
    }
  };

  const scheduleWrite = (): void => {
    isWriteDue = true;
    write().catch((error: unknown) =>
      log.error({ reason: getErrorMessage(error) }, 'suspects not stored'),
    );
  };

  const restoreRecord = (record: StoredRecord, storeMs: number): void => {
    const checkpoint = parseCheckpoint(record);
    if (checkpoint === undefined) return;
    const { incarnation, atStoreMs } = checkpoint;
    const elapsedMs = Math.max(0, storeMs - atStoreMs);
    const nowMs = clock.monotonic();
    parts.updatePeer(incarnation, getAged(checkpoint.parts, elapsedMs), nowMs);
    requests.updatePeer(incarnation, getAged(checkpoint.requests, elapsedMs), nowMs);
    if (record.key !== self.vm) return;
    storedNames = [...checkpoint.requests, ...checkpoint.parts].map(({ part }) => part);
  };

  const restore = async (): Promise<void> => {
    for (;;) {
      const page = await store.read(TABLE, '');
      if (page.ok) {
        const { records, storeMs } = page.value;
        storeOffsetMs = storeMs - clock.monotonic();
        records.forEach((record) => restoreRecord(record, storeMs));
        if (isWriteDue) scheduleWrite();
        return;
      }
      await sleep(clock, READ_RETRY_MS);
    }
  };

  restore().catch((error: unknown) => log.error({ err: error }, 'suspects not restored'));
  clock.every(REVIEW_INTERVAL_MS, () => {
    const isSuspect = (name: string): boolean => parts.isSuspect(name) || requests.isSuspect(name);
    if (!storedNames.every(isSuspect)) scheduleWrite();
  });

  return { scheduleWrite };
};
