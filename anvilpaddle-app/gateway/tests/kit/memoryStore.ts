/** In-memory record store and object store with conditional commits and injected faults. */
import { newFailure, newOk } from '@anvilpaddle/common';
import type {
  ObjectStore,
  RecordChange,
  RecordName,
  RecordStore,
  StoredRecord,
} from '@anvilpaddle/platform';

/** Fault that is injected into a commit. */
export const COMMIT_FAULT = {
  none: 'none',
  /** The commit is refused and has no effect. */
  refused: 'refused',
  /** The commit takes effect, but its response is lost. */
  answerLost: 'answerLost',
  /** The request is lost: no effect and no response. */
  callLost: 'callLost',
  /** No response; the commit is applied before a later one, if its checks still hold then. */
  late: 'late',
} as const;
/** One of the faults. */
export type CommitFault = (typeof COMMIT_FAULT)[keyof typeof COMMIT_FAULT];

const STORE_MS = 1000;
const NO_RESPONSE = newFailure({ kind: 'unknown' as const, detail: 'no response' });

/** Creates empty stores; `getFault` is called at each commit. */
export const newMemoryStore = (getFault: () => CommitFault = () => COMMIT_FAULT.none) => {
  let revision = 0;
  /** Changes whose commits were delayed. */
  let delayedChanges: RecordChange[] = [];
  const rows = new Map<string, StoredRecord>();
  /** All values of each record, oldest first. */
  const history = new Map<string, string[]>();
  const objectContents = new Map<string, Buffer>();

  const getName = ({ table, partition, key }: RecordName): string => `${table}/${partition}/${key}`;

  /** Applies a change if its checks hold; returns whether they did. */
  const apply = ({ checks, writes, removals = [] }: RecordChange): boolean => {
    const doChecksHold = checks.every(
      (check) => (rows.get(getName(check))?.revision ?? 0) === check.revision,
    );
    if (!doChecksHold) return false;
    revision += 1;
    writes.forEach((write) => {
      const name = getName(write);
      rows.set(name, { ...write, revision });
      history.set(name, [...(history.get(name) ?? []), write.value.toString()]);
    });
    removals.forEach((name) => rows.delete(getName(name)));
    return true;
  };

  const applyDelayedChanges = (): void => {
    const changes = delayedChanges;
    delayedChanges = [];
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
      if (fault !== COMMIT_FAULT.late) applyDelayedChanges();
      switch (fault) {
        case COMMIT_FAULT.refused:
          return Promise.resolve(newFailure({ kind: 'unavailable', detail: 'refused' }));
        case COMMIT_FAULT.callLost:
          return Promise.resolve(NO_RESPONSE);
        case COMMIT_FAULT.late:
          delayedChanges.push(change);
          return Promise.resolve(NO_RESPONSE);
        default: {
          const committed = apply(change);
          if (fault === COMMIT_FAULT.answerLost) return Promise.resolve(NO_RESPONSE);
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
      objectContents.set(key, body);
      return Promise.resolve(newOk(undefined));
    },
    get: (key) => Promise.resolve(newOk(objectContents.get(key))),
    remove: (key) => {
      objectContents.delete(key);
      return Promise.resolve(newOk(undefined));
    },
  };
  return { records, objects, rows, history, objectContents };
};
