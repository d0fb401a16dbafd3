/** Which entries the platform's list has dropped, as one reader sees it; times are monotonic. */
export interface AbsenceTracker {
  /** The list has been read; `known` are the entries that it ought to name. */
  recordList(listed: ReadonlySet<string>, known: readonly string[], nowMs: number): void;
  /** Entries that surely run no more. `patience` is how many reads later than others to say so. */
  getPresumedStopped(patience: number, nowMs: number): ReadonlySet<string>;
  /** Whether any known entry is missing. */
  isAnyMissing(): boolean;
}

interface Absence {
  readonly sinceMs: number;
  readonly reads: number;
}

/** Reads of the list that must all miss an entry which it has named to this reader before. */
const ABSENT_READS = 3;
const ABSENT_MS = 1500;
/** Absence after which an entry counts as gone that this reader has never been told of. */
const NEVER_NAMED_MS = 60_000;

/** Absences of a reader that has not read the list yet. */
export const newAbsenceTracker = (): AbsenceTracker => {
  const named = new Set<string>();
  const absences = new Map<string, Absence>();

  const isGone = (entry: string, { sinceMs, reads }: Absence, patience: number, nowMs: number) =>
    named.has(entry)
      ? reads >= ABSENT_READS + patience && nowMs - sinceMs >= ABSENT_MS
      : nowMs - sinceMs >= NEVER_NAMED_MS;

  return {
    recordList: (listed, known, nowMs) => {
      const expected = new Set(known);
      listed.forEach((entry) => named.add(entry));
      [...named]
        .filter((entry) => !listed.has(entry) && !expected.has(entry))
        .forEach((entry) => named.delete(entry));
      [...absences.keys()]
        .filter((entry) => listed.has(entry) || !expected.has(entry))
        .forEach((entry) => absences.delete(entry));
      known
        .filter((entry) => !listed.has(entry))
        .forEach((entry) => {
          const absence = absences.get(entry) ?? { sinceMs: nowMs, reads: 0 };
          absences.set(entry, { ...absence, reads: absence.reads + 1 });
        });
    },
    getPresumedStopped: (patience, nowMs) =>
      new Set(
        [...absences]
          .filter(([entry, absence]) => isGone(entry, absence, patience, nowMs))
          .map(([entry]) => entry),
      ),
    isAnyMissing: () => absences.size > 0,
  };
};
