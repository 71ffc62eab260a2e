/** Former names of settings. A former name is resolved to the new name or rejected with advice; it is never ignored. */
import type { SettingName } from './schema.ts'

export type OldSetting =
  | { readonly type: 'renamed', readonly to: SettingName, readonly since: string }
  | { readonly type: 'retired', readonly since: string, readonly advice: string }

/** Former names of settings, with the version that changed each. No name has changed since version 0.1.0. */
export type OldSettings = Readonly<Record<string, OldSetting>>

export const OLD_SETTINGS: OldSettings = Object.freeze({})

export function findOldSetting (name: string, oldSettings: OldSettings = OLD_SETTINGS): OldSetting | undefined {
  return Object.hasOwn(oldSettings, name) ? oldSettings[name] : undefined
}

/** Former names of a setting. */
export function oldNamesOf (name: SettingName, oldSettings: OldSettings = OLD_SETTINGS): readonly string[] {
  return Object.entries(oldSettings)
    .filter(([, old]) => old.type === 'renamed' && old.to === name)
    .map(([oldName]) => oldName)
}
