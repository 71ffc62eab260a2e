/** Builds the status report of this instance for operators. */
import type { InstanceState } from '../../model/digest.ts'
import type { InstanceRef } from '../../model/identity.ts'
import { addResources, NO_RESOURCES } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { AllotmentAboveLimit, ContactStatus, StatusReport, TargetStatus, TeamStatus } from '../../observability/operatorApi.ts'
import type { TargetView } from '../../scheduler/placement/targetPool.ts'
import type { ConfigurationSubsystem } from '../configurationSubsystem.ts'
import type { CoordinationSubsystem } from '../coordinationSubsystem.ts'
import type { InstanceOptions } from '../instanceOptions.ts'
import type { SchedulingSubsystem } from '../schedulingSubsystem.ts'

export interface StatusSource {
  readonly options: InstanceOptions
  readonly configuration: ConfigurationSubsystem
  readonly scheduling: SchedulingSubsystem
  readonly coordination: CoordinationSubsystem
  readonly self: InstanceRef
  readonly state: InstanceState
  readonly aboveLimit: readonly AllotmentAboveLimit[]
}

/** A service counts as unreachable after this time without an answer. */
const CONTACT_LOST_MS = 15_000

export function describeStatus (source: StatusSource): StatusReport {
  const { options, configuration, scheduling, self, state, aboveLimit } = source
  const { log, freshness, membership, lists } = configuration
  return {
    instance: self,
    ...options.location,
    state,
    configurationVersion: log.version,
    configurationAgeMs: finiteOrUndefined(freshness.ageMs()),
    peers: membership.others().map(({ digest }) => ({
      ref: digest.ref,
      dataCentre: digest.dataCentre,
      state: digest.state,
      configurationVersion: digest.configurationVersion,
      heardAgeMs: digest.heardAge
    })),
    acceptors: configuration.registry.acceptors.map(({ ref }) => ref),
    targets: [...scheduling.pool.targets()].map(view => describeTarget(source, view)),
    teams: configuration.settings.teams().map(team => describeTeam(source, team)),
    aboveLimit,
    drains: [...log.state.drains.values()],
    store: describeContact(freshness.storeReadAgeMs()),
    list: describeContact(lists.ageMs)
  }
}

function describeTarget ({ scheduling, coordination }: StatusSource, { info, free, usable }: TargetView): TargetStatus {
  const { id, type, rack, capacity } = info
  const describeState = (): TargetStatus['state'] => {
    if (coordination.ownership.epochOf(id) === undefined) return 'fencing'
    if (scheduling.breaker.isOpen(id)) return 'taken-out'
    return usable ? 'in-use' : 'leaving'
  }
  return { id, type, rack, capacity, free, state: describeState() }
}

function describeTeam ({ configuration, scheduling, coordination }: StatusSource, team: string): TeamStatus {
  const { limit, share } = configuration.settings.find(team, 'batch')
  const others = configuration.membership.others().flatMap(({ digest }) => digest.teams.filter(entry => entry.team === team))
  const { allotments } = coordination
  const used = others.reduce<Resources>((sum, entry) => addResources(sum, entry.used), allotments.used(team))
  const queued = others.reduce((sum, entry) => sum + entry.queued, scheduling.placements.waiting(team).entries)
  const held = addResources(allotments.used(team), allotments.spare(team) ?? NO_RESOURCES)
  return { team, used, limit, held, share, queued }
}

function describeContact (ageMs: number): ContactStatus {
  return { reachable: ageMs < CONTACT_LOST_MS, lastAnswerAgeMs: finiteOrUndefined(ageMs) }
}

function finiteOrUndefined (ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? ageMs : undefined
}
