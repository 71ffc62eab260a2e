/** Changes of the cluster's configuration, as operators make them and as the store keeps them. */

/** A branch of the settings tree, such as `/teams/weavers/kinds/batch`. */
export type SettingsPath = `/${string}`

export type SettingValue = string | number | boolean

export type DrainScope = 'target' | 'instance' | 'dataCentre'

export type Operation =
  | { readonly type: 'set', readonly path: SettingsPath, readonly values: Readonly<Record<string, SettingValue>> }
  | { readonly type: 'unset', readonly path: SettingsPath, readonly names: readonly string[] }
  | { readonly type: 'removeBranch', readonly path: SettingsPath }
  | { readonly type: 'createKey', readonly keyId: string, readonly team: string, readonly hash: string }
  | { readonly type: 'withdrawKey', readonly keyId: string }
  | { readonly type: 'drain', readonly scope: DrainScope, readonly name: string }
  | { readonly type: 'undrain', readonly scope: DrainScope, readonly name: string }

export interface Change {
  /** Chosen by the operator's client; a change sent again has the same one. */
  readonly id: string
  readonly version: number
  /** The version that the operator had seen. */
  readonly baseVersion: number
  readonly operator: string
  /** Wall-clock time in milliseconds, for people only. */
  readonly acceptedAt: number
  readonly operations: readonly Operation[]
}

/** A key as the configuration keeps it. */
export interface StoredKey {
  readonly keyId: string
  readonly team: string
  /** SHA-256 of the key, hexadecimal. */
  readonly hash: string
  readonly withdrawn: boolean
}

export interface DrainMark {
  readonly scope: DrainScope
  readonly name: string
}

/** The whole configuration at one version. */
export interface ConfigurationSnapshot {
  readonly version: number
  readonly settings: Readonly<Record<SettingsPath, Readonly<Record<string, SettingValue>>>>
  readonly keys: readonly StoredKey[]
  readonly drains: readonly DrainMark[]
  /** Identities of the latest changes, so that a change sent again is recognised. */
  readonly recentChangeIds: readonly string[]
}
