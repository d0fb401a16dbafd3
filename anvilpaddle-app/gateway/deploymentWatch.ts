/** The newest configuration that this process knows, and how long its keys may be trusted. */
import { getErrorMessage, type Clock, type Logger } from '@anvilpaddle/common';
import { newFreshness, type Freshness } from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import { newRecordWatch } from './recordWatch';
import type { Deployment, GatewayBounds, Team } from './types';

/** Part of the bound on withdrawn keys for which a read of the configuration counts. */
const TRUST_SHARE = 0.85;

/** How the platform keeps the configuration. */
export interface DeploymentSource {
  readonly table: string;
  readonly key: string;
  /** Throws when the record can't be read. */
  parse(value: Buffer): Deployment;
}

/** Configuration in force, with keys by their owner. */
export interface DeploymentWatch {
  current(): Deployment | undefined;
  getTeam(key: string): Team | undefined;
  /** Whether a withdrawal of a key would be known here. */
  areKeysFresh(): boolean;
  stop(): void;
}

/** Watches the configuration; `onChange` is called for each new version. */
export const newDeploymentWatch = (
  store: RecordStore,
  source: DeploymentSource,
  bounds: GatewayBounds,
  readEveryMs: number,
  onChange: (deployment: Deployment) => void,
  clock: Clock,
  log: Logger,
): DeploymentWatch => {
  let deployment: Deployment | undefined;
  let revision = 0;
  let teamsByKey = new Map<string, Team>();
  const freshness: Freshness = newFreshness(bounds.keyWithdrawalMs * TRUST_SHARE);

  const apply = (next: Deployment): void => {
    deployment = next;
    teamsByKey = new Map(
      (next.teams ?? []).flatMap((team) => team.keys.map((key) => [key, team] as const)),
    );
    log.info({ version: next.version, routes: next.routes.length }, 'configuration in force');
    onChange(next);
  };

  const watch = newRecordWatch(
    store,
    { table: source.table, hasPartitions: false, readEveryMs, isWatched: false },
    ({ records, askedMs }) => {
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
