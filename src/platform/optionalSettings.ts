/** Optional settings of the platform settings file, for the reference of all settings. */

export interface OptionalSetting {
  /** Table and field of the file. */
  readonly name: string
  readonly unit: string
  readonly defaultText: string
  readonly description: string
}

export const OPTIONAL_SETTINGS: readonly OptionalSetting[] = [
  {
    name: 'bounds.remote_factor',
    unit: 'factor, at least 1',
    defaultText: '1',
    description: 'Factor by which a run is expected to take longer away from its data, or for a group (`sameRack`) on several racks. It applies until the coordinator has learned the factor from 20 such runs; changes take effect at the next election.'
  }
]
