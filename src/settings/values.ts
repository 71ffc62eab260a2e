/** Validates single values against the schema, and converts them from and to text. */
import type { SettingValue } from '../model/change.ts'
import { editDistance } from './editDistance.ts'
import type { Branch } from './paths.ts'
import { NAME_PATTERN, NAME_RULE } from './definition.ts'
import type { BranchLevel, SettingMeta } from './definition.ts'
import { isSettingName, SETTING_NAMES, settingMeta, settingsSchema } from './schema.ts'
import type { SettingName } from './schema.ts'
import { findOldSetting, OLD_SETTINGS } from './renamed.ts'
import type { OldSettings } from './renamed.ts'
import { formatQuantity, isQuantityUnit, parseQuantity } from './units.ts'
import type { ParseResult } from './units.ts'

const LEVEL_PATHS: Readonly<Record<BranchLevel, string>> = {
  root: '/', kind: '/kinds/KIND', team: '/teams/TEAM', teamKind: '/teams/TEAM/kinds/KIND', queue: '/queues/QUEUE'
}

/** Formats the branches in which a setting may be set. */
export function describeLevels (levels: readonly BranchLevel[]): string {
  return levels.map(level => LEVEL_PATHS[level]).join(', ')
}

/** Formats a value in the notation of the settings file. */
export function formatValue (value: SettingValue | undefined, meta: SettingMeta): string {
  if (value === undefined) return meta.unsetMeaning ?? 'not set'
  return typeof value === 'number' && isQuantityUnit(meta.unit) ? formatQuantity(value, meta.unit) : String(value)
}

export function formatSetting (name: string, value: SettingValue | undefined): string {
  return isSettingName(name) ? formatValue(value, settingMeta(name)) : String(value)
}

/** Formats the range of a number setting; empty for other settings. */
export function formatRange (meta: SettingMeta): string {
  if (meta.minimum === undefined || meta.maximum === undefined) return ''
  return `${formatValue(meta.minimum, meta)} to ${formatValue(meta.maximum, meta)}`
}

/** Maximum edit distance at which an unknown name is treated as a misspelling. */
const MAX_SPELLING_DISTANCE = 3

/** Suggests the closest known name, or lists all known names if none is close. */
export function suggestName (name: string, known: readonly string[]): string {
  const lower = name.slice(0, 64).toLowerCase()
  const nearest = known
    .map(candidate => ({ candidate, distance: editDistance(lower, candidate.toLowerCase()) }))
    .sort((left, right) => left.distance - right.distance)[0]
  return nearest !== undefined && nearest.distance <= MAX_SPELLING_DISTANCE
    ? `did you mean ${nearest.candidate}?`
    : `known here: ${known.join(', ')}`
}

/** Resolves a name in a branch to a setting. Former names resolve to the current setting. */
export function findSetting (name: string, branch: Branch, oldSettings: OldSettings = OLD_SETTINGS): ParseResult<SettingName> {
  const old = findOldSetting(name, oldSettings)
  if (old?.type === 'retired') return { problem: `${name} was retired in version ${old.since}`, hint: old.advice }
  const current = old?.to ?? name
  if (!isSettingName(current)) {
    const known = SETTING_NAMES.filter(candidate => settingMeta(candidate).levels.includes(branch.level))
    return { problem: `there is no setting "${name}"`, hint: suggestName(name, known) }
  }
  const { levels } = settingMeta(current)
  if (!levels.includes(branch.level)) {
    return { problem: `${name} can not be set in ${branch.path}`, hint: `set it in ${describeLevels(levels)}` }
  }
  return { value: current }
}

/** Validates the type and range of a value in its stored unit. */
export function checkValue (name: SettingName, value: unknown): ParseResult<SettingValue> {
  const meta = settingMeta(name)
  const result = settingsSchema.shape[name].safeParse(value)
  if (value !== undefined && result.success) return { value: result.data as SettingValue }
  if (meta.unit === 'flag') return { problem: `${name} is ${formatUnknown(value)}`, hint: 'write true or false' }
  if (meta.unit === 'name') return { problem: `${name} is ${formatUnknown(value)}`, hint: NAME_RULE }
  const shown = typeof value === 'number' && Number.isFinite(value) ? formatValue(value, meta) : formatUnknown(value)
  return { problem: `${name} is ${shown}, which is out of range`, hint: `use ${formatRange(meta)}` }
}

function formatUnknown (value: unknown): string {
  return (JSON.stringify(value) ?? typeof value).slice(0, 80)
}

/**
 * Parses a value in the notation of the settings file and validates its range.
 *
 * @example
 * readValue('keyGrace', '5 s') // { value: 5000 }
 */
export function readValue (name: SettingName, text: string): ParseResult<SettingValue> {
  const { unit } = settingMeta(name)
  if (unit === 'flag') return checkValue(name, text === 'true' ? true : text === 'false' ? false : text)
  if (unit === 'name') return NAME_PATTERN.test(text) ? { value: text } : { problem: `"${text}" is not a name`, hint: NAME_RULE }
  if (!isQuantityUnit(unit)) return checkValue(name, text)
  const quantity = parseQuantity(text, unit)
  if ('value' in quantity) return checkValue(name, quantity.value)
  return { problem: `${name}: ${quantity.problem}`, hint: quantity.hint }
}
