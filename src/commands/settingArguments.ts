/** Parses arguments such as `keyGrace=10 s` into operations. */
import type { Operation, SettingsPath, SettingValue } from '../model/change.ts'
import type { Branch } from '../settings/paths.ts'
import { parseBranch, PATH_RULE, teamPath } from '../settings/paths.ts'
import { findSetting, readValue } from '../settings/values.ts'
import { CommandError, EXIT_CODES } from './commandContext.ts'

/** Value that removes a setting from a branch. */
export const UNSET_TEXT = 'none'

function throwUsageError (problem: string, remedy: string): never {
  throw new CommandError(`${problem}; ${remedy}`, EXIT_CODES.usageError)
}

export function readBranch (path: string): Branch {
  return parseBranch(path) ?? throwUsageError(`there is no branch "${path}"`, PATH_RULE)
}

export function readTeamPath (team: string): SettingsPath {
  return parseBranch(teamPath(team))?.path ?? throwUsageError(`"${team}" is not a valid team name`, 'use lower-case letters, digits and hyphens')
}

/**
 * Creates the operations that change settings of one branch; the value `none` removes a setting.
 *
 * @example
 * createSettingOperations('/teams/weavers', { keyGrace: '10 s', limitSlots: 'none' })
 */
export function createSettingOperations (path: string, texts: Readonly<Record<string, string>>): readonly Operation[] {
  const branch = readBranch(path)
  const values: Record<string, SettingValue> = {}
  const unsetNames: string[] = []
  for (const [name, text] of Object.entries(texts)) {
    const found = findSetting(name, branch)
    if (!('value' in found)) throwUsageError(found.problem, found.hint)
    if (text === UNSET_TEXT) {
      unsetNames.push(found.value)
      continue
    }
    const value = readValue(found.value, text)
    if (!('value' in value)) throwUsageError(value.problem, `${value.hint}, or ${UNSET_TEXT} to remove it from ${path}`)
    values[found.value] = value.value
  }
  return [
    ...(Object.keys(values).length > 0 ? [{ type: 'set', path: branch.path, values } as const] : []),
    ...(unsetNames.length > 0 ? [{ type: 'unset', path: branch.path, names: unsetNames } as const] : [])
  ]
}

/** Parses NAME=VALUE arguments. */
export function readAssignments (texts: readonly string[]): Readonly<Record<string, string>> {
  const pairs = texts.map(text => {
    const separator = text.indexOf('=')
    if (separator <= 0) throwUsageError(`"${text}" is not NAME=VALUE`, 'for example "keyGrace=10 s"')
    return [text.slice(0, separator).trim(), text.slice(separator + 1).trim()] as const
  })
  const duplicate = pairs.find(([name], index) => pairs.findIndex(([other]) => other === name) !== index)
  if (duplicate !== undefined) throwUsageError(`${duplicate[0]} is given twice`, 'give each name only once')
  return Object.fromEntries(pairs)
}
