import {
  changeSchema,
  type Change,
  type ConfigEntry,
  type EntryChange,
} from '@anvilpaddle/protocol';
import { applyChange, getEntryKey, newConfig, type Config } from '@anvilpaddle/decisions';
import {
  newFailure,
  newId,
  newMailbox,
  newOk,
  type Clock,
  type Logger,
  type Result,
} from '@anvilpaddle/common';
import type { Check, PlatformError, TableService, Write } from '@anvilpaddle/platform';

const CONFIG_TABLE = 'config';
const CHANGES_TABLE = 'config_changes';
const ENTRIES_TABLE = 'config_entries';
const HEAD_KEY = 'head';
const SCAN_LIMIT = 500;
const HEAD_RACES = 20;

/** Why a change was not accepted. */
export type ChangeError =
  | {
      readonly kind: 'conflict';
      readonly id: string;
      readonly basedOn: number;
      readonly actual: number;
    }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** Keeps the configuration and moves it forward. */
export interface ConfigController {
  /** Configuration in force in this process. */
  current(): Config;
  /** Has the platform decide on a change; resolves when it is in force here too. */
  propose(author: string, changes: readonly EntryChange[]): Promise<Result<number, ChangeError>>;
  /** Accepted changes, newest last, after a revision. */
  history(after: number): Promise<Result<readonly Change[], PlatformError>>;
  /** Reads what is newer from the platform. */
  refresh(): Promise<Result<void, PlatformError>>;
  close(): Promise<void>;
}

interface Head {
  readonly revision: number;
}

const getChangeKey = (revision: number): string => String(revision).padStart(12, '0');

/** Starts the controller; it reads the platform each interval in milliseconds. */
export const newConfigController = (
  tables: TableService,
  clock: Clock,
  intervalMs: number,
  log: Logger,
): ConfigController => {
  let config = newConfig(0, []);

  const readChanges = async (after: number): Promise<Result<readonly Change[], PlatformError>> => {
    const rows = await tables.scan(CHANGES_TABLE, {
      prefix: '',
      after: getChangeKey(after),
      limit: SCAN_LIMIT,
    });
    return rows.ok ? newOk(rows.value.map((row) => changeSchema.parse(row.value))) : rows;
  };

  const refresh = async (): Promise<Result<void, PlatformError>> => {
    const changes = await readChanges(config.revision);
    if (!changes.ok) return changes;
    config = changes.value.reduce(applyChange, config);
    return changes.value.length < SCAN_LIMIT ? newOk(undefined) : refresh();
  };

  /** Checks that hold each changed entry at the revision that the change builds on. */
  const readChecks = async (
    changes: readonly EntryChange[],
  ): Promise<Result<readonly Check[], ChangeError>> => {
    const checks: Check[] = [];
    for (const change of changes) {
      const key = getEntryKey(change.kind, change.id);
      const row = await tables.get(ENTRIES_TABLE, key);
      if (!row.ok) return newFailure({ kind: 'platform', error: row.error });
      const actual = (row.value?.value as ConfigEntry | undefined)?.revision ?? 0;
      if (actual !== change.basedOn) {
        return newFailure({ kind: 'conflict', id: key, basedOn: change.basedOn, actual });
      }
      checks.push({ table: ENTRIES_TABLE, key, revision: row.value?.revision ?? 0 });
    }
    return newOk(checks);
  };

  const getWrites = (change: Change): Write[] => [
    { table: CONFIG_TABLE, key: HEAD_KEY, value: { revision: change.revision } },
    { table: CHANGES_TABLE, key: getChangeKey(change.revision), value: change },
    ...change.changes.map(({ kind, id, value }) => ({
      table: ENTRIES_TABLE,
      key: getEntryKey(kind, id),
      value: { kind, id, value, revision: change.revision },
    })),
  ];

  /** One try; undefined when another change took the next revision first. */
  const tryPropose = async (
    operation: string,
    author: string,
    changes: readonly EntryChange[],
  ): Promise<Result<number | undefined, ChangeError>> => {
    const head = await tables.get(CONFIG_TABLE, HEAD_KEY);
    if (!head.ok) return newFailure({ kind: 'platform', error: head.error });
    const checks = await readChecks(changes);
    if (!checks.ok) return checks;
    const revision = ((head.value?.value as Head | undefined)?.revision ?? 0) + 1;
    const change: Change = {
      revision,
      operation,
      author,
      acceptedAt: new Date(clock.wall()).toISOString(),
      changes: [...changes],
    };
    const commit = await tables.transact({
      checks: [
        { table: CONFIG_TABLE, key: HEAD_KEY, revision: head.value?.revision ?? 0 },
        ...checks.value,
      ],
      writes: getWrites(change),
    });
    if (!commit.ok) return newFailure({ kind: 'platform', error: commit.error });
    return newOk(commit.value.committed ? revision : undefined);
  };

  const propose: ConfigController['propose'] = async (author, changes) => {
    const operation = newId('op');
    for (let race = 0; race < HEAD_RACES; race += 1) {
      const proposed = await tryPropose(operation, author, changes);
      if (!proposed.ok) return proposed;
      if (proposed.value !== undefined) {
        await refresh();
        return newOk(proposed.value);
      }
    }
    const detail = 'too many changes at once';
    return newFailure({ kind: 'platform', error: { kind: 'unavailable', detail } });
  };

  const mailbox = newMailbox<'refresh'>(
    async () => {
      const refreshed = await refresh();
      if (!refreshed.ok) log.warn({ error: refreshed.error }, 'configuration not refreshed');
    },
    (fault) => log.error({ err: fault }, 'configuration controller failed'),
  );
  const timer = clock.every(intervalMs, () => {
    if (mailbox.size() === 0) mailbox.post('refresh');
  });

  return {
    current: () => config,
    propose,
    history: readChanges,
    refresh,
    close: async () => {
      timer.cancel();
      await mailbox.close();
    },
  };
};
