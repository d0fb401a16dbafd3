/** The upstreams that may be given work. */
import type { Clock, Logger } from '@anvilpaddle/common';
import type { RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch, type RecordUpdate } from './recordWatch';
import type { Upstream } from './types';

/** Time between whole reads, within the time in which a leaving upstream must get no more work. */
const READ_EVERY_MS = 1200;

/** Time after the store's return in which entries that lapsed while it was away come back. */
const LAPSE_MS = 2000;

/** Time for which an upstream gets no work after another process answered at its address. */
const GONE_MS = 5000;

/** How the platform keeps the list of upstreams. */
export interface UpstreamSource {
  readonly table: string;
  /** Undefined when the record names no upstream. */
  parse(id: string, value: Buffer): Upstream | undefined;
}

/** Upstreams of the services, as the store's list has them. */
export interface UpstreamWatch {
  /** Upstreams of a service that take work. */
  getUsable(service: string): readonly Upstream[];
  all(): readonly Upstream[];
  /** Another process answered at an upstream's address; its entry has yet to go. */
  reportReplaced(upstream: Upstream): void;
  stop(): void;
}

const getState = (upstream: Upstream | undefined): string => {
  if (upstream === undefined) return 'gone';
  return upstream.isDraining ? 'leaving' : 'usable';
};

/** Watches the list; `onChange` is called after each change. */
export const newUpstreamWatch = (
  store: RecordStore,
  source: UpstreamSource,
  onChange: () => void,
  clock: Clock,
  log: Logger,
): UpstreamWatch => {
  const upstreams = new Map<string, Upstream>();
  let byService = new Map<string, Upstream[]>();
  /** Time until which incarnations that were reported as gone get no work. */
  const gone = new Map<string, number>();

  const index = (): void => {
    byService = new Map();
    upstreams.forEach((upstream) => {
      if (upstream.isDraining) return;
      const peers = byService.get(upstream.service) ?? [];
      peers.push(upstream);
      byService.set(upstream.service, peers);
    });
  };

  const put = ({ key, value, revision }: StoredRecord): void => {
    const known = upstreams.get(key);
    const next = value === undefined ? undefined : source.parse(key, value);
    if (value !== undefined && next === undefined) {
      log.warn({ upstream: key, revision }, 'unreadable upstream entry');
    }
    if (next === undefined) upstreams.delete(key);
    else upstreams.set(key, next);
    const isSame =
      known?.incarnation === next?.incarnation && known?.isDraining === next?.isDraining;
    if (isSame) return;
    const service = (next ?? known)?.service;
    log.info({ upstream: key, service, state: getState(next), revision }, 'upstream');
  };

  /** Upstreams whose entries lapsed while the store was away, with the time to drop them. */
  const lapsed = new Map<string, number>();

  const drop = (key: string, revision: number): void => {
    lapsed.delete(key);
    put({ table: source.table, partition: '', key, value: undefined, revision });
  };

  const miss = (key: string, { revision, recoveredMs: regainedMs }: RecordUpdate): void => {
    const keepUntilMs = (regainedMs ?? -Infinity) + LAPSE_MS;
    if (clock.monotonic() >= keepUntilMs) drop(key, revision);
    else lapsed.set(key, keepUntilMs);
  };

  const take = (news: RecordUpdate): void => {
    const { records, isSnapshot: isWhole, revision } = news;
    records.forEach((record) => {
      if (record.value === undefined) {
        if (upstreams.has(record.key)) miss(record.key, news);
        return;
      }
      lapsed.delete(record.key);
      put(record);
    });
    if (isWhole) {
      const present = new Set(records.map(({ key }) => key));
      [...upstreams.keys()].filter((key) => !present.has(key)).forEach((key) => miss(key, news));
    }
    [...lapsed]
      .filter(([, keepUntilMs]) => clock.monotonic() >= keepUntilMs)
      .forEach(([key]) => drop(key, revision));
    index();
    onChange();
  };

  const watch = newRecordWatch(
    store,
    { table: source.table, hasPartitions: false, readIntervalMs: READ_EVERY_MS, isWatched: true },
    take,
    clock,
    log,
  );

  return {
    getUsable: (service) => {
      const usable = byService.get(service) ?? [];
      if (gone.size === 0) return usable;
      const nowMs = clock.monotonic();
      return usable.filter(({ incarnation }) => (gone.get(incarnation) ?? 0) <= nowMs);
    },
    reportReplaced: ({ id, service, incarnation }) => {
      const nowMs = clock.monotonic();
      gone.forEach((untilMs, known) => {
        if (untilMs <= nowMs) gone.delete(known);
      });
      if (gone.has(incarnation)) return;
      gone.set(incarnation, nowMs + GONE_MS);
      log.warn({ upstream: id, service, forMs: GONE_MS }, 'upstream replaced at its address');
    },
    all: () => [...upstreams.values()],
    stop: () => watch.stop(),
  };
};
