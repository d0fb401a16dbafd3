/** Detects entry processes that have stopped, by their absence from the platform's VM list. */

/** Absences from the VM list as one process reads it; times are monotonic milliseconds. */
export interface AbsenceTracker {
  /** Records one read of the list; `expected` are the addresses that it should contain. */
  recordList(listed: ReadonlySet<string>, expected: readonly string[], nowMs: number): void;
  /**
   * Expected addresses that have been absent long enough to count as stopped. `extraReads` are reads
   * required beyond the minimum, so that several processes reach the conclusion one after another.
   */
  getPresumedStopped(extraReads: number, nowMs: number): ReadonlySet<string>;
  /** Whether the last read missed any expected address. */
  isAnyMissing(): boolean;
}

interface Absence {
  readonly sinceMs: number;
  readonly missedReads: number;
}

/** Consecutive reads that must all miss an address which this process has seen listed before. */
const MIN_MISSED_READS = 3;
/** Shortest absence after which an address that was listed before counts as stopped. */
const MIN_ABSENCE_MS = 1500;
/** Absence after which an address that this process has never seen listed counts as stopped. */
const NEVER_LISTED_ABSENCE_MS = 60_000;

/** Tracker of a process that has not read the list yet. */
export const newAbsenceTracker = (): AbsenceTracker => {
  const seenListed = new Set<string>();
  const absences = new Map<string, Absence>();

  const isPresumedStopped = (
    address: string,
    { sinceMs, missedReads }: Absence,
    extraReads: number,
    nowMs: number,
  ) =>
    seenListed.has(address)
      ? missedReads >= MIN_MISSED_READS + extraReads && nowMs - sinceMs >= MIN_ABSENCE_MS
      : nowMs - sinceMs >= NEVER_LISTED_ABSENCE_MS;

  return {
    recordList: (listed, expected, nowMs) => {
      const expectedSet = new Set(expected);
      listed.forEach((address) => seenListed.add(address));
      [...seenListed]
        .filter((address) => !listed.has(address) && !expectedSet.has(address))
        .forEach((address) => seenListed.delete(address));
      [...absences.keys()]
        .filter((address) => listed.has(address) || !expectedSet.has(address))
        .forEach((address) => absences.delete(address));
      expected
        .filter((address) => !listed.has(address))
        .forEach((address) => {
          const absence = absences.get(address) ?? { sinceMs: nowMs, missedReads: 0 };
          absences.set(address, { ...absence, missedReads: absence.missedReads + 1 });
        });
    },
    getPresumedStopped: (extraReads, nowMs) =>
      new Set(
        [...absences]
          .filter(([address, absence]) => isPresumedStopped(address, absence, extraReads, nowMs))
          .map(([address]) => address),
      ),
    isAnyMissing: () => absences.size > 0,
  };
};
