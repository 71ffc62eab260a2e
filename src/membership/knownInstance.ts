/** The table's entry for one instance, and the parts of it that the caller of an exchange lacks. */
import type { DigestUpdate, InstanceDigest, InstanceState, Load, NamedUpdate, Place, TeamLoad } from '../model/digest.ts'
import type { InstanceRef } from '../model/identity.ts'
import { isEmpty, NO_RESOURCES } from '../model/resources.ts'

/**
 * A heartbeat from another data centre is relayed within this one only if it is newer by this much than the last one
 * relayed. Otherwise each of the ten instances of a large data centre would relay every remote instance to all others.
 */
const RELAY_INTERVAL_MS = 1_000

const NO_LOAD: Load = { version: 0, free: NO_RESOURCES, largestFree: NO_RESOURCES, queued: 0 }

/** Revisions of the table at the latest change by any answer, and at the latest by one from another data centre. */
interface ChangeRevisions {
  readonly any: number
  readonly remote: number
}

const NEVER_CHANGED: ChangeRevisions = { any: 0, remote: 0 }

export interface KnownInstance {
  readonly handle: number
  readonly ref: InstanceRef
  readonly state: InstanceState
  readonly configurationVersion: number
  readonly heardAt: number
  readonly storeReadAt: number
  readonly quietAt: number
  /** Time of the newest heartbeat that the instances of this data centre have or receive from this one. */
  readonly relayedAt: number
  readonly heartbeatRevisions: ChangeRevisions
  readonly place: Place
  /** Revision at which the instance was added; callers with a lower one are sent its identity and place. */
  readonly addedRevision: number
  readonly load: Load
  readonly loadRevisions: ChangeRevisions
  readonly teams: ReadonlyMap<string, { readonly entry: TeamLoad, readonly revisions: ChangeRevisions }>
}

/** When and from where an entry was received, and the revision of the table that includes it. */
export interface UpdateSource {
  readonly requestedAt: number
  readonly revision: number
  /** Whether the entry came from an instance in another data centre. */
  readonly remote: boolean
}

/** Properties of the caller that determine which parts an answer includes. */
export interface Caller {
  /** Revision of the last answer that the caller has; 0 for none. */
  readonly revision: number
  readonly dataCentre: string | undefined
  /** Names of the instances that the caller could not reach itself. */
  readonly unanswered: ReadonlySet<string>
  readonly withoutLoad: boolean
}

export function ageToTime (now: number, age: number | undefined): number {
  return age === undefined || !(age >= 0) ? -Infinity : now - age
}

function timeToAge (now: number, at: number): number | undefined {
  return at === -Infinity ? undefined : Math.max(0, now - at)
}

export function createKnownInstance (handle: number, ref: InstanceRef, place: Place, revision: number): KnownInstance {
  return {
    handle,
    ref,
    place,
    state: 'starting',
    configurationVersion: 0,
    heardAt: -Infinity,
    storeReadAt: -Infinity,
    quietAt: -Infinity,
    relayedAt: -Infinity,
    heartbeatRevisions: NEVER_CHANGED,
    addedRevision: revision,
    load: NO_LOAD,
    loadRevisions: NEVER_CHANGED,
    teams: new Map()
  }
}

/** Merges an entry. Each time is that of a statement that was true then, so the newest one is kept. */
export function mergeUpdate (old: KnownInstance, update: NamedUpdate, arrival: UpdateSource): KnownInstance {
  return mergeLoad(mergeHeartbeat(old, update, arrival), update, arrival)
}

function mergeHeartbeat (old: KnownInstance, update: NamedUpdate, { requestedAt, revision, remote }: UpdateSource): KnownInstance {
  const heardAt = requestedAt - Math.max(0, update.heardAge)
  const isNewer = heardAt >= old.heardAt
  const state = isNewer ? update.state : old.state
  const configurationVersion = Math.max(old.configurationVersion, update.configurationVersion)
  const changed = state !== old.state || configurationVersion !== old.configurationVersion
  // A heartbeat by a request does not tell of pending changes, so an entry with `quietAge` is compared by that age.
  const statedAt = update.quietAge === undefined ? heardAt : ageToTime(requestedAt, update.quietAge)
  const relay = remote && (changed || statedAt - old.relayedAt >= RELAY_INTERVAL_MS)
  return {
    ...old,
    state,
    configurationVersion,
    heardAt: Math.max(old.heardAt, heardAt),
    storeReadAt: Math.max(old.storeReadAt, ageToTime(requestedAt, update.storeReadAge)),
    quietAt: Math.max(old.quietAt, ageToTime(requestedAt, update.quietAge)),
    relayedAt: relay || !remote ? Math.max(old.relayedAt, statedAt) : old.relayedAt,
    heartbeatRevisions: { any: isNewer ? revision : old.heartbeatRevisions.any, remote: relay ? revision : old.heartbeatRevisions.remote }
  }
}

