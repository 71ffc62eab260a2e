/** The settings of the cluster: types, units, ranges, defaults and descriptions. docs/settings.md is generated from it. */
import { z } from 'zod'
import { flagSetting, numberSetting, optionalName, optionalNumber } from './definition.ts'
import type { BranchLevel, SettingMeta } from './definition.ts'

const TEAM_LEVELS: readonly BranchLevel[] = ['root', 'team']
const WORK_LEVELS: readonly BranchLevel[] = ['root', 'kind', 'team', 'teamKind']
const HOUR_MS = 3_600_000
/** Above the 2,600 workers of 64 cores and 256 GB that are planned. */
const MAX_SLOTS = 1_000_000
const MAX_MILLICORES = 1_000_000_000
/** 10,000 TB. */
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
    description: 'Weight of the team when the cluster is full: a team with 2 gets twice as much as a team with 1.'
  }),
  limitSlots: optionalNumber({ ...SLOTS, ...LIMIT, description: 'Most runner slots that the team uses at once, in all data centres together.' }),
  limitProcessors: optionalNumber({ ...PROCESSORS, ...LIMIT, description: 'Most processors that the team uses at once, in all data centres together.' }),
  limitMemory: optionalNumber({ ...MEMORY, ...LIMIT, description: 'Most memory that the team uses at once, in all data centres together.' }),
  limitAccelerators: optionalNumber({ ...ACCELERATORS, ...LIMIT, description: 'Most accelerators that the team uses at once, in all data centres together.' }),
  capacitySlots: optionalNumber({ ...SLOTS, ...CAPACITY, description: 'Runner slots of the whole cell. If set, a limit above 0 but below the team\'s share of it is refused.' }),
  capacityProcessors: optionalNumber({ ...PROCESSORS, ...CAPACITY, description: 'Processors of the whole cell, used in the same way.' }),
  capacityMemory: optionalNumber({ ...MEMORY, ...CAPACITY, description: 'Memory of the whole cell, used in the same way.' }),
  capacityAccelerators: optionalNumber({ ...ACCELERATORS, ...CAPACITY, description: 'Accelerators of the whole cell, used in the same way.' }),
  keyGrace: numberSetting(5_000, {
    unit: 'duration',
    minimum: 1_000,
    maximum: HOUR_MS,
    levels: TEAM_LEVELS,
    description: 'How old an instance\'s configuration may be while it takes work with a key. A withdrawn key works this much longer in a data centre that is cut off.'
  }),
  crossRegionWait: numberSetting(500, {
    unit: 'duration',
    minimum: 0,
    maximum: HOUR_MS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 50 },
    description: 'Wait in the caller\'s region, beyond the round trip to the other one, above which work may cross the link between regions.'
  }),
  crossRegionBytesPerSecond: numberSetting(250_000, {
    unit: 'rate',
    minimum: 0,
    maximum: 10_000_000_000,
    levels: TEAM_LEVELS,
    description: 'Traffic of the team over the link between regions, for each instance. 0 B/s keeps its work in the region.'
  }),
  retryBudget: numberSetting(0.1, {
    unit: 'percent',
    minimum: 0,
    maximum: 1,
    levels: TEAM_LEVELS,
    description: 'Retries that each instance may make for the team, as a part of the team\'s requests.'
  }),
  retryBurst: numberSetting(10, {
    unit: 'count',
    minimum: 0,
    maximum: 1_000,
    levels: TEAM_LEVELS,
    description: 'Retries that each instance may make at once, before the budget applies.'
  }),
  queueEntries: numberSetting(1_000, {
    unit: 'count',
    minimum: 0,
    maximum: 2_000,
    levels: TEAM_LEVELS,
    description: 'Requests of the team that wait in one instance; the next ones are refused. The instance as a whole holds 2,000.'
  }),
  queueBytes: numberSetting(33_554_432, {
    unit: 'bytes',
    minimum: 0,
    maximum: 67_108_864,
    levels: TEAM_LEVELS,
    description: 'Memory for waiting requests of the team in one instance. The instance as a whole holds 64 MB.'
  }),
  taskLease: numberSetting(15_000, {
    unit: 'duration',
    minimum: 3_000,
    maximum: 15_000,
    levels: WORK_LEVELS,
    description: 'How long a task runs on without word from its instance. Lost work can start elsewhere only after this time and 10 % more.'
  }),
  preemptible: flagSetting(false, {
    levels: WORK_LEVELS,
    kindDefaults: { batch: true },
    description: 'Tasks may be checkpointed when another team is owed its share, or when urgent work needs their place.'
  }),
  defaultSlots: numberSetting(0, {
    ...SLOTS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 1 },
    description: 'Slots of a task whose request gives no size.'
  }),
  defaultProcessors: numberSetting(1_000, {
    ...PROCESSORS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 0 },
    description: 'Processors of a task whose request gives no size.'
  }),
  defaultMemory: numberSetting(2_048, {
    ...MEMORY,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 0 },
    description: 'Memory of a task whose request gives no size.'
  }),
  defaultAccelerators: numberSetting(0, {
    ...ACCELERATORS,
    levels: WORK_LEVELS,
    description: 'Accelerators of a task whose request gives no size.'
  }),
  defaultDeadline: numberSetting(300_000, {
    unit: 'duration',
    minimum: 1,
    maximum: 24 * HOUR_MS,
    levels: WORK_LEVELS,
    kindDefaults: { urgent: 10_000 },
    description: 'Time in which a request without a deadline of its own must be answered. Requests that must not be repeated take at most 10 min.'
  }),
  open: flagSetting(false, {
    levels: ['queue'],
    description: 'The queue takes work without a key. Needs `team`.'
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

/** Read once, since the registry of zod is slow to ask for each lookup. */
const METADATA = Object.freeze(Object.fromEntries(
  SETTING_NAMES.map(name => [name, settingsSchema.shape[name].meta()]))) as unknown as Readonly<Record<SettingName, SettingMeta>>

/** Unit, range, levels and description of a setting. */
export function settingMeta (name: SettingName): SettingMeta {
  return METADATA[name]
}

const GENERAL_DEFAULTS: ClusterSettings = Object.freeze(settingsSchema.parse({}))

/**
 * The default of a setting, which may differ between kinds of work.
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
