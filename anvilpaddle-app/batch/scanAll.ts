/** Reads of whole row prefixes. */
import { newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError, Row, TableService } from '@anvilpaddle/platform';

const PAGE_ROWS = 1000;

/** Reads all rows under a prefix, page by page. */
export const scanAll = async (
  tables: TableService,
  table: string,
  prefix: string,
): Promise<Result<readonly Row[], PlatformError>> => {
  const rows: Row[] = [];
  for (;;) {
    const after = rows.at(-1)?.key;
    const page = await tables.scan(table, { prefix, after, limit: PAGE_ROWS });
    if (!page.ok) return page;
    rows.push(...page.value);
    if (page.value.length < PAGE_ROWS) return newOk(rows);
  }
};
