/** Changes to the cluster's configuration, as submitted by operators and as stored. */

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
  /** Chosen by the operator's client; a resubmitted change keeps its id. */
  readonly id: string
  readonly version: number
  /** The configuration version on which the operator based the change. */
  readonly baseVersion: number
  readonly operator: string
  /** Wall-clock time in milliseconds; for display only. */
  readonly acceptedAt: number
  readonly operations: readonly Operation[]
}

/** An API key as stored in the configuration. */
export interface StoredKey {
  readonly keyId: string
  readonly team: string
  /** SHA-256 hash of the key, in hexadecimal. */
  readonly hash: string
  readonly withdrawn: boolean
}

export interface DrainMark {
  readonly scope: DrainScope
  readonly name: string
}

/** The complete configuration at one version. */
export interface ConfigurationSnapshot {
  readonly version: number
  readonly settings: Readonly<Record<SettingsPath, Readonly<Record<string, SettingValue>>>>
  readonly keys: readonly StoredKey[]
  readonly drains: readonly DrainMark[]
  /** Ids of the most recent changes, used to recognise a resubmitted change. */
  readonly recentChangeIds: readonly string[]
}
