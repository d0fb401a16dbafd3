/** Prints rows as a Markdown table; the columns are those of the first row. */
export const printTable = (
  title: string,
  rows: readonly Readonly<Record<string, string | number>>[],
): void => {
  const columns = Object.keys(rows[0] ?? {});
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column])))];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => line[index]?.length ?? 0)),
  );
  const getLine = (line: readonly string[]): string =>
    `| ${line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(' | ')} |`;
  const rule = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  const [header, ...body] = cells.map(getLine);
  process.stdout.write(`\n## ${title}\n\n${[header, rule, ...body].join('\n')}\n`);
};