/** Merges loads by the versions that the instance itself assigned, independent of the path by which they arrived. */
function mergeLoad (old: KnownInstance, { load, teams }: DigestUpdate, { revision, remote }: UpdateSource): KnownInstance {
  const mark = (previous: ChangeRevisions): ChangeRevisions => ({ any: revision, remote: remote ? revision : previous.remote })
  const newTeams = teams.filter(entry => entry.version > (old.teams.get(entry.team)?.entry.version ?? 0))
  const isNewLoad = load !== undefined && load.version > old.load.version
  if (!isNewLoad && newTeams.length === 0) return old
  const merged = new Map(old.teams)
  for (const entry of newTeams) merged.set(entry.team, { entry, revisions: mark(old.teams.get(entry.team)?.revisions ?? NEVER_CHANGED) })
  return { ...old, load: isNewLoad ? load : old.load, loadRevisions: isNewLoad ? mark(old.loadRevisions) : old.loadRevisions, teams: merged }
}

export function toDigest (known: KnownInstance, now: number): InstanceDigest {
  const { ref, place, state, configurationVersion, heardAt, storeReadAt, quietAt, load, teams } = known
  return {
    ref,
    ...place,
    state,
    configurationVersion,
    heardAge: Math.max(0, now - heardAt),
    storeReadAge: timeToAge(now, storeReadAt),
    quietAge: timeToAge(now, quietAt),
    free: load.free,
    largestFree: load.largestFree,
    queued: load.queued,
    teams: [...teams.values()].map(({ entry }) => entry).filter(isActive).map(({ team, used, spare, queued }) => ({ team, used, spare, queued }))
  }
}

export function isActive ({ used, spare, queued }: Pick<TeamLoad, 'used' | 'spare' | 'queued'>): boolean {
  return queued > 0 || !isEmpty(used) || !isEmpty(spare)
}

/**
 * Creates the entry for a caller, or undefined if the caller has it or receives it from a closer source. A caller in
 * another data centre gets the entries of its own data centre from the instances there, and the load of a third data
 * centre from that data centre.
 */
export function createUpdateFor (known: KnownInstance, ownDataCentre: string, caller: Caller, now: number): DigestUpdate | undefined {
  const { dataCentre } = known.place
  const { revision } = caller
  const isUnreachable = caller.unanswered.has(known.ref.name)
  const isLocalCaller = caller.dataCentre === ownDataCentre
  const isNew = known.addedRevision > revision
  if (!isUnreachable && !isNew && !isLocalCaller && dataCentre === caller.dataCentre) return undefined
  const isMissing = (mark: ChangeRevisions): boolean => (isUnreachable || !isLocalCaller ? mark.any : mark.remote) > revision
  const hasLoad = !caller.withoutLoad && (isUnreachable || isLocalCaller || dataCentre === ownDataCentre)
  const load = hasLoad && (isMissing(known.loadRevisions) || isNew)
  const teams = hasLoad ? [...known.teams.values()].filter(({ entry, revisions: mark }) => isMissing(mark) || (isNew && isActive(entry))) : []
  if (!isNew && !load && teams.length === 0 && !isMissing(known.heartbeatRevisions)) return undefined
  return {
    handle: known.handle,
    ref: isNew ? known.ref : undefined,
    state: known.state,
    configurationVersion: known.configurationVersion,
    heardAge: Math.max(0, now - known.heardAt),
    quietAge: timeToAge(now, known.quietAt),
    place: isNew ? known.place : undefined,
    load: load ? known.load : undefined,
    teams: teams.map(({ entry }) => entry)
  }
}
