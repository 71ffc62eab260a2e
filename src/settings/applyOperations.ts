/** Applies the operations of a change to the settings, keys and drains of a snapshot, without modifying the snapshot. */
import type { ConfigurationSnapshot, DrainMark, Operation, SettingsPath, SettingValue, StoredKey } from '../model/change.ts'
import { isWithin } from './paths.ts'

export type ConfigurationContent = Pick<ConfigurationSnapshot, 'settings' | 'keys' | 'drains'>

type Settings = Record<SettingsPath, Readonly<Record<string, SettingValue>>>

function sameDrain (left: DrainMark, right: DrainMark): boolean {
  return left.scope === right.scope && left.name === right.name
}

function omitNames (values: Readonly<Record<string, SettingValue>> | undefined, names: readonly string[]): Readonly<Record<string, SettingValue>> {
  return Object.fromEntries(Object.entries(values ?? {}).filter(([name]) => !names.includes(name)))
}

function applyToSettings (settings: Settings, operation: Operation): Settings {
  switch (operation.type) {
    case 'set':
      return { ...settings, [operation.path]: { ...settings[operation.path], ...operation.values } }
    case 'unset':
      return Object.hasOwn(settings, operation.path)
        ? { ...settings, [operation.path]: omitNames(settings[operation.path], operation.names) }
        : settings
    case 'removeBranch':
      return Object.fromEntries(Object.entries(settings).filter(([path]) => !isWithin(path, operation.path)))
    default:
      return settings
  }
}

function applyToKeys (keys: readonly StoredKey[], operation: Operation): readonly StoredKey[] {
  if (operation.type === 'createKey') {
    const { keyId, team, hash } = operation
    return [...keys, { keyId, team, hash, withdrawn: false }]
  }
  if (operation.type !== 'withdrawKey') return keys
  return keys.map(key => key.keyId === operation.keyId ? { ...key, withdrawn: true } : key)
}

function applyToDrains (drains: readonly DrainMark[], operation: Operation): readonly DrainMark[] {
  if (operation.type !== 'drain' && operation.type !== 'undrain') return drains
  const mark: DrainMark = { scope: operation.scope, name: operation.name }
  const others = drains.filter(drain => !sameDrain(drain, mark))
  return operation.type === 'drain' ? [...others, mark] : others
}

/** Returns the content after one operation. */
export function applyOperation (content: ConfigurationContent, operation: Operation): ConfigurationContent {
  return {
    settings: applyToSettings(content.settings, operation),
    keys: applyToKeys(content.keys, operation),
    drains: applyToDrains(content.drains, operation)
  }
}

/**
 * Returns the content after all operations, applied in order.
 *
 * @example
 * applyOperations(snapshot, [{ type: 'removeBranch', path: '/teams/weavers' }]).settings
 */
export function applyOperations (content: ConfigurationContent, operations: readonly Operation[]): ConfigurationContent {
  return operations.reduce(applyOperation, content)
}
