export type TableRow = readonly string[]

/** Formats rows as an aligned Markdown table. */
export function formatTable (columns: readonly string[], rows: readonly TableRow[]): string {
  const widths = columns.map((column, index) => Math.max(column.length, ...rows.map((row) => (row[index] ?? '').length)))
  const formatRow = (row: TableRow): string => `| ${widths.map((width, index) => (row[index] ?? '').padEnd(width)).join(' | ')} |`
  return [formatRow(columns), `|${widths.map((width) => '-'.repeat(width + 2)).join('|')}|`, ...rows.map(formatRow)].join('\n')
}
