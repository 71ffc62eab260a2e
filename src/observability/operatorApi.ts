/** The operators' HTTP API: requests sent by the subcommands and the answers of an instance. */
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

/** A change submitted by an operator. Resubmitting it with the same id applies it only once. */
export interface ChangeSubmission {
  readonly id: string
  readonly baseVersion: number
  readonly operator: string
  readonly operations: readonly Operation[]
  /** How long the answer is delayed to wait for confirmation by all data centres; default 0. */
  readonly waitMs?: number
}

/** Confirmation state of a change in one data centre. */
export interface DataCentreConfirmation {
  readonly dataCentre: string
  /** Whether every known instance in the data centre has applied the change. */
  readonly confirmed: boolean
  /** Wall-clock time by which any instance in the data centre that has not received the change refuses keyed work. */
  readonly refusesKeyedWorkByWallMs?: number
}

/** Allotment that a data centre still holds after the limit was lowered below the total held. */
export interface AllotmentAboveLimit {
  readonly team: string
  readonly dataCentre: string
  /** False if no instance of the data centre has been in contact recently. */
  readonly reachable: boolean
  /** Amount held in the data centre, as part of the total that exceeds the limit. */
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
    /** The newer change that modified the same paths. */
    readonly winner: Change
    readonly paths: readonly (SettingsPath | string)[]
  }
  | { readonly outcome: 'invalid', readonly messages: readonly string[] }
  | {
    readonly outcome: 'unavailable'
    readonly message: string
    /** True if the store's answer was lost; the change may be resubmitted with the same id. */
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
  /** Used in all data centres that have been in contact recently. */
  readonly used: Resources
  readonly limit: Limit
  /** Allotment held by this instance. */
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

/** Reachability of a platform service. */
export interface ContactStatus {
  readonly reachable: boolean
  /** Time since the last answer; undefined if there was none. */
  readonly lastAnswerAgeMs?: number
}

/** State known to one instance; team counts include the peers from which it has received state. */
export interface StatusReport {
  readonly instance: InstanceRef
  readonly dataCentre: string
  readonly region: string
  readonly state: InstanceState
  readonly configurationVersion: number
  /** Keyed work is refused while this exceeds the team's `keyGrace`; undefined before the first read. */
  readonly configurationAgeMs?: number
  readonly peers: readonly PeerStatus[]
  /** The other instances that must be in contact for the configuration to count as current during a store outage. */
  readonly acceptors?: readonly InstanceRef[]
  /** Targets owned by this instance. */
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
  /** For /health, whether the process is working; for /ready, whether it accepts new work. */
  readonly ok: boolean
  readonly state: InstanceState
  readonly reason?: string
}

export interface MetricsReport {
  readonly contentType: string
  readonly body: string
}

/** Handles the operator API on the instance; implemented where an instance is composed. */
export interface OperatorHandler {
  readConfiguration (): Promise<ConfigurationSnapshot>
  /** Must settle soon after the signal aborts, which means that the operator has disconnected. */
  submitChange (submission: ChangeSubmission, signal: AbortSignal): Promise<ChangeAnswer>
  readStatus (): Promise<StatusReport>
  /** Starts a planned shutdown and answers immediately. */
  drainSelf (): Promise<DrainAnswer>
  readMetrics (): Promise<MetricsReport>
  readHealth (): HealthReport
  readReadiness (): HealthReport
}

/** HTTP status of each outcome of a change submission. */
export const CHANGE_STATUS: Readonly<Record<ChangeAnswer['outcome'], number>> = {
  accepted: 200, conflict: 409, invalid: 400, unavailable: 503
}
