/** Lists the differences between two desired states. */
import { DIMENSIONS } from '../../model/resources.ts'
import type { QueueSettings, TeamSettings } from '../desiredState.ts'
import { keyDigest } from './finding.ts'
import type { CheckedState, EntryKind } from './finding.ts'

export type ChangeAction = 'added' | 'removed' | 'changed' | 'put on standby' | 'taken off standby' | 'key added' | 'key withdrawn'

type FieldValue = string | number | boolean

export interface Change {
  /** Undefined for fields of the whole state. */
  readonly entry?: { readonly kind: EntryKind, readonly name: string }
  readonly action: ChangeAction
  readonly field?: string
  /** Undefined if the field was not set, or is not set any more. */
  readonly before?: FieldValue
  readonly after?: FieldValue
  /** Digest of the key that was added or withdrawn. */
  readonly key?: string
  /** Whether calls that are served now may be refused or wait. */
  readonly callersNotice: boolean
}

type Fields = Readonly<Record<string, FieldValue | undefined>>

interface Named {
  readonly name: string
}

function listQueueFields ({ name, advice, ...fields }: QueueSettings): Fields {
  return { ...fields, 'advice.decisionMs': advice?.decisionMs, 'advice.perTargetMs': advice?.perTargetMs, 'advice.ticketValidityMs': advice?.ticketValidityMs }
}

function listTeamFields ({ weight, cap }: TeamSettings): Fields {
  return { weight, ...Object.fromEntries(DIMENSIONS.map(dimension => [`cap.${dimension}`, cap[dimension]])) }
}

function diffFields (before: Fields, after: Fields, entry?: Change['entry']): readonly Change[] {
  return Object.keys({ ...before, ...after }).filter(field => before[field] !== after[field])
    .map(field => ({ entry, action: 'changed', field, before: before[field], after: after[field], callersNotice: false }))
}

/** Of entries that share a name the last one is compared, as in the lookups of the instances. */
function indexByName<Entry extends Named> (entries: readonly Entry[]): ReadonlyMap<string, Entry> {
  return new Map(entries.map(entry => [entry.name, entry]))
}

/** Compares entries of one kind by name: first those of the new state in their order, then those that were removed. */
function diffEntries<Entry extends Named> (kind: EntryKind, before: readonly Entry[], after: readonly Entry[], diffEntry: (old: Entry | undefined, entry: Entry | undefined, name: string) => readonly Change[], noticesRemoval: (entry: Entry) => boolean): readonly Change[] {
  const old = indexByName(before)
  const current = indexByName(after)
  return [...new Set([...current.keys(), ...old.keys()])].flatMap(name => {
    const previous = old.get(name)
    const entry = current.get(name)
    const changes = diffEntry(previous, entry, name)
    if (previous === undefined) return [{ entry: { kind, name }, action: 'added', callersNotice: false } as const, ...changes]
    if (entry === undefined) return [{ entry: { kind, name }, action: 'removed', callersNotice: noticesRemoval(previous) } as const, ...changes]
    return changes
  })
}

/** Callers notice if a queue gets another address, or needs a key that they do not send. */
function diffQueue (before: QueueSettings | undefined, after: QueueSettings | undefined, name: string): readonly Change[] {
  if (before === undefined || after === undefined) return []
  return diffFields(listQueueFields(before), listQueueFields(after), { kind: 'queue', name })
    .map(change => ({ ...change, callersNotice: change.field === 'host' || change.field === 'pathPrefix' || (change.field === 'anonymous' && !after.anonymous) }))
}

function diffTeam (before: TeamSettings | undefined, after: TeamSettings | undefined, name: string, validKeys: ReadonlySet<string>): readonly Change[] {
  const entry = { kind: 'team', name } as const
  const oldKeys = new Set(before?.keys)
  const newKeys = new Set(after?.keys)
  const added = [...newKeys].filter(key => !oldKeys.has(key))
  const withdrawn = [...oldKeys].filter(key => !newKeys.has(key))
  return [
    ...(before === undefined || after === undefined ? [] : diffFields(listTeamFields(before), listTeamFields(after), entry)),
    ...added.map(key => ({ entry, action: 'key added', key: keyDigest(key), callersNotice: false } as const)),
    ...withdrawn.map(key => ({ entry, action: 'key withdrawn', key: keyDigest(key), callersNotice: !validKeys.has(key) } as const))
  ]
}

/**
 * Lists what changes when the second state replaces the first one. A key that moves to another team stays valid, so that
 * callers do not notice its withdrawal.
 *
 * @example
 * diffDesiredStates(inForce, next) // [{ action: 'changed', field: 'version', before: 7, after: 8, callersNotice: false }]
 */
export function diffDesiredStates (before: CheckedState, after: CheckedState): readonly Change[] {
  const validKeys = new Set(after.teams.flatMap(({ keys }) => keys))
  const usedServices = new Set(after.queues.map(({ service }) => service))
  return [
    ...diffFields({ version: before.version, maximumBodyBytes: before.maximumBodyBytes }, { version: after.version, maximumBodyBytes: after.maximumBodyBytes }),
    ...diffEntries('queue', before.queues, after.queues, diffQueue, () => true),
    ...diffEntries('service', before.listedServices, after.listedServices, (old, service, name) => {
      if (service === undefined || service.standby === (old?.standby ?? false)) return []
      return [{ entry: { kind: 'service', name }, action: service.standby ? 'put on standby' : 'taken off standby', callersNotice: service.standby && old !== undefined && usedServices.has(name) }]
    }, ({ name, standby }) => !standby && usedServices.has(name)),
    ...diffEntries('team', before.teams, after.teams, (old, team, name) => diffTeam(old, team, name, validKeys), () => false)
  ]
}
