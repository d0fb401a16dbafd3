import type { TransactionOutcome, RowRange, Row, Transaction } from '@anvilpaddle/platform';

/** Rows of the table service's stand-in, in memory. */
export interface InMemoryTables {
  get(table: string, key: string): Row | undefined;
  scan(table: string, range: RowRange): Row[];
  transact(transaction: Transaction): TransactionOutcome;
  /** Calls served so far, by kind. */
  readonly calls: { reads: number; writes: number; rowsWritten: number };
}

/** Serializable transactions over rows; the revision counts commits. */
export const newInMemoryTables = (): InMemoryTables => {
  const tables = new Map<string, Map<string, Row>>();
  const calls = { reads: 0, writes: 0, rowsWritten: 0 };
  let revision = 0;

  const getTable = (name: string): Map<string, Row> => {
    const known = tables.get(name);
    if (known !== undefined) return known;
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
