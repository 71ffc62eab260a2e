/** Finds errors, entries without effect and contradictory limits in a desired state. */
import { DIMENSIONS } from '../../model/resources.ts'
import type { Dimension } from '../../model/resources.ts'
import type { QueueSettings } from '../desiredState.ts'
import { hostName } from '../hostName.ts'
import { keyDigest } from './finding.ts'
import type { CheckedState, EntryKind, Finding, Severity } from './finding.ts'

const UNIT_BY_DIMENSION: Readonly<Record<Dimension, string>> = { slots: 'slots', processors: 'millicores', memory: 'MB', accelerators: 'accelerators' }

/** What happens to entries that share a name, as the lookups by name return the last one. */
const DUPLICATE_EFFECTS: Readonly<Record<EntryKind, string>> = {
  queue: 'jobs of both are placed by the settings of the last one',
  service: 'it is on standby only if both are',
  team: 'the weight and the cap of the last one apply to both'
}

function entryFinding (severity: Severity, code: string, kind: EntryKind, index: number, field: string, message: string, related?: readonly string[]): Finding {
  return { severity, code, place: { entry: { kind, index }, field }, message, ...(related === undefined ? {} : { related }) }
}

function quote (text: string): string {
  return JSON.stringify(text)
}

/** Finds entries of one kind without a name or with the name of an earlier one. */
function findNameErrors (kind: EntryKind, entries: ReadonlyArray<{ readonly name: string }>): readonly Finding[] {
  const names = new Set<string>()
  return entries.flatMap(({ name }, index) => {
    if (name === '') return [entryFinding('error', 'empty-name', kind, index, 'name', 'the name is empty; expected a unique name')]
    const isDuplicate = names.has(name)
    names.add(name)
    return isDuplicate ? [entryFinding('error', 'duplicate-name', kind, index, 'name', `an earlier ${kind} has the name ${quote(name)}, and ${DUPLICATE_EFFECTS[kind]}; expected a unique name`)] : []
  })
}

function findKeyErrors ({ teams }: CheckedState): readonly Finding[] {
  const owners = new Map<string, number>()
  return teams.flatMap(({ keys }, index) => keys.flatMap((key, position) => {
    const field = `keys.${position}`
    if (key === '') return [entryFinding('error', 'empty-key', 'team', index, field, 'the key is empty, so that all calls without a key belong to this team; expected a random key')]
    const owner = owners.get(key) ?? index
    owners.set(key, owner)
    return owner === index ? [] : [entryFinding('error', 'shared-key', 'team', index, field, `the key ${keyDigest(key)} belongs to the team ${quote(teams[owner]?.name ?? '')}, which is listed first, and never to this one; expected a key of its own`)]
  }))
}

/** Finds names and keys that are empty or used twice. */
export function findIdentityErrors (state: CheckedState): readonly Finding[] {
  return [
    ...findNameErrors('queue', state.queues),
    ...findNameErrors('service', state.listedServices),
    ...findNameErrors('team', state.teams),
    ...findKeyErrors(state)
  ]
}

function isPositive (value: number): boolean {
  return value > 0 && Number.isFinite(value)
}

function findQueueValueErrors (queue: QueueSettings, index: number): readonly Finding[] {
  const { maximumFailures, stretchFactor, latencyObjectiveMs, timeoutMs, advice } = queue
  const positive: Readonly<Record<string, number>> = {
    stretchFactor,
    latencyObjectiveMs,
    timeoutMs,
    ...(advice === undefined ? {} : { 'advice.decisionMs': advice.decisionMs, 'advice.perTargetMs': advice.perTargetMs, 'advice.ticketValidityMs': advice.ticketValidityMs })
  }
  return [
    ...(Number.isSafeInteger(maximumFailures) && maximumFailures >= 1 ? [] : [entryFinding('error', 'value', 'queue', index, 'maximumFailures', `maximumFailures is ${maximumFailures}; expected an integer of at least 1`)]),
    ...Object.entries(positive).filter(([, value]) => !isPositive(value))
      .map(([field, value]) => entryFinding('error', 'value', 'queue', index, field, `${field} is ${value}; expected a finite number above 0`))
  ]
}

/** Finds values out of range. Times may be fractions of a millisecond; the version and counts may not be fractions. */
export function findValueErrors ({ version, maximumBodyBytes, queues, teams }: CheckedState): readonly Finding[] {
  return [
    ...(Number.isSafeInteger(version) && version >= 1
      ? []
      : [{ severity: 'error', code: 'value', place: { field: 'version' }, message: `version is ${version}${version < 1 ? ', which no instance adopts' : ''}; expected an integer from 1 to ${Number.MAX_SAFE_INTEGER}` } as const]),
    ...(Number.isSafeInteger(maximumBodyBytes) && maximumBodyBytes > 0
      ? []
      : [{ severity: 'error', code: 'value', place: { field: 'maximumBodyBytes' }, message: `maximumBodyBytes is ${maximumBodyBytes}; expected an integer above 0` } as const]),
    ...queues.flatMap(findQueueValueErrors),
    ...teams.flatMap(({ weight }, index) => isPositive(weight) ? [] : [entryFinding('error', 'value', 'team', index, 'weight', `weight is ${weight}; expected a finite number above 0`)])
  ]
}

