/** Leases on rows of the store, and detection of leases that have expired. */
import { MS_PER_SECOND } from '@anvilpaddle/common';

/** Maximum number of lease renewals that all sidecars together write per second. */
const MAX_RENEWALS_PER_SECOND = 100;
const RENEWALS_PER_LEASE = 3;
/** Extra wait before a takeover, as a fraction of the lease, for a last renewal in flight. */
const EXPIRY_MARGIN = 0.25;
/** Maximum number of rows with observations; the least recently read ones are dropped. */
const MAX_WATCHED_ROWS = 20_000;

/** Duration of a lease in ms: the configured one, extended so that a large fleet's renewals fit. */
export const getLeaseMs = (configuredMs: number, sidecarCount: number): number =>
  Math.max(
    configuredMs,
    (sidecarCount * RENEWALS_PER_LEASE * MS_PER_SECOND) / MAX_RENEWALS_PER_SECOND,
  );

/** Interval between two renewals in ms. */
export const getRenewalMs = (leaseMs: number): number => leaseMs / RENEWALS_PER_LEASE;

/** What is known of a row that was read at least once. */
interface Observation {
  readonly revision: number;
  readonly lastReadMs: number;
  /** Time for which the row was observed without a change. */
  readonly unchangedMs: number;
}

/** Detects expired leases by the monotonic clock of the process that wants to take them over. */
export interface LeaseWatch {
  /** Records the revision read of a row; returns true if its lease has certainly expired. */
  observe(key: string, revision: number, leaseMs: number, nowMs: number): boolean;
  /** Drops what was observed of a row. */
  forget(key: string): void;
}

/**
 * Creates a watch without observations. The time between two reads of a row counts for at most half
 * a lease: while the store was unavailable or this process was paused, renewals could not be seen.
 */
export const newLeaseWatch = (): LeaseWatch => {
  const observations = new Map<string, Observation>();
  return {
    observe: (key, revision, leaseMs, nowMs) => {
      const known = observations.get(key);
      const isUnchanged = known !== undefined && known.revision === revision;
      const gapMs = isUnchanged ? Math.min(nowMs - known.lastReadMs, leaseMs / 2) : 0;
      const unchangedMs = isUnchanged ? known.unchangedMs + gapMs : 0;
      observations.delete(key);
      observations.set(key, { revision, lastReadMs: nowMs, unchangedMs });
      const oldest =
        observations.size > MAX_WATCHED_ROWS ? observations.keys().next().value : undefined;
      if (oldest !== undefined) observations.delete(oldest);
      return unchangedMs >= leaseMs * (1 + EXPIRY_MARGIN);
    },
    forget: (key) => {
      observations.delete(key);
    },
  };
};
