/** The configuration at one version. A state is immutable; applying the next change returns a new state. */
import type {
  Change, ConfigurationSnapshot, DrainMark, DrainScope, Operation, SettingsPath, SettingValue, StoredKey
} from '../model/change.ts'

/** Change IDs retained to detect resubmitted changes: two snapshot intervals. */
export const MAX_RECENT_CHANGES = 512

/** Withdrawn keys retained for operators to inspect; the oldest are dropped so that the snapshot stays below 1 MB. */
const MAX_WITHDRAWN_KEYS = 512

type Values = Readonly<Record<string, SettingValue>>

export interface ConfigurationState {
  readonly version: number
  readonly settings: ReadonlyMap<SettingsPath, Values>
  readonly keys: ReadonlyMap<string, StoredKey>
  readonly drains: ReadonlyMap<string, DrainMark>
  /** IDs in version order: the last one belongs to `version`, the one before it to `version - 1`, and so on. */
  readonly recentChangeIds: readonly string[]
}

export interface SettingScope {
  readonly team?: string
  readonly kind?: string
  readonly queue?: string
}

export interface FoundSetting {
  readonly value: SettingValue
  readonly path: SettingsPath
}

export const EMPTY_STATE: ConfigurationState = Object.freeze({
  version: 0, settings: new Map(), keys: new Map(), drains: new Map(), recentChangeIds: []
})

function drainKey (scope: DrainScope, name: string): string {
  return `${scope}/${name}`
}

export function createState (snapshot: ConfigurationSnapshot): ConfigurationState {
  return {
    version: snapshot.version,
    settings: new Map(Object.entries(snapshot.settings) as [SettingsPath, Values][]),
    keys: new Map(snapshot.keys.map(key => [key.keyId, key])),
    drains: new Map(snapshot.drains.map(mark => [drainKey(mark.scope, mark.name), mark])),
    recentChangeIds: snapshot.recentChangeIds
  }
}

export function toSnapshot (state: ConfigurationState): ConfigurationSnapshot {
  return {
    version: state.version,
    settings: Object.fromEntries(state.settings) as Record<SettingsPath, Values>,
    keys: [...state.keys.values()],
    drains: [...state.drains.values()],
    recentChangeIds: state.recentChangeIds
  }
}

/** Whether a path is the given branch or below it. */
export function isWithin (path: string, branch: string): boolean {
  return branch === '/' || path === branch || path.startsWith(`${branch}/`)
}

interface MutableContent {
  readonly settings: Map<SettingsPath, Values>
  readonly keys: Map<string, StoredKey>
  readonly drains: Map<string, DrainMark>
}

function applyToSettings (settings: Map<SettingsPath, Values>, operation: Operation): void {
  if (operation.type === 'set') {
    settings.set(operation.path, { ...settings.get(operation.path), ...operation.values })
  } else if (operation.type === 'unset') {
    const kept = Object.entries(settings.get(operation.path) ?? {}).filter(([name]) => !operation.names.includes(name))
    if (kept.length === 0) settings.delete(operation.path)
    else settings.set(operation.path, Object.fromEntries(kept))
  } else if (operation.type === 'removeBranch') {
    for (const path of [...settings.keys()]) if (isWithin(path, operation.path)) settings.delete(path)
  }
}

function withdrawKey (keys: Map<string, StoredKey>, keyId: string): void {
  const key = keys.get(keyId)
  if (key === undefined) return
  keys.delete(keyId)
  keys.set(keyId, { ...key, withdrawn: true })
  const withdrawn = [...keys.values()].filter(candidate => candidate.withdrawn)
  for (const old of withdrawn.slice(0, -MAX_WITHDRAWN_KEYS)) keys.delete(old.keyId)
}

function applyOperation (content: MutableContent, operation: Operation): void {
  switch (operation.type) {
    case 'createKey': {
      const { keyId, team, hash } = operation
      // An existing key is not overwritten, so that a withdrawn key stays withdrawn.
      if (!content.keys.has(keyId)) content.keys.set(keyId, { keyId, team, hash, withdrawn: false })
      return
    }
    case 'withdrawKey': return withdrawKey(content.keys, operation.keyId)
    case 'drain': {
      const { scope, name } = operation
      content.drains.set(drainKey(scope, name), { scope, name })
      return
    }
    case 'undrain':
      content.drains.delete(drainKey(operation.scope, operation.name))
      return
    default: applyToSettings(content.settings, operation)
  }
}

/**
 * Returns the state after a change. Throws `RangeError` unless the change has the next version.
 *
 * @example
 * const next = applyChange(state, { ...change, version: state.version + 1 })
 */
export function applyChange (state: ConfigurationState, change: Change): ConfigurationState {
  if (change.version !== state.version + 1) {
    throw new RangeError(`change ${change.version} does not follow version ${state.version}`)
  }
  const content = { settings: new Map(state.settings), keys: new Map(state.keys), drains: new Map(state.drains) }
  for (const operation of change.operations) applyOperation(content, operation)
  return {
    version: change.version,
    ...content,
    recentChangeIds: [...state.recentChangeIds, change.id].slice(-MAX_RECENT_CHANGES)
  }
}

function applicableBranches ({ team, kind, queue }: SettingScope): readonly SettingsPath[] {
  const branches: SettingsPath[] = []
  if (queue !== undefined) branches.push(`/queues/${queue}`)
  if (team !== undefined && kind !== undefined) branches.push(`/teams/${team}/kinds/${kind}`)
  if (team !== undefined) branches.push(`/teams/${team}`)
  if (kind !== undefined) branches.push(`/kinds/${kind}`)
  branches.push('/')
  return branches
}

/**
 * Finds a setting in the nearest branch that sets it, in the order queue, team and kind, team, kind, root.
 *
 * @example
 * findSetting(state, { team: 'weavers', kind: 'batch' }, 'share')?.value
 */
export function findSetting (state: ConfigurationState, scope: SettingScope, name: string): FoundSetting | undefined {
  for (const path of applicableBranches(scope)) {
    const values = state.settings.get(path)
    if (values === undefined || !Object.hasOwn(values, name)) continue
    return { value: values[name] as SettingValue, path }
  }
}

export function isDraining (state: ConfigurationState, scope: DrainScope, name: string): boolean {
  return state.drains.has(drainKey(scope, name))
}

/** Returns the version of a recent change; undefined if the ID is unknown or no longer retained. */
export function findVersionOfChange (state: ConfigurationState, id: string): number | undefined {
  const index = state.recentChangeIds.lastIndexOf(id)
  return index < 0 ? undefined : state.version - (state.recentChangeIds.length - 1 - index)
}
