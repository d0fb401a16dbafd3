/** Failure domains whose upstreams the operators want to get nothing more for now. */
import type { Clock, Logger } from '@anvilpaddle/common';
import { newFreshness } from '@anvilpaddle/decisions';
import type { StoredRecord } from '@anvilpaddle/platform';
import type { FailedCall, RecordUpdate } from './recordWatch';

/**
 * The set is relied on for this fraction of the time within which an evacuation must take effect; the
 * rest is for the requests that are being sent.
 */
const FRESHNESS_FRACTION = 0.85;
/**
 * Minimum time for which the set is relied on. A call to a store that doesn't answer may take 3.3 s, and
 * meanwhile the last known state applies.
 */
const MIN_FRESHNESS_MS = 4000;

/** What the key of a record says. */
export type EvacuationKey =
  | { readonly kind: 'evacuation'; readonly failureDomain: string }
  /** A request for an evacuation without the name of a failure domain. */
  | { readonly kind: 'nameless' }
  /** Not a request for an evacuation. */
  | { readonly kind: 'other' };

/** Called as this gateway learns that an evacuation has ended, by this revision of the store. */
export type OnEvacuationEnd = (failureDomain: string, revision: number) => void;

/** Evacuated failure domains, as the store last listed them. */
export interface Evacuations {
  /** Applies records of the table that holds the requests. */
  applyUpdate(update: RecordUpdate): void;
  /** Applies that a call for the records has failed. */
  applyFailure(call: FailedCall): void;
  isEvacuated(failureDomain: string): boolean;
  /**
   * Whether the set can be relied on. It can't before the first read, and not after this process stood
   * still for so long that an evacuation may have begun and become binding, until the next read.
   */
  isCurrent(): boolean;
  /** Number of evacuated failure domains. */
  getCount(): number;
}

/**
 * Creates the set, of which nothing is known yet. `evacuationMs` is the time after which a request for
 * an evacuation is binding; without it, the set is relied on however old it is.
 */
export const newEvacuations = (
  parseKey: (key: string) => EvacuationKey,
  evacuationMs: number | undefined,
  onEnd: OnEvacuationEnd,
  clock: Clock,
  log: Logger,
): Evacuations => {
  /** Revisions of the requests in force, by failure domain. */
  let evacuated: ReadonlyMap<string, number> = new Map();
  /** Revisions of the last change of each request; they outlive it, so that no older change is applied. */
  const lastRevisions = new Map<string, number>();
  /** Revisions of records without a name that were logged. */
  const namelessRevisions = new Set<number>();
  let hasRead = false;
  const freshness =
    evacuationMs === undefined
      ? undefined
      : newFreshness(Math.max(MIN_FRESHNESS_MS, evacuationMs * FRESHNESS_FRACTION));

  const applyRecord = (
    next: Map<string, number>,
    { key, value, revision }: StoredRecord,
    isSnapshot: boolean,
  ): void => {
    const parsed = parseKey(key);
    if (parsed.kind === 'nameless' && !namelessRevisions.has(revision)) {
      namelessRevisions.add(revision);
      log.warn({ key, revision }, 'evacuation without a failure domain');
    }
    if (parsed.kind !== 'evacuation') return;
    const { failureDomain } = parsed;
    if (!isSnapshot && revision <= (lastRevisions.get(failureDomain) ?? 0)) return;
    lastRevisions.set(failureDomain, revision);
    if (value === undefined) next.delete(failureDomain);
    else next.set(failureDomain, revision);
  };

  const begin = (failureDomain: string, revision: number): void => {
    log.warn({ failureDomain, revision }, 'evacuation begins');
  };

  const end = (failureDomain: string, revision: number): void => {
    log.warn({ failureDomain, revision }, 'evacuation ends');
    onEnd(failureDomain, revision);
  };

  const isCurrent = (): boolean =>
    hasRead && (freshness?.isFresh(clock.monotonic(), clock.wall()) ?? true);

  return {
    applyUpdate: ({ records, isSnapshot, requestedMs, revision }) => {
      hasRead = true;
      freshness?.confirm(requestedMs, clock.wall() - (clock.monotonic() - requestedMs));
      if (records.length === 0 && evacuated.size === 0) return;
      const before = evacuated;
      const next = new Map(isSnapshot ? [] : before);
      records.forEach((record) => applyRecord(next, record, isSnapshot));
      evacuated = next;
      next.forEach((requestRevision, failureDomain) => {
        if (!before.has(failureDomain)) begin(failureDomain, requestRevision);
      });
      before.forEach((_, failureDomain) => {
        if (next.has(failureDomain)) return;
        // A read doesn't tell by which revision the row was removed.
        end(failureDomain, isSnapshot ? revision : (lastRevisions.get(failureDomain) ?? revision));
      });
    },
    applyFailure: ({ requestedMs, requestedWallMs }) => {
      const [nowMs, wallMs] = [clock.monotonic(), clock.wall()];
      const durationMs = Math.max(nowMs - requestedMs, wallMs - requestedWallMs);
      // A call that took longer stood still with its process, and says nothing of the store.
      if (hasRead && durationMs < MIN_FRESHNESS_MS) freshness?.confirm(nowMs, wallMs);
    },
    isEvacuated: (failureDomain) => evacuated.has(failureDomain),
    isCurrent,
    getCount: () => evacuated.size,
  };
};
