/** The cluster settings: types, units, ranges, defaults and descriptions. docs/settings.md is generated from this schema. */
import { z } from 'zod'
import { flagSetting, numberSetting, optionalName, optionalNumber } from './definition.ts'
import type { BranchLevel, SettingMeta } from './definition.ts'

const TEAM_LEVELS: readonly BranchLevel[] = ['root', 'team']
const WORK_LEVELS: readonly BranchLevel[] = ['root', 'kind', 'team', 'teamKind']
const HOUR_MS = 3_600_000
/** Upper bounds, above the planned 2,600 workers with 64 cores and 256 GB each. */
const MAX_SLOTS = 1_000_000
const MAX_MILLICORES = 1_000_000_000
/** 10,000 TB, in MB. */
const MAX_MEMORY_MB = 10_485_760_000
const MAX_ACCELERATORS = 1_000_000

const SLOTS = { unit: 'count', minimum: 0, maximum: MAX_SLOTS } as const
const PROCESSORS = { unit: 'processors', minimum: 0, maximum: MAX_MILLICORES } as const
const MEMORY = { unit: 'memory', minimum: 0, maximum: MAX_MEMORY_MB } as const
const ACCELERATORS = { unit: 'count', minimum: 0, maximum: MAX_ACCELERATORS } as const

const LIMIT = { levels: TEAM_LEVELS, unsetMeaning: 'not limited' } as const
const CAPACITY = { levels: ['root'] as readonly BranchLevel[], unsetMeaning: 'limits are not checked against shares' } as const

