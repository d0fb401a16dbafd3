/** Keeps the configuration of a process current and commits the changes that operators request. */
import type { ConfigChange, ConfigEntryChange } from '@anvilpaddle/protocol';
import {
  applyChanges,
  getConfigErrors,
  getConfigEntryKey,
  newLocalConfig,
  type Config,
} from '@anvilpaddle/decisions';
import {
  MS_PER_SECOND,
  newFailure,
  newId,
  newMailbox,
  newOk,
  type Logger,
  type Result,
} from '@anvilpaddle/common';
import type { PlatformError, TableService } from '@anvilpaddle/platform';
import type { MethodHandlers } from '../peers/peerServer';
import { newConfigRelay, type ConfigRelayDependencies } from './configRelay';
import { newConfigStore } from './configStore';

/** Attempts to commit a change while other changes take the revision first. */
const MAX_COMMIT_ATTEMPTS = 20;
/** Store reads per second by all processes together that cannot get the configuration otherwise. */
const MAX_FALLBACK_READS_PER_SECOND = 100;
/** Refresh intervals after which the configuration is late. */
const LATE_AFTER_INTERVALS = 2;

/** Why a configuration change was not accepted. */
export type ConfigChangeError =
  | {
      readonly kind: 'conflict';
      readonly id: string;
      readonly basedOn: number;
      readonly actual: number;
    }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] }
  /** The operation id belongs to a different change. */
  | { readonly kind: 'operation_reused' }
  /** The change is stored, but too few voters hold it for it to be in force in every process. */
  | { readonly kind: 'unconfirmed'; readonly revision: number }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** Configuration change requested by an operator. */
export interface ConfigProposal {
  readonly author: string;
  readonly changes: readonly ConfigEntryChange[];
  /** Identifies the operation: when it is sent again, the result is the same. */
  readonly operation?: string | undefined;
}

/** Keeps the configuration of this process current and commits changes to it. */
export interface ConfigController {
  /** Configuration in force in this process. */
  current(): Config;
  /**
   * Time in milliseconds since this process certainly had every accepted change; Infinity until it
   * has confirmed that for the first time.
   */
  ageMs(): number;
  /** Calls the listener after each update of the configuration. */
  onChange(listener: (config: Config) => void): void;
  /** Commits a change to the store; resolves once enough voters and this process have it. */
  propose(proposal: ConfigProposal): Promise<Result<number, ConfigChangeError>>;
  /**
   * Revision under which an operation was accepted; undefined when none has been so far. Pushes the
   * change to the voters again, so that it can fail as `unconfirmed` like `propose`.
   */
  findOperation(operation: string): Promise<Result<number | undefined, ConfigChangeError>>;
  /** Accepted changes after a revision, oldest first. */
  history(after: number): Promise<Result<readonly ConfigChange[], PlatformError>>;
  /** Updates the configuration from the store, from other processes, or from both. */
  refresh(): Promise<void>;
  /** Handlers of the configuration methods. */
  readonly handlers: Pick<Required<MethodHandlers>, 'config.read' | 'config.push'>;
  /** Stops the periodic refresh. */
  close(): Promise<void>;
}

/** Dependencies of the configuration controller. */
export interface ConfigControllerDependencies extends ConfigRelayDependencies {
  readonly tables: TableService;
  /** Interval of the periodic refresh. */
  readonly refreshIntervalMs: number;
  readonly log: Logger;
}

const newPlatformFailure = (error: PlatformError) =>
  newFailure({ kind: 'platform', error } as const);

const isSameChange = (change: ConfigChange, changes: readonly ConfigEntryChange[]): boolean =>
  JSON.stringify(change.changes) === JSON.stringify(changes);

const getConflict = (
  config: Config,
  changes: readonly ConfigEntryChange[],
): ConfigChangeError | undefined => {
  for (const { kind, id, basedOn } of changes) {
    const key = getConfigEntryKey(kind, id);
    const actual = config.entries.get(key)?.revision ?? 0;
    if (actual !== basedOn) return { kind: 'conflict', id: key, basedOn, actual };
  }
  return undefined;
};

