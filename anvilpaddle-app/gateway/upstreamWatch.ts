/** Follows the list of upstreams in the store and selects those that can get work. */
import type { Clock, Logger } from '@anvilpaddle/common';
import type { RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch, type RecordUpdate } from './recordWatch';
import type { Upstream } from './types';

/** Time between full reads; below the time in which a draining upstream must stop getting work. */
const READ_INTERVAL_MS = 1200;

/**
 * Time for which upstreams that the store no longer lists are kept after it is reachable again.
 * Their records may have expired during the outage, and they need this time to write them again.
 */
const EXPIRY_GRACE_MS = 2000;

/** Time for which an upstream gets no work after another process answered at its address. */
const REPLACED_EXCLUSION_MS = 5000;

/** Time for which a run that said that it leaves is remembered after that. */
const LEAVING_MEMORY_MS = 600_000;

/** Where the platform stores the upstreams, and how to parse them. */
export interface UpstreamSource {
  readonly table: string;
  /** Undefined when the value describes no upstream. */
  parse(id: string, value: Buffer): Upstream | undefined;
}

/** Upstreams that the store lists. */
export interface UpstreamWatch {
  /** Upstreams of a service that can get work. */
  getUsable(service: string): readonly Upstream[];
  /** Whether an upstream of the list can get work. */
  isUsable(upstream: Upstream): boolean;
  /** The upstream with this id, whether or not it can get work. */
  get(id: string): Upstream | undefined;
  getAll(): readonly Upstream[];
  /** Reports that another process answered at an upstream's address before its record expired. */
  reportReplaced(upstream: Upstream): void;
  /** Reports that an upstream says in its responses that it leaves: its run gets no more work. */
  reportLeaving(upstream: Upstream): void;
  stop(): void;
}

const getStateText = (upstream: Upstream | undefined): string => {
  if (upstream === undefined) return 'gone';
  return upstream.isDraining ? 'leaving' : 'usable';
};

/** Connections of the list to its gateway. */
export interface UpstreamWatchHooks {
  /** Whether the upstreams of a failure domain get no work. */
  isClosed(failureDomain: string): boolean;
  /** Called for each record of an upstream, also for one that was read before. */
  onRecord(upstream: Upstream, revision: number): void;
  /** Called after each update from the store. */
  onChange(): void;
}

