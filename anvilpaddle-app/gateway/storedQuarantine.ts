/** Quarantine that is kept in the store, so that it outlasts all gateways. */
import { getErrorMessage, MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import {
  DIGEST_MARK,
  newInputQuarantine,
  type InputQuarantine,
  type PartReport,
  type QuarantineChange,
} from '@anvilpaddle/decisions';
import {
  getPlatformErrorMessage,
  type RecordChange,
  type RecordStore,
  type StoredRecord,
} from '@anvilpaddle/platform';
import { sleep } from '../process/program';
import { parsePartReport } from './partReport';
import { newQuarantineTrials, QUARANTINE_TABLE, type QuarantineTrials } from './quarantineTrials';
import { newRecordWatch } from './recordWatch';

/** Interval of the reads: peers tell sooner, and only a gateway that was cut off from them learns here. */
const READ_INTERVAL_MS = 30 * MS_PER_SECOND;
const WRITE_RETRY_MS = MS_PER_SECOND;

const getName = (part: string) => ({ table: QUARANTINE_TABLE, partition: '', key: part });

const parseRecord = ({ value }: StoredRecord): PartReport | undefined => {
  try {
    return value === undefined ? undefined : parsePartReport(JSON.parse(value.toString()));
  } catch {
    return undefined;
  }
};

/** Quarantine of one gateway, with the trials of its requests. */
export interface StoredQuarantine extends InputQuarantine {
  readonly trials: QuarantineTrials;
}

/** Creates the quarantine and starts to read what is stored into it. */
export const newStoredQuarantine = (
  store: RecordStore,
  onChange: (change: QuarantineChange) => void,
  clock: Clock,
  log: Logger,
): StoredQuarantine => {
  /** Whether each part that was read or saved is to be in the store. */
  const wanted = new Map<string, boolean>();

  const getChange = (report: PartReport): RecordChange => {
    const name = getName(report.part);
    return report.isQuarantined
      ? {
          // Another gateway may have stored it before.
          checks: [{ ...name, revision: 0 }],
          writes: [{ ...name, value: Buffer.from(JSON.stringify(report)) }],
        }
      : { checks: [], writes: [], removals: [name] };
  };

  const commitUntilAnswered = async (report: PartReport): Promise<void> => {
    for (;;) {
      const commit = await store.commit(getChange(report));
      if (commit.ok || wanted.get(report.part) !== report.isQuarantined) return;
      log.warn(
        { part: report.part, reason: getPlatformErrorMessage(commit.error) },
        'quarantine not stored yet',
      );
      await sleep(clock, WRITE_RETRY_MS);
    }
  };

  const save = (report: PartReport): void => {
    if (wanted.get(report.part) === report.isQuarantined) return;
    wanted.set(report.part, report.isQuarantined);
    commitUntilAnswered(report).catch((error: unknown) =>
      log.error({ part: report.part, reason: getErrorMessage(error) }, 'quarantine not stored'),
    );
  };

  const quarantine = newInputQuarantine((change) => {
    onChange(change);
    save(change.report);
  });

  newRecordWatch(
    store,
    {
      table: QUARANTINE_TABLE,
      hasPartitions: false,
      readIntervalMs: READ_INTERVAL_MS,
      isWatched: false,
    },
    ({ records }) =>
      records
        .flatMap((record) => parseRecord(record) ?? [])
        .filter(({ part }) => !wanted.has(part))
        .forEach((report) => {
          wanted.set(report.part, true);
          const isRequest = report.part.startsWith(DIGEST_MARK);
          const { requests, parts } = quarantine;
          (isRequest ? requests : parts).restore(report, clock.monotonic());
        }),
    clock,
    log,
  );

  return { ...quarantine, trials: newQuarantineTrials(store, clock, log) };
};