/** Finds a version that instances do not adopt, since another one is in force. */
export function findVersionError ({ version }: CheckedState, inForce: number): readonly Finding[] {
  if (version > inForce) return []
  const relation = version === inForce ? `${version}, the version in force` : `${version}, below version ${inForce} in force`
  return [{
    severity: 'error',
    code: 'version-not-newer',
    place: { field: 'version' },
    message: `version is ${relation}: instances that have read version ${inForce} ignore it without a log line, and one that coordinates without having read it adopts this file; expected at least ${inForce + 1}`
  }]
}

function findHostProblem ({ host }: QueueSettings, index: number): readonly Finding[] {
  if (host === '') return [entryFinding('warning', 'empty-host', 'queue', index, 'host', 'the host is empty, which only calls with an empty or, in HTTP/1.0, without a Host header match; expected a host name')]
  if (host === hostName(host) && !/\s/.test(host)) return []
  return [entryFinding('error', 'unmatched-host', 'queue', index, 'host', `no call has the host ${quote(host)}: the Host header is read without port and in lower case; expected a host name in lower case, without port and whitespace`)]
}

function findPrefixProblem ({ pathPrefix }: QueueSettings, index: number): readonly Finding[] {
  if (pathPrefix === '') return [entryFinding('warning', 'empty-prefix', 'queue', index, 'pathPrefix', 'the prefix is empty, so that the queue gets all other calls of its host, with identities that begin with /; expected a prefix that begins with /')]
  if (pathPrefix.startsWith('/') && !/[?#\s]/.test(pathPrefix)) return []
  return [entryFinding('error', 'unmatched-prefix', 'queue', index, 'pathPrefix', `no path of a call begins with ${quote(pathPrefix)}; expected a prefix that begins with / and has no ?, # or whitespace`)]
}

/** Finds queues that get no call, since an earlier queue gets it or no call has their host or prefix. */
export function findUnmatchedQueues ({ queues }: CheckedState): readonly Finding[] {
  const earlier = new Map<string, QueueSettings>()
  return queues.flatMap((queue, index) => {
    const address = `${queue.host}\n${queue.pathPrefix}`
    const first = earlier.get(address)
    if (first === undefined) earlier.set(address, queue)
    return [
      ...findHostProblem(queue, index),
      ...findPrefixProblem(queue, index),
      ...(first === undefined ? [] : [entryFinding('error', 'shadowed-queue', 'queue', index, 'pathPrefix', `the queue ${quote(first.name)} has the same host and prefix and is listed first, so that it gets all calls; expected another prefix or host`)])
    ]
  })
}

/**
 * Finds entries that refer to nothing or that nothing refers to. A team without keys gets no work from open queues
 * either: work of a call without a key belongs to no team.
 */
export function findUnusedEntries ({ queues, listedServices, teams }: CheckedState): readonly Finding[] {
  const active = new Set(listedServices.filter(({ standby }) => !standby).map(({ name }) => name))
  const listed = new Set(listedServices.map(({ name }) => name))
  const used = new Set(queues.map(({ service }) => service))
  return [
    ...queues.flatMap(({ service }, index) => {
      if (!listed.has(service)) return [entryFinding('warning', 'unlisted-service', 'queue', index, 'service', `the service ${quote(service)} is not listed, so that accepted jobs wait unless targets name it; expected a listed service`)]
      return active.has(service) ? [] : [entryFinding('warning', 'standby-service', 'queue', index, 'service', `the service ${quote(service)} is on standby, so that accepted jobs wait unless targets name it; expected an active service`)]
    }),
    ...listedServices.flatMap(({ name }, index) => used.has(name) ? [] : [entryFinding('warning', 'unused-service', 'service', index, 'name', 'no queue uses the service; expected at least one')]),
    ...teams.flatMap(({ keys }, index) => keys.length > 0 ? [] : [entryFinding('warning', 'team-without-keys', 'team', index, 'keys', 'the team has no keys, so that no new job belongs to it; expected at least one key')])
  ]
}

/** Finds limits that contradict each other. */
export function findContradictoryLimits ({ queues, teams }: CheckedState): readonly Finding[] {
  return [
    ...queues.flatMap(({ timeoutMs, latencyObjectiveMs, advice }, index) => [
      ...(timeoutMs >= latencyObjectiveMs ? [] : [entryFinding('warning', 'timeout-below-objective', 'queue', index, 'timeoutMs', `timeoutMs is ${timeoutMs}, below latencyObjectiveMs, which is ${latencyObjectiveMs}: calls end before their objective; expected at least ${latencyObjectiveMs}`, ['latencyObjectiveMs'])]),
      ...(advice === undefined || advice.ticketValidityMs > advice.decisionMs + advice.perTargetMs
        ? []
        : [entryFinding('warning', 'short-tickets', 'queue', index, 'advice.ticketValidityMs', `advice.ticketValidityMs is ${advice.ticketValidityMs}, not above advice.decisionMs plus advice.perTargetMs: tickets end in less time than a question about one target takes; expected more than ${advice.decisionMs + advice.perTargetMs}`, ['advice.decisionMs', 'advice.perTargetMs'])])
    ]),
    ...teams.flatMap(({ cap }, index) => DIMENSIONS.filter(dimension => cap[dimension] > 0 && cap[dimension] < 1).map(dimension =>
      entryFinding('warning', 'cap-below-unit', 'team', index, `cap.${dimension}`, `cap.${dimension} is ${cap[dimension]} ${UNIT_BY_DIMENSION[dimension]}, less than the smallest usable unit; expected 0 for no limit, or at least 1`)))
  ]
}
