/** The operators' HTTP interface: what the subcommands send and what an instance answers. */
import type { Change, ConfigurationSnapshot, DrainMark, Operation, SettingsPath } from '../model/change.ts'
import type { InstanceState } from '../model/digest.ts'
import type { InstanceRef } from '../model/identity.ts'
import type { Limit, Resources } from '../model/resources.ts'
import type { TargetType } from '../model/target.ts'

export const OPERATOR_PATHS = {
  configuration: '/v1/configuration',
  changes: '/v1/changes',
  status: '/v1/status',
  drain: '/v1/drain',
  metrics: '/metrics',
  health: '/health',
  ready: '/ready'
} as const

/** A change as an operator submits it. The same id sent again is the same change and is applied once. */
export interface ChangeSubmission {
  readonly id: string
  readonly baseVersion: number
  readonly operator: string
  readonly operations: readonly Operation[]
  /** How long the answer waits for all data centres to confirm; default 0. */
  readonly waitMs?: number
}

/** What is known about one data centre and a change. */
export interface DataCentreConfirmation {
  readonly dataCentre: string
  /** Every known instance there has the change in force. */
  readonly confirmed: boolean
  /** Wall-clock time by which an instance there that has not got the change refuses keyed work. */
  readonly refusesKeyedWorkByWallMs?: number
}

/** What a data centre still holds of a limit that was lowered below it. */
export interface AllotmentAboveLimit {
  readonly team: string
  readonly dataCentre: string
  /** False if no instance there has been heard lately. */
  readonly reachable: boolean
  /** What is held there, of the total above the limit. */
  readonly held: Resources
}

export type ChangeAnswer =
  | {
    readonly outcome: 'accepted'
    readonly version: number
    readonly confirmations: readonly DataCentreConfirmation[]
    readonly aboveLimit: readonly AllotmentAboveLimit[]
  }
  | {
    readonly outcome: 'conflict'
    /** The newer change that touched the same paths. */
    readonly winner: Change
    readonly paths: readonly (SettingsPath | string)[]
  }
  | { readonly outcome: 'invalid', readonly messages: readonly string[] }
  | {
    readonly outcome: 'unavailable'
    readonly message: string
    /** The store's answer was lost; the same change may be sent again with its id. */
    readonly mayHaveBeenAccepted: boolean
  }

export interface TargetStatus {
  readonly id: string
  readonly type: TargetType
  readonly rack: string
  readonly capacity: Resources
  readonly free: Resources
  readonly state: 'in-use' | 'fencing' | 'leaving' | 'taken-out'
}

export interface TeamStatus {
  readonly team: string
  /** In all data centres that have been heard lately. */
  readonly used: Resources
  readonly limit: Limit
  /** Allotment of this instance. */
  readonly held: Resources
  readonly share: number
  readonly queued: number
}

export interface PeerStatus {
  readonly ref: InstanceRef
  readonly dataCentre: string
  readonly state: InstanceState
  readonly configurationVersion: number
  readonly heardAgeMs: number
}

/** Contact with a service of the platform. */
export interface ContactStatus {
  readonly reachable: boolean
  /** Since the last answer; undefined if there was none. */
  readonly lastAnswerAgeMs?: number
}

/** What one instance knows; counts of teams include the peers that it has heard. */
export interface StatusReport {
  readonly instance: InstanceRef
  readonly dataCentre: string
  readonly region: string
  readonly state: InstanceState
  readonly configurationVersion: number
  /** Keyed work is refused when this is above the team's `keyGrace`; undefined before the first read. */
  readonly configurationAgeMs?: number
  readonly peers: readonly PeerStatus[]
  /** The other instances that must be heard for the configuration to count as current in a store outage. */
  readonly acceptors?: readonly InstanceRef[]
  /** Targets that this instance owns. */
  readonly targets: readonly TargetStatus[]
  readonly teams: readonly TeamStatus[]
  readonly aboveLimit: readonly AllotmentAboveLimit[]
  readonly drains: readonly DrainMark[]
  readonly store: ContactStatus
  readonly list: ContactStatus
}

export interface DrainAnswer {
  readonly state: InstanceState
}

export interface HealthReport {
  /** For /health: the process works. For /ready: it accepts new work. */
  readonly ok: boolean
  readonly state: InstanceState
  readonly reason?: string
}

export interface MetricsReport {
  readonly contentType: string
  readonly body: string
}

/** The instance's side of the interface; implemented by the composition of an instance. */
export interface OperatorHandler {
  readConfiguration (): Promise<ConfigurationSnapshot>
  /** Must settle soon after the signal aborts; the operator has then gone. */
  submitChange (submission: ChangeSubmission, signal: AbortSignal): Promise<ChangeAnswer>
  readStatus (): Promise<StatusReport>
  /** Begins a planned stop and answers at once. */
  drainSelf (): Promise<DrainAnswer>
  readMetrics (): Promise<MetricsReport>
  readHealth (): HealthReport
  readReadiness (): HealthReport
}

/** The HTTP status of each answer to a change. */
export const CHANGE_STATUS: Readonly<Record<ChangeAnswer['outcome'], number>> = {
  accepted: 200, conflict: 409, invalid: 400, unavailable: 503
}
