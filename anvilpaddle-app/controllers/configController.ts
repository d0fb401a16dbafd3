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

const HEAD_RACES = 20;
/** Reads of the store a second by all processes together that have no other way to be current. */
const FALLBACK_READS = 100;
const LATE_INTERVALS = 2;

/** Why a change was not accepted. */
export type ConfigChangeError =
  | {
      readonly kind: 'conflict';
      readonly id: string;
      readonly basedOn: number;
      readonly actual: number;
    }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] }
  /** The operation id stands for another change. */
  | { readonly kind: 'operation_reused' }
  /** The store has the change, but too few entries hold it for it to be in force everywhere. */
  | { readonly kind: 'unconfirmed'; readonly revision: number }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** A change that an operator asks for. */
export interface ConfigProposal {
  readonly author: string;
  readonly changes: readonly ConfigEntryChange[];
  /** Name of the operation; the same one sent again gives the same answer. */
  readonly operation?: string | undefined;
}

/** Keeps the configuration and moves it forward. */
export interface ConfigController {
  /** Configuration in force in this process. */
  current(): Config;
  /** Time since this process surely had every accepted change, in ms; Infinity before the first. */
  ageMs(): number;
  /** Runs the listener each time that the configuration has moved forward. */
  onChange(listener: (config: Config) => void): void;
  /** Has the platform decide on a change; resolves when it is accepted and in force here too. */
  propose(proposal: ConfigProposal): Promise<Result<number, ConfigChangeError>>;
  /** Revision that an operation was accepted under; undefined when it was not so far. */
  findOperation(operation: string): Promise<Result<number | undefined, ConfigChangeError>>;
  /** Accepted changes, newest last, after a revision. */
  history(after: number): Promise<Result<readonly ConfigChange[], PlatformError>>;
  /** Brings this process up to date by the store, the other processes, or both. */
  refresh(): Promise<void>;
  /** Answers to other processes. */
  readonly handlers: Pick<Required<MethodHandlers>, 'config.read' | 'config.push'>;
  close(): Promise<void>;
}

/** What the controller works with. */
export interface ConfigControllerDependencies extends ConfigRelayDependencies {
  readonly tables: TableService;
  /** Time between two looks for news, in ms. */
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

/** Starts the controller. */
export const newConfigController = (services: ConfigControllerDependencies): ConfigController => {
  const { clock, log, refreshIntervalMs: intervalMs } = services;
  const listeners: ((config: Config) => void)[] = [];
  const store = newConfigStore(services.tables, clock);
  const local = newLocalConfig(clock.monotonic(), (config) =>
    listeners.forEach((listener) => listener(config)),
  );
  const relay = newConfigRelay(local, services);

  const getAgeMs = (): number => local.getAgeMs(clock.monotonic());
  const isLate = (): boolean => getAgeMs() > LATE_INTERVALS * intervalMs;

  /** Whether this process reads the store in this round. */
  const isReader = (): boolean => {
    if (services.getVms().length === 0 || relay.isVoter()) return true;
    const share = (FALLBACK_READS * intervalMs) / MS_PER_SECOND / relay.getFleetSize();
    return isLate() && services.random() < share;
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
      const again = await store.readHead();
      if (!again.ok) return again;
      // An old state of the store says nothing about what was accepted since.
      if (again.value.revision < local.current().revision) {
        return newFailure({ kind: 'unavailable', detail: 'the store is behind this process' });
      }
    }
    local.confirm(startMs);
    return newOk(undefined);
  };

  const refreshFromStore = async (): Promise<void> => {
    if (!isReader()) return;
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

  const propose = async (
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
      const again = await store.readHead();
      if (!again.ok) return newPlatformFailure(again.error);
      if (again.value.revision >= config.revision) return newOk(undefined);
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

  /** An accepted change is acknowledged once enough voters hold it. */
  const confirm = async (change: ConfigChange): Promise<Result<number, ConfigChangeError>> => {
    local.applyChanges([change]);
    if (local.current().revision < change.revision) await readStore();
    const isHeld = await relay.push(change);
    if (isHeld) return newOk(change.revision);
    return newFailure({ kind: 'unconfirmed', revision: change.revision });
  };

  const findOperation = async (
    operation: string,
  ): Promise<Result<ConfigChange | undefined, ConfigChangeError>> => {
    const found = await store.findOperation(operation);
    return found.ok ? found : newPlatformFailure(found.error);
  };

  const storeBox = newMailbox<'tick'>(refreshFromStore, (fault) =>
    log.error({ err: fault }, 'reading the configuration failed'),
  );
  const peerBox = newMailbox<'tick'>(refreshFromPeers, (fault) =>
    log.error({ err: fault }, 'asking for the configuration failed'),
  );
  const timer = clock.every(intervalMs, () => {
    if (storeBox.size() === 0) storeBox.post('tick');
    if (peerBox.size() === 0) peerBox.post('tick');
  });

  return {
    current: local.current,
    ageMs: getAgeMs,
    onChange: (listener) => {
      listeners.push(listener);
    },
    propose: async ({ author, changes, operation = newId('op') }) => {
      const known = await findOperation(operation);
      if (!known.ok) return known;
      if (known.value !== undefined) {
        if (!isSameChange(known.value, changes)) return newFailure({ kind: 'operation_reused' });
        return confirm(known.value);
      }
      for (let race = 0; race < HEAD_RACES; race += 1) {
        const proposed = await propose({ operation, author, changes: [...changes] });
        if (!proposed.ok) return proposed;
        if (proposed.value !== undefined) return confirm(proposed.value);
      }
      const detail = 'too many changes at once';
      return newPlatformFailure({ kind: 'unavailable', detail });
    },
    findOperation: async (operation) => {
      const found = await findOperation(operation);
      if (!found.ok) return found;
      return found.value === undefined ? newOk(undefined) : confirm(found.value);
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
      await Promise.all([storeBox.close(), peerBox.close()]);
    },
  };
};
