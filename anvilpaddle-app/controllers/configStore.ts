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
/** Changes that the log keeps; a node that is further behind reads the entries. */
const LOG_LENGTH = 20_000;
const SETTLE_TRIES = 4;
const SETTLE_PAUSE_MS = 200;

/** Newest revision, with the row's own revision for the next check. */
export interface Head {
  readonly revision: number;
  readonly rowRevision: number;
}

/** Outcome of a commit that is known; `lost`: another change took the revision. */
export type Committed = 'committed' | 'lost';

/** The configuration as the platform's table service keeps it. */
export interface ConfigStore {
  readHead(): Promise<Result<Head, PlatformError>>;
  /** Configuration brought up to date from the log, or from all entries when the log has a gap. */
  catchUp(config: Config): Promise<Result<CaughtUp, PlatformError>>;
  readChanges(after: number): Promise<Result<readonly ConfigChange[], PlatformError>>;
  findOperation(operation: string): Promise<Result<ConfigChange | undefined, PlatformError>>;
  /** Writes a change on top of a head. An `unknown` error has not been settled in time. */
  commit(head: Head, change: ConfigChange): Promise<Result<Committed, PlatformError>>;
}

/** Newer configuration with the changes that led to it; none when it was read from the entries. */
export interface CaughtUp {
  readonly config: Config;
  readonly changes: readonly ConfigChange[];
}

const getChangeKey = (revision: number): string => String(revision).padStart(12, '0');

const getEntryWrite = (revision: number, { kind, id, value }: ConfigEntryChange): RowWrite => ({
  table: ENTRIES_TABLE,
  key: getConfigEntryKey(kind, id),
  value: value === null ? null : { kind, id, value, revision },
});

/** Store of the configuration in the platform's tables. */
export const newConfigStore = (tables: TableService, clock: Clock): ConfigStore => {
  const scanAll = async (
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
    const rows = await scanAll(CHANGES_TABLE, getChangeKey(after));
    return rows.ok ? newOk(rows.value.map((row) => configChangeSchema.parse(row.value))) : rows;
  };

  const readHead = async (): Promise<Result<Head, PlatformError>> => {
    const row = await tables.get(CONFIG_TABLE, HEAD_KEY);
    if (!row.ok) return row;
    const revision = (row.value?.value as { revision: number } | undefined)?.revision ?? 0;
    return newOk({ revision, rowRevision: row.value?.revision ?? 0 });
  };

  /**
   * The order makes pages that were read at different moments consistent: the head first, then the
   * entries, then every change after that head, which brings each entry to the last revision.
   */
  const readEntries = async (): Promise<Result<CaughtUp, PlatformError>> => {
    const head = await readHead();
    if (!head.ok) return head;
    const rows = await scanAll(ENTRIES_TABLE, '');
    if (!rows.ok) return rows;
    const changes = await readChanges(head.value.revision);
    if (!changes.ok) return changes;
    const entries = rows.value.map((row) => configEntrySchema.parse(row.value) as ConfigEntry);
    const base = newConfig(head.value.revision, entries);
    return newOk({ config: applyChanges(base, changes.value), changes: [] });
  };

  const catchUp = async (config: Config): Promise<Result<CaughtUp, PlatformError>> => {
    if (config.revision === 0) return readEntries();
    const read = await readChanges(config.revision);
    if (!read.ok) return read;
    const changes = getContiguousChanges(read.value, config.revision);
    if (changes.length < read.value.length) return readEntries();
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

  /** Writes that drop the change that falls off the log's end. */
  const getPruning = async (
    revision: number,
  ): Promise<Result<readonly RowWrite[], PlatformError>> => {
    if (revision <= LOG_LENGTH) return newOk([]);
    const key = getChangeKey(revision - LOG_LENGTH);
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
      clock.after(SETTLE_PAUSE_MS, resolve);
    });

  /** Whether the revision was taken by this operation; undefined while nothing has taken it. */
  const readOutcome = async (
    change: ConfigChange,
  ): Promise<Result<Committed | undefined, PlatformError>> => {
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
      const pruning = await getPruning(revision);
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
      for (let tries = 0; tries < SETTLE_TRIES; tries += 1) {
        // Safe to repeat: whichever copy comes first moves the head, and the others then fail.
        const commit = await tables.transact(transaction);
        if (commit.ok && commit.value.committed) return newOk('committed');
        if (!commit.ok && commit.error.kind !== 'unknown' && !maySucceedLate) return commit;
        maySucceedLate = true;
        const outcome = await readOutcome(change);
        if (outcome.ok && outcome.value !== undefined) return newOk(outcome.value);
        // The head moved although nothing took this revision: it was read too early.
        if (commit.ok && outcome.ok) return newOk('lost');
        await pause();
      }
      return newFailure({ kind: 'unknown', detail: `operation ${operation} is not settled` });
    },
  };
};