/** Starts a controller that refreshes the configuration periodically. */
export const newConfigController = (
  dependencies: ConfigControllerDependencies,
): ConfigController => {
  const { clock, log, refreshIntervalMs } = dependencies;
  const listeners: ((config: Config) => void)[] = [];
  const store = newConfigStore(dependencies.tables, clock);
  const local = newLocalConfig(clock.monotonic(), (config) =>
    listeners.forEach((listener) => listener(config)),
  );
  const relay = newConfigRelay(local, dependencies);

  const getAgeMs = (): number => local.getAgeMs(clock.monotonic());
  const isLate = (): boolean => getAgeMs() > LATE_AFTER_INTERVALS * refreshIntervalMs;

  /**
   * Whether this process reads the store in this interval. Voters do, and every process before it
   * has read the VM list; of the others, a random subset of those whose configuration is late.
   */
  const shouldReadStore = (): boolean => {
    if (dependencies.getVms().length === 0 || relay.isVoter()) return true;
    const probability =
      (MAX_FALLBACK_READS_PER_SECOND * refreshIntervalMs) / MS_PER_SECOND / relay.getFleetSize();
    return isLate() && dependencies.random() < probability;
  };

  const readStore = async (): Promise<Result<void, PlatformError>> => {
    const startMs = clock.monotonic();
    const head = await store.readHead();
    if (!head.ok) return head;
    if (head.value.revision > local.current().revision) {
      const caughtUp = await store.catchUp(local.current());
      if (!caughtUp.ok) return caughtUp;
      local.replace(caughtUp.value.config, caughtUp.value.changes);
    }
    if (head.value.revision < local.current().revision) {
      const secondHead = await store.readHead();
      if (!secondHead.ok) return secondHead;
      // An outdated state of the store does not show which changes were accepted since.
      if (secondHead.value.revision < local.current().revision) {
        return newFailure({ kind: 'unavailable', detail: 'the store is behind this process' });
      }
    }
    local.confirm(startMs);
    return newOk(undefined);
  };

  const refreshFromStore = async (): Promise<void> => {
    if (!shouldReadStore()) return;
    const read = await readStore();
    if (!read.ok) log.warn({ error: read.error }, 'configuration not read from the store');
  };

  const refreshFromPeers = async (): Promise<void> => {
    if (relay.isVoter()) {
      if (isLate()) await relay.askVoters();
    } else {
      await relay.askSource(isLate());
    }
  };

  /** Tries to commit a change once; undefined when another change took the revision first. */
  const tryCommit = async (
    change: Omit<ConfigChange, 'revision' | 'acceptedAt'>,
  ): Promise<Result<ConfigChange | undefined, ConfigChangeError>> => {
    const head = await store.readHead();
    if (!head.ok) return newPlatformFailure(head.error);
    const caughtUp = await store.catchUp(local.current());
    if (!caughtUp.ok) return newPlatformFailure(caughtUp.error);
    local.replace(caughtUp.value.config, caughtUp.value.changes);
    const config = local.current();
    if (config.revision < head.value.revision) return newOk(undefined);
    if (config.revision > head.value.revision) {
      const secondHead = await store.readHead();
      if (!secondHead.ok) return newPlatformFailure(secondHead.error);
      if (secondHead.value.revision >= config.revision) return newOk(undefined);
      const detail = `the store is at revision ${head.value.revision}, before ${config.revision}`;
      return newPlatformFailure({ kind: 'unavailable', detail });
    }
    const conflict = getConflict(config, change.changes);
    if (conflict !== undefined) return newFailure(conflict);
    const next: ConfigChange = {
      ...change,
      revision: config.revision + 1,
      acceptedAt: new Date(clock.wall()).toISOString(),
    };
    const problems = getConfigErrors(applyChanges(config, [next]));
    if (problems.length > 0) return newFailure({ kind: 'invalid', problems });
    const committed = await store.commit(head.value, next);
    if (!committed.ok) return newPlatformFailure(committed.error);
    return newOk(committed.value === 'committed' ? next : undefined);
  };

  /** Pushes a committed change; succeeds only once a write quorum of the voters holds it. */
  const confirmChange = async (
    change: ConfigChange,
  ): Promise<Result<number, ConfigChangeError>> => {
    local.applyChanges([change]);
    if (local.current().revision < change.revision) await readStore();
    const hasQuorum = await relay.push(change);
    if (hasQuorum) return newOk(change.revision);
    return newFailure({ kind: 'unconfirmed', revision: change.revision });
  };

  const findChange = async (
    operation: string,
  ): Promise<Result<ConfigChange | undefined, ConfigChangeError>> => {
    const found = await store.findOperation(operation);
    return found.ok ? found : newPlatformFailure(found.error);
  };

  const storeMailbox = newMailbox<'tick'>(refreshFromStore, (error) =>
    log.error({ err: error }, 'reading the configuration failed'),
  );
  const peerMailbox = newMailbox<'tick'>(refreshFromPeers, (error) =>
    log.error({ err: error }, 'asking for the configuration failed'),
  );
  const timer = clock.every(refreshIntervalMs, () => {
    if (storeMailbox.size() === 0) storeMailbox.post('tick');
    if (peerMailbox.size() === 0) peerMailbox.post('tick');
  });

  return {
    current: local.current,
    ageMs: getAgeMs,
    onChange: (listener) => {
      listeners.push(listener);
    },
    propose: async ({ author, changes, operation = newId('op') }) => {
      const earlier = await findChange(operation);
      if (!earlier.ok) return earlier;
      if (earlier.value !== undefined) {
        if (!isSameChange(earlier.value, changes)) return newFailure({ kind: 'operation_reused' });
        return confirmChange(earlier.value);
      }
      for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
        const committed = await tryCommit({ operation, author, changes: [...changes] });
        if (!committed.ok) return committed;
        if (committed.value !== undefined) return confirmChange(committed.value);
      }
      const detail = 'too many changes at once';
      return newPlatformFailure({ kind: 'unavailable', detail });
    },
    findOperation: async (operation) => {
      const found = await findChange(operation);
      if (!found.ok) return found;
      return found.value === undefined ? newOk(undefined) : confirmChange(found.value);
    },
    history: store.readChanges,
    refresh: async () => {
      await Promise.all([refreshFromStore(), refreshFromPeers()]);
    },
    handlers: {
      'config.read': ({ after }) => local.getState(after, clock.monotonic()),
      'config.push': async ({ change }) => {
        local.applyChanges([change]);
        if (local.current().revision < change.revision) {
          await (relay.isVoter() ? relay.askVoters() : relay.askSource(true));
        }
        return { revision: local.current().revision };
      },
    },
    close: async () => {
      timer.cancel();
      await Promise.all([storeMailbox.close(), peerMailbox.close()]);
    },
  };
};
