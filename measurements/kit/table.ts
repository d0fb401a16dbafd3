/** Markdown tables on standard output. */
/** Prints rows as a Markdown table under a heading; the columns are those of the first row. */
export const printTable = (
  title: string,
  rows: readonly Readonly<Record<string, string | number>>[],
): void => {
  const columns = Object.keys(rows[0] ?? {});
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column])))];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((row) => row[index]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]): string =>
    `| ${row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(' | ')} |`;
  const separator = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  const [header, ...body] = cells.map(formatRow);
  process.stdout.write(`\n## ${title}\n\n${[header, separator, ...body].join('\n')}\n`);
};
