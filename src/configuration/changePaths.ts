/** Determines which branches a change affects, to detect conflicts between operators. */
import type { Change, Operation } from '../model/change.ts'
import { isWithin } from './configurationState.ts'

interface AffectedPath {
  readonly path: string
  /** Whether every path below this one is affected too. */
  readonly includesDescendants: boolean
}

function affectedPath (operation: Operation): AffectedPath {
  switch (operation.type) {
    case 'createKey':
    case 'withdrawKey': return { path: `/keys/${operation.keyId}`, includesDescendants: false }
    case 'drain':
    case 'undrain': return { path: `/drains/${operation.scope}/${operation.name}`, includesDescendants: false }
    default: return { path: operation.path, includesDescendants: operation.type === 'removeBranch' }
  }
}

function overlaps (left: AffectedPath, right: AffectedPath): boolean {
  return left.path === right.path || (left.includesDescendants && isWithin(right.path, left.path)) ||
    (right.includesDescendants && isWithin(left.path, right.path))
}

/**
 * Lists the paths affected by `operations` that overlap with paths affected by `others`.
 *
 * @example
 * findOverlaps([{ type: 'unset', path: '/', names: ['share'] }], [{ type: 'removeBranch', path: '/' }]) // ['/']
 */
export function findOverlaps (operations: readonly Operation[], others: readonly Operation[]): readonly string[] {
  const affected = others.map(affectedPath)
  const paths = operations.map(affectedPath).filter(own => affected.some(other => overlaps(own, other)))
  return [...new Set(paths.map(own => own.path))]
}

export interface Conflict {
  readonly winner: Change
  readonly paths: readonly string[]
}

/** Finds the newest change after the base version that overlaps with the operations. */
export function findConflict (
  operations: readonly Operation[], changes: readonly Change[], baseVersion: number
): Conflict | undefined {
  for (const winner of changes.toReversed()) {
    if (winner.version <= baseVersion) return
    const paths = findOverlaps(operations, winner.operations)
    if (paths.length > 0) return { winner, paths }
  }
}