/** Starts to follow the list. */
export const newUpstreamWatch = (
  store: RecordStore,
  source: UpstreamSource,
  { isClosed, onRecord, onChange }: UpstreamWatchHooks,
  clock: Clock,
  log: Logger,
): UpstreamWatch => {
  const upstreams = new Map<string, Upstream>();
  let byService = new Map<string, Upstream[]>();
  /** Failure domains of the upstreams in `byService`. */
  let failureDomains: ReadonlySet<string> = new Set();
  /** Monotonic time until which an incarnation that was reported as replaced gets no work. */
  const excludedUntilMs = new Map<string, number>();
  /** Monotonic time at which each incarnation last said that it leaves. */
  const leavingMs = new Map<string, number>();

  const rebuildIndex = (): void => {
    byService = new Map();
    upstreams.forEach((upstream) => {
      if (upstream.isDraining) return;
      const serviceUpstreams = byService.get(upstream.service) ?? [];
      serviceUpstreams.push(upstream);
      byService.set(upstream.service, serviceUpstreams);
    });
    failureDomains = new Set([...upstreams.values()].map(({ failureDomain }) => failureDomain));
  };

  const applyRecord = ({ key, value, revision }: StoredRecord): void => {
    const known = upstreams.get(key);
    const next = value === undefined ? undefined : source.parse(key, value);
    if (value !== undefined && next === undefined) {
      log.warn({ upstream: key, revision }, 'unreadable upstream record');
    }
    if (next === undefined) upstreams.delete(key);
    else {
      upstreams.set(key, next);
      onRecord(next, revision);
    }
    const isUnchanged =
      known?.incarnation === next?.incarnation && known?.isDraining === next?.isDraining;
    if (isUnchanged) return;
    const service = (next ?? known)?.service;
    log.info({ upstream: key, service, state: getStateText(next), revision }, 'upstream');
  };

  /** Monotonic time until which an upstream is kept although the store no longer lists it. */
  const keepUntilById = new Map<string, number>();

  const remove = (key: string, revision: number): void => {
    keepUntilById.delete(key);
    applyRecord({ table: source.table, partition: '', key, value: undefined, revision });
  };

  const handleMissing = (key: string, { revision, recoveredMs }: RecordUpdate): void => {
    const keepUntilMs = (recoveredMs ?? -Infinity) + EXPIRY_GRACE_MS;
    if (clock.monotonic() >= keepUntilMs) remove(key, revision);
    else keepUntilById.set(key, keepUntilMs);
  };

  const applyUpdate = (update: RecordUpdate): void => {
    const { records, isSnapshot, revision } = update;
    records.forEach((record) => {
      if (record.value === undefined) {
        if (upstreams.has(record.key)) handleMissing(record.key, update);
        return;
      }
      keepUntilById.delete(record.key);
      applyRecord(record);
    });
    if (isSnapshot) {
      const present = new Set(records.map(({ key }) => key));
      [...upstreams.keys()]
        .filter((key) => !present.has(key))
        .forEach((key) => handleMissing(key, update));
    }
    [...keepUntilById]
      .filter(([, keepUntilMs]) => clock.monotonic() >= keepUntilMs)
      .forEach(([key]) => remove(key, revision));
    rebuildIndex();
    onChange();
  };

  const watch = newRecordWatch(
    store,
    {
      table: source.table,
      hasPartitions: false,
      readIntervalMs: READ_INTERVAL_MS,
      isWatched: true,
    },
    applyUpdate,
    clock,
    log,
  );

  const isExcluded = ({ incarnation }: Upstream): boolean =>
    leavingMs.has(incarnation) || (excludedUntilMs.get(incarnation) ?? 0) > clock.monotonic();

  return {
    getUsable: (service) => {
      const listed = byService.get(service) ?? [];
      // Asked once for each domain: the upstreams are looked up far more often than domains close.
      const closed = new Set([...failureDomains].filter(isClosed));
      const usable =
        closed.size === 0
          ? listed
          : listed.filter(({ failureDomain }) => !closed.has(failureDomain));
      return excludedUntilMs.size === 0 && leavingMs.size === 0
        ? usable
        : usable.filter((item) => !isExcluded(item));
    },
    isUsable: (upstream) =>
      !upstream.isDraining && !isExcluded(upstream) && !isClosed(upstream.failureDomain),
    get: (id) => upstreams.get(id),
    reportReplaced: ({ id, service, incarnation }) => {
      const nowMs = clock.monotonic();
      excludedUntilMs.forEach((untilMs, known) => {
        if (untilMs <= nowMs) excludedUntilMs.delete(known);
      });
      if (excludedUntilMs.has(incarnation)) return;
      excludedUntilMs.set(incarnation, nowMs + REPLACED_EXCLUSION_MS);
      log.warn(
        { upstream: id, service, forMs: REPLACED_EXCLUSION_MS },
        'upstream replaced at its address',
      );
    },
    reportLeaving: ({ id, service, incarnation }) => {
      const nowMs = clock.monotonic();
      if (!leavingMs.has(incarnation)) {
        log.info({ upstream: id, service }, 'upstream says it leaves');
      }
      leavingMs.set(incarnation, nowMs);
      leavingMs.forEach((saidMs, known) => {
        if (nowMs - saidMs > LEAVING_MEMORY_MS) leavingMs.delete(known);
      });
    },
    getAll: () => [...upstreams.values()],
    stop: () => watch.stop(),
  };
};
