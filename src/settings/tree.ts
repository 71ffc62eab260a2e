/** Resolves settings in the tree, from the most specific branch to the root. */
import type { ConfigurationSnapshot, SettingsPath, SettingValue } from '../model/change.ts'
import type { KindName } from '../model/request.ts'
import { resources } from '../model/resources.ts'
import type { Dimension, Limit, Resources } from '../model/resources.ts'
import { defaultValue, SETTING_NAMES, settingMeta } from './schema.ts'
import type { ClusterSettings, SettingName } from './schema.ts'
import type { BranchLevel } from './definition.ts'
import { parseBranch, teamPath } from './paths.ts'
import { oldNamesOf } from './renamed.ts'

export type SettingsTree = ConfigurationSnapshot['settings']

/** The name of each setting, followed by its former names. */
const KNOWN_NAMES = Object.fromEntries(SETTING_NAMES.map(name => [name, [name, ...oldNamesOf(name)]])) as unknown as Readonly<Record<SettingName, readonly string[]>>

export interface SettingsScope {
  readonly team?: string
  readonly kind?: KindName
  readonly queue?: string
}

export interface ResolvedSetting<Name extends SettingName = SettingName> {
  readonly value: ClusterSettings[Name]
  /** The branch that sets the value. */
  readonly source: SettingsPath | 'default'
}

export interface ApplicableBranch {
  readonly path: SettingsPath
  readonly level: BranchLevel
}

/** The branches that apply to a scope, most specific first. */
export function listBranches (scope: SettingsScope): readonly ApplicableBranch[] {
  if (scope.queue !== undefined) return [{ path: `/queues/${scope.queue}`, level: 'queue' }]
  const { team, kind } = scope
  const branches: ApplicableBranch[] = []
  if (team !== undefined && kind !== undefined) branches.push({ path: `/teams/${team}/kinds/${kind}`, level: 'teamKind' })
  if (team !== undefined) branches.push({ path: teamPath(team), level: 'team' })
  if (kind !== undefined) branches.push({ path: `/kinds/${kind}`, level: 'kind' })
  branches.push({ path: '/', level: 'root' })
  return branches
}

function ownValue (values: SettingsTree, path: SettingsPath, name: string): SettingValue | undefined {
  const branch = Object.hasOwn(values, path) ? values[path] : undefined
  return branch !== undefined && Object.hasOwn(branch, name) ? branch[name] : undefined
}

/**
 * Returns the value that applies to a scope and the branch that sets it.
 *
 * @example
 * resolveSetting(snapshot.settings, { team: 'weavers', kind: 'batch' }, 'keyGrace')
 * // { value: 10000, source: '/teams/weavers' }
 */
export function resolveSetting<Name extends SettingName> (values: SettingsTree, scope: SettingsScope, name: Name): ResolvedSetting<Name> {
  return resolveInBranches(values, listBranches(scope), scope, name)
}

function resolveInBranches<Name extends SettingName> (values: SettingsTree, branches: readonly ApplicableBranch[], scope: SettingsScope, name: Name): ResolvedSetting<Name> {
  const { levels } = settingMeta(name)
  const names = KNOWN_NAMES[name]
  for (const { path, level } of branches) {
    if (!levels.includes(level)) continue
    for (const candidate of names) {
      const value = ownValue(values, path, candidate)
      if (value !== undefined) return { value: value as ClusterSettings[Name], source: path }
    }
  }
  return { value: defaultValue(name, scope.kind), source: 'default' }
}

/** Settings of one team's work of one kind, in stored units. */
export interface TeamSettings {
  readonly share: number
  readonly limit: Limit
  readonly keyGraceMs: number
  readonly crossRegionWaitMs: number
  readonly crossRegionBytesPerSecond: number
  /** Retries as a fraction of requests. */
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

/** The team's resource limit; dimensions without a limit are omitted. */
export function resolveLimit (values: SettingsTree, team: string): Limit {
  const limit: Partial<Record<Dimension, number>> = {}
  for (const [dimension, name] of Object.entries(LIMIT_NAMES) as Array<[Dimension, typeof LIMIT_NAMES[Dimension]]>) {
    const { value } = resolveSetting(values, { team }, name)
    if (value !== undefined) limit[dimension] = value
  }
  return limit
}

/**
 * Resolves all settings that the scheduler needs for a team's work of one kind.
 *
 * @example
 * resolveTeamSettings(snapshot, 'weavers', 'batch').keyGraceMs // 5000
 */
export function resolveTeamSettings (snapshot: Pick<ConfigurationSnapshot, 'settings'>, team: string, kind: KindName): TeamSettings {
  const scope = { team, kind }
  const branches = listBranches(scope)
  const get = <Name extends SettingName>(name: Name): ClusterSettings[Name] =>
    resolveInBranches(snapshot.settings, branches, scope, name).value
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

/** Number of entries at which the cache is cleared; far above 100 teams with 4 kinds each. */
const MAX_CACHED_ENTRIES = 10_000

/**
 * Caches resolved settings until the configuration changes, since every placement decision needs them.
 *
 * @example
 * const cache = new TeamSettingsCache()
 * cache.get(state.snapshot, 'weavers', 'batch').share
 */
export class TeamSettingsCache {
  readonly #entries = new Map<string, TeamSettings>()
  #settings: SettingsTree | undefined
  #version = -1

  /** Returns the settings for a snapshot, which must not be modified in place without a new version. */
  get (snapshot: Pick<ConfigurationSnapshot, 'settings' | 'version'>, team: string, kind: KindName): TeamSettings {
    if (snapshot.settings !== this.#settings || snapshot.version !== this.#version || this.#entries.size >= MAX_CACHED_ENTRIES) {
      this.#entries.clear()
      this.#settings = snapshot.settings
      this.#version = snapshot.version
    }
    const key = `${kind}/${team}`
    const known = this.#entries.get(key)
    if (known !== undefined) return known
    const resolved = resolveTeamSettings(snapshot, team, kind)
    this.#entries.set(key, resolved)
    return resolved
  }
}

export interface QueueSettings {
  readonly open: boolean
  readonly team?: string
}

/** Resolves the settings of a queue. A queue that is not open accepts no work without a key. */
export function resolveQueueSettings (snapshot: Pick<ConfigurationSnapshot, 'settings'>, queue: string): QueueSettings {
  return Object.freeze({
    open: resolveSetting(snapshot.settings, { queue }, 'open').value,
    team: resolveSetting(snapshot.settings, { queue }, 'team').value
  })
}

/** Names of all teams. A team exists only if it has a branch of its own. */
export function listTeams (values: SettingsTree): readonly string[] {
  return Object.keys(values).flatMap(path => {
    const branch = parseBranch(path)
    return branch?.level === 'team' && branch.team !== undefined ? [branch.team] : []
  }).sort()
}
