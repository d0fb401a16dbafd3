import { MS_PER_SECOND } from '@anvilpaddle/common';

/** Writes a second that all sidecars together may spend on keeping leases. */
const RENEWALS_PER_SECOND = 100;
const RENEWALS_PER_LEASE = 3;
/** Part of the lease that a contender waits on top, for the owner's last renewal in flight. */
const MARGIN = 0.25;
const MAX_WATCHED = 20_000;

/** Length of a lease in ms: the configured one, stretched so that a large fleet's renewals fit. */
export const getLeaseMs = (configuredMs: number, sidecars: number): number =>
  Math.max(configuredMs, (sidecars * RENEWALS_PER_LEASE * MS_PER_SECOND) / RENEWALS_PER_SECOND);

/** Time between two renewals in ms. */
export const getRenewalMs = (leaseMs: number): number => leaseMs / RENEWALS_PER_LEASE;

interface Observation {
  readonly revision: number;
  readonly lastMs: number;
  readonly unchangedMs: number;
}

/** Judges by a contender's own monotonic clock whether the owners of leases are gone. */
export interface LeaseWatch {
  /** Notes what was read of a row; true when its lease has surely lapsed. */
  observe(key: string, revision: number, leaseMs: number, nowMs: number): boolean;
  forget(key: string): void;
}

/**
 * Watch over rows. A gap between two looks counts for at most half a lease: in an outage of the
 * store, or while this process was paused, the owner had no chance to show a renewal.
 */
export const newLeaseWatch = (): LeaseWatch => {
  const seen = new Map<string, Observation>();
  return {
    observe: (key, revision, leaseMs, nowMs) => {
      const known = seen.get(key);
      const isSame = known !== undefined && known.revision === revision;
      const gapMs = isSame ? Math.min(nowMs - known.lastMs, leaseMs / 2) : 0;
      const unchangedMs = isSame ? known.unchangedMs + gapMs : 0;
      seen.delete(key);
      seen.set(key, { revision, lastMs: nowMs, unchangedMs });
      const oldest = seen.size > MAX_WATCHED ? seen.keys().next().value : undefined;
      if (oldest !== undefined) seen.delete(oldest);
      return unchangedMs >= leaseMs * (1 + MARGIN);
    },
    forget: (key) => {
      seen.delete(key);
    },
  };
};
