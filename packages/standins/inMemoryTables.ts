/** In-memory table service with serializable transactions, for stand-ins and tests. */
import type { TransactionOutcome, RowRange, Row, Transaction } from '@anvilpaddle/platform';

/** Table service that keeps its rows in memory. */
export interface InMemoryTables {
  get(table: string, key: string): Row | undefined;
  scan(table: string, range: RowRange): Row[];
  transact(transaction: Transaction): TransactionOutcome;
  /** Number of calls served and rows written so far. */
  readonly calls: { reads: number; writes: number; rowsWritten: number };
}

/** Creates an empty table service; its revision counts the committed transactions. */
export const newInMemoryTables = (): InMemoryTables => {
  const tables = new Map<string, Map<string, Row>>();
  const calls = { reads: 0, writes: 0, rowsWritten: 0 };
  let revision = 0;

  const getTable = (name: string): Map<string, Row> => {
    const existing = tables.get(name);
    if (existing !== undefined) return existing;
    const table = new Map<string, Row>();
    tables.set(name, table);
    return table;
  };

  return {
    calls,
    get: (table, key) => {
      calls.reads += 1;
      return getTable(table).get(key);
    },
    scan: (table, range) => {
      calls.reads += 1;
      return [...getTable(table).values()]
        .filter((row) => row.key.startsWith(range.prefix) && row.key > (range.after ?? ''))
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, range.limit);
    },
    transact: ({ checks, writes }) => {
      calls.writes += 1;
      const conflicts = checks
        .map(({ table, key }) => ({
          table,
          key,
          revision: getTable(table).get(key)?.revision ?? 0,
        }))
        .filter((actual, index) => actual.revision !== checks[index]?.revision);
      if (conflicts.length > 0) return { committed: false, conflicts };
      revision += 1;
      writes.forEach(({ table, key, value }) => {
        calls.rowsWritten += 1;
        if (value === undefined || value === null) getTable(table).delete(key);
        else getTable(table).set(key, { key, value, revision });
      });
      return { committed: true, revision };
    },
  };
};
