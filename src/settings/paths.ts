/** Paths of the branches of the settings tree. */
import type { SettingsPath } from '../model/change.ts'
import type { KindName } from '../model/request.ts'
import { NAME_PATTERN } from './definition.ts'
import type { BranchLevel } from './definition.ts'

export const KIND_NAMES = ['urgent', 'batch', 'service', 'gang'] as const satisfies readonly KindName[]

export interface Branch {
  readonly level: BranchLevel
  readonly path: SettingsPath
  readonly team?: string
  readonly kind?: KindName
  readonly queue?: string
}

export const PATH_RULE = `use /, /kinds/KIND, /teams/TEAM, /teams/TEAM/kinds/KIND or /queues/QUEUE; kinds are ${KIND_NAMES.join(', ')}`

export function isKindName (name: string): name is KindName {
  return (KIND_NAMES as readonly string[]).includes(name)
}

/**
 * Parses the path of a branch; undefined if the path is not valid in the tree.
 *
 * @example
 * parseBranch('/teams/weavers/kinds/batch')?.level // 'teamKind'
 */
export function parseBranch (text: string): Branch | undefined {
  if (text === '/') return { level: 'root', path: '/' }
  const [start, group, name, kinds, kind, ...rest] = text.split('/')
  if (start !== '' || name === undefined || rest.length > 0) return undefined
  const path = text as SettingsPath
  if (group === 'teams' && NAME_PATTERN.test(name)) {
    if (kinds === undefined) return { level: 'team', path, team: name }
    return kinds === 'kinds' && kind !== undefined && isKindName(kind) ? { level: 'teamKind', path, team: name, kind } : undefined
  }
  if (kinds !== undefined) return undefined
  if (group === 'kinds' && isKindName(name)) return { level: 'kind', path, kind: name }
  if (group === 'queues' && NAME_PATTERN.test(name)) return { level: 'queue', path, queue: name }
  return undefined
}

export function teamPath (team: string): SettingsPath {
  return `/teams/${team}`
}

/** Whether a path is the given branch or below it. */
export function isWithin (path: string, branch: string): boolean {
  return branch === '/' || path === branch || path.startsWith(`${branch}/`)
}
