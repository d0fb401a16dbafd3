/** Record store and object store in memory, with the conditions of the real one and faults. */
import { newFailure, newOk } from '@anvilpaddle/common';
import type {
  ObjectStore,
  RecordChange,
  RecordName,
  RecordStore,
  StoredRecord,
} from '@anvilpaddle/platform';

/** How a commit goes. */
export const COMMIT_FAULT = {
  none: 'none',
  /** Nothing is done. */
  refused: 'refused',
  /** Done, but not answered. */
  answerLost: 'answerLost',
  /** Neither done nor answered. */
  callLost: 'callLost',
  /** Not answered, and done before a later commit if its checks still hold. */
  late: 'late',
} as const;
export type CommitFault = (typeof COMMIT_FAULT)[keyof typeof COMMIT_FAULT];

const STORE_MS = 1000;
const UNKNOWN = newFailure({ kind: 'unknown' as const, detail: 'no answer' });

/** Stores without any content; `getFault` is asked at each commit. */
export const newMemoryStore = (getFault: () => CommitFault = () => COMMIT_FAULT.none) => {
  let revision = 0;
  let late: RecordChange[] = [];
  const rows = new Map<string, StoredRecord>();
  /** Every value that a record has had, the oldest first. */
  const history = new Map<string, string[]>();
  const contents = new Map<string, Buffer>();

  const getName = ({ table, partition, key }: RecordName): string => `${table}/${partition}/${key}`;

  /** Makes a change if its checks hold. */
  const apply = ({ checks, writes, removals = [] }: RecordChange): boolean => {
    const isMet = checks.every(
      (check) => (rows.get(getName(check))?.revision ?? 0) === check.revision,
    );
    if (!isMet) return false;
    revision += 1;
    writes.forEach((write) => {
      const name = getName(write);
      rows.set(name, { ...write, revision });
      history.set(name, [...(history.get(name) ?? []), write.value.toString()]);
    });
    removals.forEach((name) => rows.delete(getName(name)));
    return true;
  };

  const applyLate = (): void => {
    const changes = late;
    late = [];
    changes.forEach(apply);
  };

  const records: RecordStore = {
    read: (table, partition, { from = '', to } = {}) =>
      Promise.resolve(
        newOk({
          records: [...rows.values()]
            .filter((row) => row.table === table && row.partition === partition)
            .filter(({ key }) => key >= from && (to === undefined || key < to))
            .sort((a, b) => (a.key < b.key ? -1 : 1)),
          revision,
          storeMs: STORE_MS,
        }),
      ),
    partitions: () => Promise.resolve(newOk([])),
    commit: (change) => {
      const fault = getFault();
      if (fault !== COMMIT_FAULT.late) applyLate();
      switch (fault) {
        case COMMIT_FAULT.refused:
          return Promise.resolve(newFailure({ kind: 'unavailable', detail: 'refused' }));
        case COMMIT_FAULT.callLost:
          return Promise.resolve(UNKNOWN);
        case COMMIT_FAULT.late:
          late.push(change);
          return Promise.resolve(UNKNOWN);
        default: {
          const committed = apply(change);
          if (fault === COMMIT_FAULT.answerLost) return Promise.resolve(UNKNOWN);
          return Promise.resolve(
            newOk(
              committed ? { committed, revision, storeMs: STORE_MS } : { committed, records: [] },
            ),
          );
        }
      }
    },
    watch: () => Promise.resolve(newFailure({ kind: 'history_gone' })),
  };
  const objects: ObjectStore = {
    put: (key, body) => {
      contents.set(key, body);
      return Promise.resolve(newOk(undefined));
    },
    get: (key) => Promise.resolve(newOk(contents.get(key))),
    remove: (key) => {
      contents.delete(key);
      return Promise.resolve(newOk(undefined));
    },
  };
  return { records, objects, rows, history, contents };
};
