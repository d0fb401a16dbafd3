/** Storage of the configuration in the table service of the platform. */
import {
  configChangeSchema,
  configEntrySchema,
  type ConfigChange,
  type ConfigEntry,
  type ConfigEntryChange,
} from '@anvilpaddle/protocol';
import {
  applyChanges,
  getContiguousChanges,
  getConfigEntryKey,
  newConfig,
  type Config,
} from '@anvilpaddle/decisions';
import { newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import type { PlatformError, Row, TableService, RowWrite } from '@anvilpaddle/platform';

const CONFIG_TABLE = 'config';
const CHANGES_TABLE = 'config_changes';
const ENTRIES_TABLE = 'config_entries';
const OPERATIONS_TABLE = 'config_operations';
const HEAD_KEY = 'head';
const SCAN_LIMIT = 500;
/** Changes that the log keeps; a process that is further behind reads the entries instead. */
const MAX_LOG_CHANGES = 20_000;
/** Attempts to commit a change while its outcome is unknown. */
const MAX_COMMIT_ATTEMPTS = 4;
const COMMIT_RETRY_DELAY_MS = 200;

/** Newest revision of the configuration; commits are conditional on `rowRevision`. */
export interface ConfigHead {
  readonly revision: number;
  readonly rowRevision: number;
}

/** Known outcome of a commit; `lost`: another change took the revision. */
export type CommitOutcome = 'committed' | 'lost';

/** Configuration, change log and operations in the table service of the platform. */
export interface ConfigStore {
  /** Reads which revision is the newest. */
  readHead(): Promise<Result<ConfigHead, PlatformError>>;
  /** Updates a configuration from the log, or reads all entries when the log has a gap. */
  catchUp(config: Config): Promise<Result<CatchUpResult, PlatformError>>;
  /** Reads the changes after a revision from the log. */
  readChanges(after: number): Promise<Result<readonly ConfigChange[], PlatformError>>;
  /** Finds the committed change of an operation. */
  findOperation(operation: string): Promise<Result<ConfigChange | undefined, PlatformError>>;
  /** Writes a change on top of `head`. After an `unknown` error it may still take effect. */
  commit(head: ConfigHead, change: ConfigChange): Promise<Result<CommitOutcome, PlatformError>>;
}

/** Updated configuration with the changes applied; none when it was read from the entries. */
export interface CatchUpResult {
  readonly config: Config;
  readonly changes: readonly ConfigChange[];
}

const getChangeKey = (revision: number): string => String(revision).padStart(12, '0');

const getEntryWrite = (revision: number, { kind, id, value }: ConfigEntryChange): RowWrite => ({
  table: ENTRIES_TABLE,
  key: getConfigEntryKey(kind, id),
  value: value === null ? null : { kind, id, value, revision },
});

/** Creates the store of the configuration on the tables of the platform. */
export const newConfigStore = (tables: TableService, clock: Clock): ConfigStore => {
  const scanTable = async (
    table: string,
    after: string,
  ): Promise<Result<readonly Row[], PlatformError>> => {
    const rows: Row[] = [];
    for (;;) {
      const last = rows.at(-1)?.key ?? after;
      const page = await tables.scan(table, { prefix: '', after: last, limit: SCAN_LIMIT });
      if (!page.ok) return page;
      rows.push(...page.value);
      if (page.value.length < SCAN_LIMIT) return newOk(rows);
    }
  };

  const readChanges = async (
    after: number,
  ): Promise<Result<readonly ConfigChange[], PlatformError>> => {
    const rows = await scanTable(CHANGES_TABLE, getChangeKey(after));
    return rows.ok ? newOk(rows.value.map((row) => configChangeSchema.parse(row.value))) : rows;
  };

  const readHead = async (): Promise<Result<ConfigHead, PlatformError>> => {
    const row = await tables.get(CONFIG_TABLE, HEAD_KEY);
    if (!row.ok) return row;
    const revision = (row.value?.value as { revision: number } | undefined)?.revision ?? 0;
    return newOk({ revision, rowRevision: row.value?.revision ?? 0 });
  };

  /**
   * Reads the whole configuration. The pages of a scan are read at different times; the order makes
   * the result consistent: first the head, then the entries, then all changes after that head, which
   * bring each entry to the latest revision.
   */
  const readEntries = async (): Promise<Result<CatchUpResult, PlatformError>> => {
    const head = await readHead();
    if (!head.ok) return head;
    const rows = await scanTable(ENTRIES_TABLE, '');
    if (!rows.ok) return rows;
    const changes = await readChanges(head.value.revision);
    if (!changes.ok) return changes;
    const entries = rows.value.map((row) => configEntrySchema.parse(row.value) as ConfigEntry);
    const base = newConfig(head.value.revision, entries);
    return newOk({ config: applyChanges(base, changes.value), changes: [] });
  };

  const catchUp = async (config: Config): Promise<Result<CatchUpResult, PlatformError>> => {
    if (config.revision === 0) return readEntries();
    const logged = await readChanges(config.revision);
    if (!logged.ok) return logged;
    const changes = getContiguousChanges(logged.value, config.revision);
    if (changes.length < logged.value.length) return readEntries();
    return newOk({ config: applyChanges(config, changes), changes });
  };

  const findOperation = async (operation: string) => {
    const row = await tables.get(OPERATIONS_TABLE, operation);
    if (!row.ok) return row;
    if (row.value === undefined) return newOk(undefined);
    const { revision } = row.value.value as { revision: number };
    const change = await tables.get(CHANGES_TABLE, getChangeKey(revision));
    if (!change.ok) return change;
    return newOk(change.value && configChangeSchema.parse(change.value.value));
  };

  /** Returns the writes that delete the change that exceeds the length of the log. */
  const getPruningWrites = async (
    revision: number,
  ): Promise<Result<readonly RowWrite[], PlatformError>> => {
    if (revision <= MAX_LOG_CHANGES) return newOk([]);
    const key = getChangeKey(revision - MAX_LOG_CHANGES);
    const row = await tables.get(CHANGES_TABLE, key);
    if (!row.ok) return row;
    if (row.value === undefined) return newOk([]);
    const { operation } = configChangeSchema.parse(row.value.value);
    return newOk([
      { table: CHANGES_TABLE, key, value: null },
      { table: OPERATIONS_TABLE, key: operation, value: null },
    ]);
  };

  const pause = (): Promise<void> =>
    new Promise((resolve) => {
      clock.after(COMMIT_RETRY_DELAY_MS, resolve);
    });

  /** Reads whether this operation has the revision; undefined while no operation has it. */
  const readOutcome = async (
    change: ConfigChange,
  ): Promise<Result<CommitOutcome | undefined, PlatformError>> => {
    const row = await tables.get(CHANGES_TABLE, getChangeKey(change.revision));
    if (!row.ok) return row;
    if (row.value === undefined) return newOk(undefined);
    const { operation } = configChangeSchema.parse(row.value.value);
    return newOk(operation === change.operation ? 'committed' : 'lost');
  };

  return {
    readHead,
    catchUp,
    readChanges,
    findOperation,
    commit: async (head, change) => {
      const { revision, operation } = change;
      const pruning = await getPruningWrites(revision);
      if (!pruning.ok) return newFailure({ kind: 'unavailable', detail: 'log not read' });
      const transaction = {
        checks: [{ table: CONFIG_TABLE, key: HEAD_KEY, revision: head.rowRevision }],
        writes: [
          { table: CONFIG_TABLE, key: HEAD_KEY, value: { revision } },
          { table: CHANGES_TABLE, key: getChangeKey(revision), value: change },
          { table: OPERATIONS_TABLE, key: operation, value: { revision } },
          ...change.changes.map((entry) => getEntryWrite(revision, entry)),
          ...pruning.value,
        ],
      };
      let maySucceedLate = false;
      for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
        // Safe to repeat: the first copy to arrive changes the head row, so that the checks of the
        // other copies fail.
        const commit = await tables.transact(transaction);
        if (commit.ok && commit.value.committed) return newOk('committed');
        if (!commit.ok && commit.error.kind !== 'unknown' && !maySucceedLate) return commit;
        maySucceedLate = true;
        const outcome = await readOutcome(change);
        if (outcome.ok && outcome.value !== undefined) return newOk(outcome.value);
        // The head row has changed although no operation has this revision: `head` is outdated.
        if (commit.ok && outcome.ok) return newOk('lost');
        await pause();
      }
      return newFailure({ kind: 'unknown', detail: `operation ${operation} is not settled` });
    },
  };
};
