/** The upstreams that may be given work. */
import type { Clock, Logger } from '@anvilpaddle/common';
import type { RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { newRecordWatch } from './recordWatch';
import type { Upstream } from './types';

/** Time between whole reads, within the time in which a leaving upstream must get no more work. */
const READ_EVERY_MS = 1200;

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
  stop(): void;
}

const getState = (upstream: Upstream | undefined): string => {
  if (upstream === undefined) return 'gone';
  return upstream.isLeaving ? 'leaving' : 'usable';
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

  const index = (): void => {
    byService = new Map();
    upstreams.forEach((upstream) => {
      if (upstream.isLeaving) return;
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
    const isSame = known?.incarnation === next?.incarnation && known?.isLeaving === next?.isLeaving;
    if (isSame) return;
    const service = (next ?? known)?.service;
    log.info({ upstream: key, service, state: getState(next), revision }, 'upstream');
  };

  const watch = newRecordWatch(
    store,
    { table: source.table, hasPartitions: false, readEveryMs: READ_EVERY_MS, isWatched: true },
    ({ records, isWhole, revision }) => {
      records.forEach(put);
      if (isWhole) {
        const keys = new Set(records.map(({ key }) => key));
        [...upstreams.keys()]
          .filter((key) => !keys.has(key))
          .forEach((key) =>
            put({ table: source.table, partition: '', key, value: undefined, revision }),
          );
      }
      index();
      onChange();
    },
    clock,
    log,
  );

  return {
    getUsable: (service) => byService.get(service) ?? [],
    all: () => [...upstreams.values()],
    stop: () => watch.stop(),
  };
};