export const settingsSchema = z.strictObject({
  share: numberSetting(1, {
    unit: 'weight',
    minimum: 0,
    maximum: 1_000_000,
    levels: TEAM_LEVELS,
    description: 'Weight of the team when the cluster is full: a team with weight 2 gets twice as much as a team with weight 1.'
  }),
  limitSlots: optionalNumber({ ...SLOTS, ...LIMIT, description: 'Maximum number of runner slots that the team uses concurrently, across all data centres.' }),
  limitProcessors: optionalNumber({ ...PROCESSORS, ...LIMIT, description: 'Maximum processors that the team uses concurrently, across all data centres.' }),
  limitMemory: optionalNumber({ ...MEMORY, ...LIMIT, description: 'Maximum memory that the team uses concurrently, across all data centres.' }),
  limitAccelerators: optionalNumber({ ...ACCELERATORS, ...LIMIT, description: 'Maximum number of accelerators that the team uses concurrently, across all data centres.' }),
  capacitySlots: optionalNumber({ ...SLOTS, ...CAPACITY, description: 'Total runner slots of the cluster. If set, a limit above 0 that is below the team\'s share of this capacity is rejected.' }),
  capacityProcessors: optionalNumber({ ...PROCESSORS, ...CAPACITY, description: 'Total processors of the cluster; limits are checked as for `capacitySlots`.' }),
  capacityMemory: optionalNumber({ ...MEMORY, ...CAPACITY, description: 'Total memory of the cluster; limits are checked as for `capacitySlots`.' }),
  capacityAccelerators: optionalNumber({ ...ACCELERATORS, ...CAPACITY, description: 'Total accelerators of the cluster; limits are checked as for `capacitySlots`.' }),
  keyGrace: numberSetting(5_000, {
    unit: 'duration',
    minimum: 1_000,
    maximum: HOUR_MS,
    levels: TEAM_LEVELS,
    description: 'Maximum age of an instance\'s configuration at which it accepts work with a key. In a data centre that is cut off, a withdrawn key stays valid for this time.'
  }),
  crossRegionWait: numberSetting(500, {
    unit: 'duration',
    minimum: 0,
    maximum: HOUR_MS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 50 },
    description: 'Waiting time in the caller\'s region, beyond the round trip to the other region, above which work may be sent to the other region.'
  }),
  crossRegionBytesPerSecond: numberSetting(250_000, {
    unit: 'rate',
    minimum: 0,
    maximum: 10_000_000_000,
    levels: TEAM_LEVELS,
    description: 'Maximum traffic of the team between regions, per instance. 0 B/s keeps the team\'s work in the region.'
  }),
  retryBudget: numberSetting(0.1, {
    unit: 'percent',
    minimum: 0,
    maximum: 1,
    levels: TEAM_LEVELS,
    description: 'Maximum retries per instance for the team, as a fraction of the team\'s requests.'
  }),
  retryBurst: numberSetting(10, {
    unit: 'count',
    minimum: 0,
    maximum: 1_000,
    levels: TEAM_LEVELS,
    description: 'Maximum burst of retries per instance for the team before the retry budget applies.'
  }),
  queueEntries: numberSetting(1_000, {
    unit: 'count',
    minimum: 0,
    maximum: 2_000,
    levels: TEAM_LEVELS,
    description: 'Maximum number of the team\'s requests queued in one instance; further ones are refused. An instance queues at most 2,000 requests in total.'
  }),
  queueBytes: numberSetting(33_554_432, {
    unit: 'bytes',
    minimum: 0,
    maximum: 67_108_864,
    levels: TEAM_LEVELS,
    description: 'Maximum memory for the team\'s requests queued in one instance. An instance uses at most 64 MB for queued requests in total.'
  }),
  taskLease: numberSetting(15_000, {
    unit: 'duration',
    minimum: 3_000,
    maximum: 15_000,
    levels: WORK_LEVELS,
    description: 'Time for which a task keeps running without contact to its instance. Lost work can start elsewhere only after this time plus 10 %.'
  }),
  preemptible: flagSetting(false, {
    levels: WORK_LEVELS,
    kindDefaults: { batch: true },
    description: 'Tasks may be checkpointed when another team is below its share, or when urgent work needs their capacity.'
  }),
  defaultSlots: numberSetting(0, {
    ...SLOTS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 1 },
    description: 'Slots of a task whose request does not specify a size.'
  }),
  defaultProcessors: numberSetting(1_000, {
    ...PROCESSORS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 0 },
    description: 'Processors of a task whose request does not specify a size.'
  }),
  defaultMemory: numberSetting(2_048, {
    ...MEMORY,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 0 },
    description: 'Memory of a task whose request does not specify a size.'
  }),
  defaultAccelerators: numberSetting(0, {
    ...ACCELERATORS,
    levels: WORK_LEVELS,
    description: 'Accelerators of a task whose request does not specify a size.'
  }),
  defaultDeadline: numberSetting(300_000, {
    unit: 'duration',
    minimum: 1,
    maximum: 24 * HOUR_MS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 10_000 },
    description: 'Deadline of a request that does not specify one. Requests that must not be repeated take at most 10 min.'
  }),
  open: flagSetting(false, {
    levels: ['queue'],
    description: 'The queue accepts work without a key. Requires `team`.'
  }),
  team: optionalName({
    levels: ['queue'],
    unsetMeaning: 'none',
    description: 'The team whose share and limits apply to work from the open queue.'
  })
})

export type ClusterSettings = Readonly<z.infer<typeof settingsSchema>>

export type SettingName = keyof ClusterSettings

export const SETTING_NAMES = Object.freeze(Object.keys(settingsSchema.shape)) as readonly SettingName[]

export function isSettingName (name: string): name is SettingName {
  return Object.hasOwn(settingsSchema.shape, name)
}

/** Read once, since looking up metadata in the zod registry is slow. */
const METADATA = Object.freeze(Object.fromEntries(
  SETTING_NAMES.map(name => [name, settingsSchema.shape[name].meta()]))) as unknown as Readonly<Record<SettingName, SettingMeta>>

/** Returns the unit, range, levels and description of a setting. */
export function settingMeta (name: SettingName): SettingMeta {
  return METADATA[name]
}

const GENERAL_DEFAULTS: ClusterSettings = Object.freeze(settingsSchema.parse({}))

/**
 * Returns the default of a setting, which may depend on the kind of work.
 *
 * @example
 * defaultValue('crossRegionWait', 'urgent') // 50
 */
export function defaultValue<Name extends SettingName> (name: Name, kind?: string): ClusterSettings[Name] {
  const kindDefaults = settingMeta(name).kindDefaults as Readonly<Record<string, unknown>> | undefined
  if (kind !== undefined && kindDefaults !== undefined && Object.hasOwn(kindDefaults, kind)) {
    return kindDefaults[kind] as ClusterSettings[Name]
  }
  return GENERAL_DEFAULTS[name]
}
