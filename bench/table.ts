/** Prints the result of an experiment as a table. */

export type TableCell = string | number

/**
 * Prints aligned columns under a title.
 *
 * @example
 * printTable('control', ['instances', 'B/s'], [[3, 1_024]])
 */
export function printTable (title: string, header: readonly string[], rows: readonly (readonly TableCell[])[]): void {
  const lines = [header, ...rows].map(row => row.map(String))
  const widths = header.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)))
  console.log(`\n${title}`)
  for (const line of lines) console.log(line.map((cell, column) => cell.padStart(widths[column]!)).join('  '))
}
