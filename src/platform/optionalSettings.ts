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
  },
  {
    name: 'admission.by_expected_end',
    unit: 'true, false',
    defaultText: 'false',
    description: 'Whether a submission is refused as soon as it can not end in time: beyond its team\'s share, if its objective can not be met; within it, if not even three times the objective can. Otherwise submissions beyond a share are refused while three jobs of their team have waited for 1.5 s. Changes take effect at the next election.'
  }
]
