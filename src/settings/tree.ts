/** Looks settings up in the tree, from the nearest branch outwards. */
import type { ConfigurationSnapshot, SettingsPath, SettingValue } from '../model/change.ts'
import type { KindName } from '../model/request.ts'
import { resources } from '../model/resources.ts'
import type { Dimension, Limit, Resources } from '../model/resources.ts'
import { defaultValue, settingMeta } from './schema.ts'
import type { ClusterSettings, SettingName } from './schema.ts'
import { parseBranch, teamPath } from './paths.ts'
import { oldNamesOf } from './renamed.ts'

export type SettingsTree = ConfigurationSnapshot['settings']

export interface SettingsScope {
  readonly team?: string
  readonly kind?: KindName
  readonly queue?: string
}

export interface ResolvedSetting<Name extends SettingName = SettingName> {
  readonly value: ClusterSettings[Name]
  /** The branch that set the value. */
  readonly source: SettingsPath | 'default'
}

/** The branches that apply to a scope, nearest first. */
export function listBranches (scope: SettingsScope): readonly SettingsPath[] {
  if (scope.queue !== undefined) return [`/queues/${scope.queue}`]
  const { team, kind } = scope
  const paths: SettingsPath[] = []
  if (team !== undefined && kind !== undefined) paths.push(`/teams/${team}/kinds/${kind}`)
  if (team !== undefined) paths.push(teamPath(team))
  if (kind !== undefined) paths.push(`/kinds/${kind}`)
  return [...paths, '/']
}

function valueIn (values: SettingsTree, path: SettingsPath, name: string): SettingValue | undefined {
  const branch = Object.hasOwn(values, path) ? values[path] : undefined
  return branch !== undefined && Object.hasOwn(branch, name) ? branch[name] : undefined
}

/**
 * Finds the value that applies to a scope and the branch that set it.
 *
 * @example
 * resolveSetting(snapshot.settings, { team: 'weavers', kind: 'batch' }, 'keyGrace')
 * // { value: 10000, source: '/teams/weavers' }
 */
export function resolveSetting<Name extends SettingName> (values: SettingsTree, scope: SettingsScope, name: Name): ResolvedSetting<Name> {
  const levels = settingMeta(name).levels
  const names = [name, ...oldNamesOf(name)]
  for (const source of listBranches(scope)) {
    const level = parseBranch(source)?.level
    if (level === undefined || !levels.includes(level)) continue
    for (const candidate of names) {
      const value = valueIn(values, source, candidate)
      if (value !== undefined) return { value: value as ClusterSettings[Name], source }
    }
  }
  return { value: defaultValue(name, scope.kind), source: 'default' }
}

/** What applies to one team's work of one kind, in the program's units. */
export interface TeamSettings {
  readonly share: number
  readonly limit: Limit
  readonly keyGraceMs: number
  readonly crossRegionWaitMs: number
  readonly crossRegionBytesPerSecond: number
  /** Retries as a part of requests. */
  readonly retryBudget: number
  readonly retryBurst: number
  readonly queueEntries: number
  readonly queueBytes: number
  readonly taskLeaseMs: number
  readonly preemptible: boolean
  readonly defaultSize: Resources
  readonly defaultDeadlineMs: number
}

const LIMIT_NAMES = { slots: 'limitSlots', processors: 'limitProcessors', memory: 'limitMemory', accelerators: 'limitAccelerators' } as const satisfies Record<Dimension, SettingName>

export const LIMIT_SETTINGS: Readonly<Record<Dimension, typeof LIMIT_NAMES[Dimension]>> = LIMIT_NAMES

/** The team's upper limit; dimensions without a limit are left out. */
export function resolveLimit (values: SettingsTree, team: string): Limit {
  const limit: Partial<Record<Dimension, number>> = {}
  for (const [dimension, name] of Object.entries(LIMIT_NAMES) as Array<[Dimension, typeof LIMIT_NAMES[Dimension]]>) {
    const { value } = resolveSetting(values, { team }, name)
    if (value !== undefined) limit[dimension] = value
  }
  return limit
}

/**
 * Gathers everything that the scheduler needs to know about a team's work of one kind.
 *
 * @example
 * resolveTeamSettings(snapshot, 'weavers', 'batch').keyGraceMs // 5000
 */
export function resolveTeamSettings (snapshot: Pick<ConfigurationSnapshot, 'settings'>, team: string, kind: KindName): TeamSettings {
  const get = <Name extends SettingName>(name: Name): ClusterSettings[Name] =>
    resolveSetting(snapshot.settings, { team, kind }, name).value
  return Object.freeze({
    share: get('share'),
    limit: Object.freeze(resolveLimit(snapshot.settings, team)),
    keyGraceMs: get('keyGrace'),
    crossRegionWaitMs: get('crossRegionWait'),
    crossRegionBytesPerSecond: get('crossRegionBytesPerSecond'),
    retryBudget: get('retryBudget'),
    retryBurst: get('retryBurst'),
    queueEntries: get('queueEntries'),
    queueBytes: get('queueBytes'),
    taskLeaseMs: get('taskLease'),
    preemptible: get('preemptible'),
    defaultSize: Object.freeze(resources({
      slots: get('defaultSlots'),
      processors: get('defaultProcessors'),
      memory: get('defaultMemory'),
      accelerators: get('defaultAccelerators')
    })),
    defaultDeadlineMs: get('defaultDeadline')
  })
}

export interface QueueSettings {
  readonly open: boolean
  readonly team?: string
}

/** Settings of a queue; a queue that is not open takes no work without a key. */
export function resolveQueueSettings (snapshot: Pick<ConfigurationSnapshot, 'settings'>, queue: string): QueueSettings {
  return Object.freeze({
    open: resolveSetting(snapshot.settings, { queue }, 'open').value,
    team: resolveSetting(snapshot.settings, { queue }, 'team').value
  })
}

/** Names of the teams that have a branch of their own; a team without one does not exist. */
export function listTeams (values: SettingsTree): readonly string[] {
  return Object.keys(values).flatMap(path => {
    const branch = parseBranch(path)
    return branch?.level === 'team' && branch.team !== undefined ? [branch.team] : []
  }).sort()
}
