/** Compares a settings file with the configuration in force. */
import type { Operation, SettingsPath, SettingValue, ConfigurationSnapshot } from '../model/change.ts'
import { isWithin, parseBranch } from './paths.ts'
import type { SettingsTree } from './tree.ts'
import { formatSetting } from './values.ts'

export interface SettingsDiff {
  readonly operations: readonly Operation[]
  /** What will change, one line each. */
  readonly changes: readonly string[]
  /** What is in force but not in the file, and stays as it is. */
  readonly kept: readonly string[]
}

export interface DiffOptions {
  /** Also remove what the file does not have. */
  readonly prune: boolean
}

type Values = Readonly<Record<string, SettingValue>>

interface BranchDiff {
  readonly set: Values
  readonly unset: readonly string[]
  readonly changes: readonly string[]
  readonly kept: readonly string[]
}

function describe (path: string, name: string, before: SettingValue | undefined, after: SettingValue | undefined): string {
  const written = (value: SettingValue | undefined): string => value === undefined ? '(not set)' : formatSetting(name, value)
  return `${path} ${name}: ${written(before)} -> ${written(after)}`
}

function diffBranch (path: SettingsPath, wanted: Values, current: Values, prune: boolean): BranchDiff {
  const set = Object.entries(wanted).filter(([name, value]) => !Object.hasOwn(current, name) || current[name] !== value)
  const absent = Object.keys(current).filter(name => !Object.hasOwn(wanted, name))
  const changes = set.map(([name, value]) => describe(path, name, Object.hasOwn(current, name) ? current[name] : undefined, value))
  return {
    set: Object.fromEntries(set),
    unset: prune ? absent : [],
    changes: prune ? [...changes, ...absent.map(name => describe(path, name, current[name], undefined))] : changes,
    kept: prune ? [] : absent.map(name => `${path} ${name} = ${formatSetting(name, current[name])}`)
  }
}

function removedBranches (file: SettingsTree, settings: SettingsTree): readonly SettingsPath[] {
  const missing = (Object.keys(settings) as SettingsPath[]).filter(path => path !== '/' && !Object.hasOwn(file, path))
  return missing.filter(path => !missing.some(other => other !== path && isWithin(path, other)))
}

/** Valid keys of a removed team are withdrawn with it. */
function removeBranch (path: SettingsPath, snapshot: ConfigurationSnapshot): { readonly operations: readonly Operation[], readonly changes: readonly string[] } {
  const branch = parseBranch(path)
  const keys = branch?.level === 'team' ? snapshot.keys.filter(key => key.team === branch.team && !key.withdrawn) : []
  return {
    operations: [...keys.map((key): Operation => ({ type: 'withdrawKey', keyId: key.keyId })), { type: 'removeBranch', path }],
    changes: [...keys.map(key => `key ${key.keyId} of team ${key.team}: withdrawn`), `${path}: removed with everything below it`]
  }
}

/**
 * Lists the operations that bring the configuration in force to the file, and says what they change.
 *
 * @example
 * diffSettings(readSettingsFile('cell.ini', bytes), snapshot, { prune: false }).changes
 * // ['/teams/weavers keyGrace: 5 s -> 10 s']
 */
export function diffSettings (file: SettingsTree, snapshot: ConfigurationSnapshot, { prune }: DiffOptions): SettingsDiff {
  const operations: Operation[] = []
  const changes: string[] = []
  const kept: string[] = []
  for (const path of prune ? removedBranches(file, snapshot.settings) : []) {
    const removal = removeBranch(path, snapshot)
    operations.push(...removal.operations)
    changes.push(...removal.changes)
  }
  const paths = Object.keys(prune ? { '/': {}, ...file } : { ...file, ...snapshot.settings }) as SettingsPath[]
  for (const path of paths.sort()) {
    const known = Object.hasOwn(snapshot.settings, path)
    const difference = diffBranch(path, (Object.hasOwn(file, path) ? file[path] : undefined) ?? {}, (known ? snapshot.settings[path] : undefined) ?? {}, prune)
    const isNew = !known && Object.hasOwn(file, path) && path !== '/'
    if (isNew) changes.push(`${path}: created`)
    if (isNew || Object.keys(difference.set).length > 0) operations.push({ type: 'set', path, values: difference.set })
    if (difference.unset.length > 0) operations.push({ type: 'unset', path, names: difference.unset })
    changes.push(...difference.changes)
    kept.push(...difference.kept)
  }
  return { operations, changes, kept }
}
