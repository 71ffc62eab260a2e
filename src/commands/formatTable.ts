/** Formats tables, resources, limits and times for the terminal. */
import { DIMENSIONS } from '../model/resources.ts'
import type { Limit } from '../model/resources.ts'
import { formatQuantity } from '../settings/units.ts'

/** Formats rows as left-aligned columns. */
export function formatTable (rows: ReadonlyArray<readonly string[]>): string {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, cell.length) })
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

/**
 * Formats the dimensions with a value other than 0, such as `4 slots, 64 GB`.
 *
 * @example
 * formatResources({ slots: 4, memory: 65_536 }) // '4 slots, 64 GB'
 */
export function formatResources (amounts: Limit, none = '-'): string {
  const parts = DIMENSIONS.flatMap(dimension => {
    const value = amounts[dimension]
    if (value === undefined || value === 0) return []
    if (dimension === 'memory') return [formatQuantity(Math.round(value), 'memory')]
    if (dimension === 'processors') return [formatQuantity(Math.round(value), 'processors')]
    return [`${value} ${dimension}`]
  })
  return parts.length === 0 ? none : parts.join(', ')
}

/**
 * Formats an upper limit. A limit of 0 is shown as `no DIMENSION`; dimensions without a limit are omitted.
 *
 * @example
 * formatLimit({ slots: 0, memory: 65_536 }) // '64 GB, no slots'
 */
export function formatLimit (limit: Limit): string {
  const excluded = DIMENSIONS.filter(dimension => limit[dimension] === 0).map(dimension => `no ${dimension}`)
  return [formatResources(limit, ''), ...excluded].filter(text => text !== '').join(', ') || 'not limited'
}

/** Formats wall-clock time in UTC, so that operators can compare it between data centres. */
export function formatWallTime (wallMs: number): string {
  return `${new Date(wallMs).toISOString().slice(0, 19).replace('T', ' ')} UTC`
}

const MS_PER_SECOND = 1_000

export function formatAge (ageMs: number | undefined): string {
  return ageMs === undefined ? 'never' : `${(Math.max(0, ageMs) / MS_PER_SECOND).toFixed(1)} s ago`
}
