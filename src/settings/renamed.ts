/** Old names of settings. An old name keeps its meaning under the new one, or is refused with advice; it is never ignored. */
import type { SettingName } from './schema.ts'

export type OldSetting =
  | { readonly type: 'renamed', readonly to: SettingName, readonly since: string }
  | { readonly type: 'retired', readonly since: string, readonly advice: string }

/** Old names of settings, each with the version that changed it. No name has changed since version 0.1.0. */
export type OldSettings = Readonly<Record<string, OldSetting>>

export const OLD_SETTINGS: OldSettings = Object.freeze({})

export function findOldSetting (name: string, oldSettings: OldSettings = OLD_SETTINGS): OldSetting | undefined {
  return Object.hasOwn(oldSettings, name) ? oldSettings[name] : undefined
}

/** Old names that mean the setting. */
export function oldNamesOf (name: SettingName, oldSettings: OldSettings = OLD_SETTINGS): readonly string[] {
  return Object.entries(oldSettings)
    .filter(([, old]) => old.type === 'renamed' && old.to === name)
    .map(([oldName]) => oldName)
}
