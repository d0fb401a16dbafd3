/** Follows the configuration in the store, and tells how long its API keys may be trusted. */
import { getErrorMessage, type Clock, type Logger } from '@anvilpaddle/common';
import { newFreshness, type Freshness } from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import { newRecordWatch, type FailedCall, type RecordUpdate } from './recordWatch';
import type { GatewayConfig, GatewayBounds, Team } from './types';

/**
 * A read of the configuration keeps its API keys valid for this fraction of the time within which a
 * revocation must take effect.
 */
const KEY_FRESHNESS_FRACTION = 0.85;

/**
 * Time after which a watch without a change is answered. The answer confirms the keys as of the time
 * of its request, so that it must come soon enough also from a slow store.
 */
const WATCH_TIMEOUT_MS = 400;

/** Where the platform stores the configuration, and how to parse it. */
export interface ConfigSource {
  readonly table: string;
  readonly key: string;
  /** Throws when the value is invalid. */
  parse(value: Buffer): GatewayConfig;
}

/** Called for what the watch of the configuration's table learns. */
export interface ConfigWatchHooks {
  /** Called for each new version. */
  onChange(config: GatewayConfig): void;
  /** Called for each update of the table, before the configuration in it is in force. */
  onUpdate(update: RecordUpdate): void;
  /** Called for each call that has failed. */
  onFailure(call: FailedCall): void;
}

/** Configuration in force, with the teams by API key. */
export interface ConfigWatch {
  current(): GatewayConfig | undefined;
  getTeam(key: string): Team | undefined;
  /** Whether the configuration was read recently enough that a revoked key would be known. */
  areKeysFresh(): boolean;
  stop(): void;
}

/** Starts to follow the configuration. */
export const newConfigWatch = (
  store: RecordStore,
  source: ConfigSource,
  bounds: GatewayBounds,
  readIntervalMs: number,
  { onChange, onUpdate, onFailure }: ConfigWatchHooks,
  clock: Clock,
  log: Logger,
): ConfigWatch => {
  let config: GatewayConfig | undefined;
  let revision = 0;
  let teamsByKey = new Map<string, Team>();
  const freshness: Freshness = newFreshness(bounds.keyRevocationMs * KEY_FRESHNESS_FRACTION);

  const apply = (next: GatewayConfig): void => {
    config = next;
    teamsByKey = new Map(
      (next.teams ?? []).flatMap((team) => team.keys.map((key) => [key, team] as const)),
    );
    log.info({ version: next.version, routes: next.routes.length }, 'configuration in force');
    onChange(next);
  };

  // An answer to a watch confirms the keys as a read does, and costs the bytes of what has changed.
  const watch = newRecordWatch(
    store,
    {
      table: source.table,
      hasPartitions: false,
      readIntervalMs,
      isWatched: true,
      watchTimeoutMs: WATCH_TIMEOUT_MS,
      onFailure,
    },
    (update) => {
      const { records, requestedMs } = update;
      onUpdate(update);
      freshness.confirm(requestedMs, clock.wall() - (clock.monotonic() - requestedMs));
      const record = records.find(({ key }) => key === source.key);
      if (record?.value === undefined || record.revision <= revision) return;
      try {
        const next = source.parse(record.value);
        revision = record.revision;
        if (config === undefined || next.version > config.version) apply(next);
      } catch (error) {
        log.error(
          { revision: record.revision, reason: getErrorMessage(error) },
          'bad configuration',
        );
      }
    },
    clock,
    log,
  );

  return {
    current: () => config,
    getTeam: (key) => teamsByKey.get(key),
    areKeysFresh: () => freshness.isFresh(clock.monotonic(), clock.wall()),
    stop: () => watch.stop(),
  };
};
