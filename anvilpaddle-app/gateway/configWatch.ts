/** The newest configuration that this process knows, and how long its keys may be trusted. */
import { getErrorMessage, type Clock, type Logger } from '@anvilpaddle/common';
import { newFreshness, type Freshness } from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import { newRecordWatch } from './recordWatch';
import type { GatewayConfig, GatewayBounds, Team } from './types';

/** Part of the bound on withdrawn keys for which a read of the configuration counts. */
const TRUST_SHARE = 0.85;

/** How the platform keeps the configuration. */
export interface ConfigSource {
  readonly table: string;
  readonly key: string;
  /** Throws when the record can't be read. */
  parse(value: Buffer): GatewayConfig;
}

/** Configuration in force, with keys by their owner. */
export interface ConfigWatch {
  current(): GatewayConfig | undefined;
  getTeam(key: string): Team | undefined;
  /** Whether a withdrawal of a key would be known here. */
  areKeysFresh(): boolean;
  stop(): void;
}

/** Watches the configuration; `onChange` is called for each new version. */
export const newConfigWatch = (
  store: RecordStore,
  source: ConfigSource,
  bounds: GatewayBounds,
  readEveryMs: number,
  onChange: (deployment: GatewayConfig) => void,
  clock: Clock,
  log: Logger,
): ConfigWatch => {
  let deployment: GatewayConfig | undefined;
  let revision = 0;
  let teamsByKey = new Map<string, Team>();
  const freshness: Freshness = newFreshness(bounds.keyRevocationMs * TRUST_SHARE);

  const apply = (next: GatewayConfig): void => {
    deployment = next;
    teamsByKey = new Map(
      (next.teams ?? []).flatMap((team) => team.keys.map((key) => [key, team] as const)),
    );
    log.info({ version: next.version, routes: next.routes.length }, 'configuration in force');
    onChange(next);
  };

  const watch = newRecordWatch(
    store,
    { table: source.table, hasPartitions: false, readIntervalMs: readEveryMs, isWatched: false },
    ({ records, requestedMs: askedMs }) => {
      freshness.confirm(askedMs, clock.wall() - (clock.monotonic() - askedMs));
      const record = records.find(({ key }) => key === source.key);
      if (record?.value === undefined || record.revision <= revision) return;
      try {
        const next = source.parse(record.value);
        revision = record.revision;
        if (deployment === undefined || next.version > deployment.version) apply(next);
      } catch (fault) {
        log.error(
          { revision: record.revision, reason: getErrorMessage(fault) },
          'bad configuration',
        );
      }
    },
    clock,
    log,
  );

  return {
    current: () => deployment,
    getTeam: (key) => teamsByKey.get(key),
    areKeysFresh: () => freshness.isFresh(clock.monotonic(), clock.wall()),
    stop: () => watch.stop(),
  };
};
