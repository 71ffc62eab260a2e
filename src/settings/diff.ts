/** Compares a settings file with the current configuration. */
import type { ConfigurationSnapshot, Operation, SettingsPath, SettingValue } from '../model/change.ts'
import { describeOperations } from './describe.ts'
import { isWithin, parseBranch } from './paths.ts'
import type { SettingsTree } from './tree.ts'
import { formatSetting } from './values.ts'

export interface SettingsDiff {
  readonly operations: readonly Operation[]
  /** Descriptions of the changes, one line each. */
  readonly changes: readonly string[]
  /** Settings that are in force but not in the file, and remain unchanged. */
  readonly kept: readonly string[]
}

export interface DiffOptions {
  /** Also remove settings and branches that are not in the file. */
  readonly prune: boolean
}

type Values = Readonly<Record<string, SettingValue>>

function valuesOf (tree: SettingsTree, path: SettingsPath): Values {
  return (Object.hasOwn(tree, path) ? tree[path] : undefined) ?? {}
}

function missingNames (wanted: Values, current: Values): readonly string[] {
  return Object.keys(current).filter(name => !Object.hasOwn(wanted, name))
}

function diffBranch (path: SettingsPath, file: SettingsTree, settings: SettingsTree, prune: boolean): readonly Operation[] {
  const wanted = valuesOf(file, path)
  const current = valuesOf(settings, path)
  const set = Object.entries(wanted).filter(([name, value]) => !Object.hasOwn(current, name) || current[name] !== value)
  const unset = prune ? missingNames(wanted, current) : []
  const isNew = path !== '/' && !Object.hasOwn(settings, path)
  return [
    ...(isNew || set.length > 0 ? [{ type: 'set', path, values: Object.fromEntries(set) } as const] : []),
    ...(unset.length > 0 ? [{ type: 'unset', path, names: unset } as const] : [])
  ]
}

/** Lists the topmost branches that are not in the file; the branches below them are removed with them. */
function listRemovedBranches (file: SettingsTree, settings: SettingsTree): readonly SettingsPath[] {
  const missing = (Object.keys(settings) as SettingsPath[]).filter(path => path !== '/' && !Object.hasOwn(file, path))
  return missing.filter(path => !missing.some(other => other !== path && isWithin(path, other)))
}

/** Returns the operations that remove a branch. Valid keys of a removed team are withdrawn first. */
export function removeBranch (path: SettingsPath, snapshot: ConfigurationSnapshot): readonly Operation[] {
  const branch = parseBranch(path)
  const keys = branch?.level === 'team' ? snapshot.keys.filter(key => key.team === branch.team && !key.withdrawn) : []
  return [...keys.map(({ keyId }): Operation => ({ type: 'withdrawKey', keyId })), { type: 'removeBranch', path }]
}

function listKept (file: SettingsTree, settings: SettingsTree): readonly string[] {
  return (Object.keys(settings) as SettingsPath[]).sort().flatMap(path => {
    const current = valuesOf(settings, path)
    return missingNames(valuesOf(file, path), current).map(name => `${path} ${name} = ${formatSetting(name, current[name])}`)
  })
}

/**
 * Computes the operations that make the current configuration match the file, with descriptions of their changes.
 *
 * @example
 * diffSettings(readSettingsFile('cell.ini', bytes), snapshot, { prune: false }).changes
 * // ['/teams/weavers keyGrace: 5 s -> 10 s']
 */
export function diffSettings (file: SettingsTree, snapshot: ConfigurationSnapshot, { prune }: DiffOptions): SettingsDiff {
  const removed = prune ? listRemovedBranches(file, snapshot.settings) : []
  const paths = Object.keys({ '/': {}, ...file }).sort() as SettingsPath[]
  const operations = [
    ...removed.flatMap(path => removeBranch(path, snapshot)),
    ...paths.flatMap(path => diffBranch(path, file, snapshot.settings, prune))
  ]
  return {
    operations,
    changes: describeOperations(snapshot, operations),
    kept: prune ? [] : listKept(file, snapshot.settings)
  }
}
