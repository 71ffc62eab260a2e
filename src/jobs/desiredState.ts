/** The desired state, as set by operators: queues, services, teams and their limits. */
import type { Resources } from '../model/resources.ts'

export interface QueueSettings {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** Lower numbers are served first; 0 is the highest priority. */
  readonly priority: number
  /** Number of failed runs of one task, or of one gang, at which the job fails. */
  readonly maximumFailures: number
  /** The latency objective is the job's critical path times this factor, plus `latencyObjectiveMs`. */
  readonly stretchFactor: number
  readonly latencyObjectiveMs: number
  readonly timeoutMs: number
  /** Whether calls need no key. */
  readonly anonymous: boolean
  readonly advice?: AdviceSettings
}

export interface AdviceSettings {
  readonly decisionMs: number
  readonly perTargetMs: number
  readonly ticketValidityMs: number
}

export interface TeamSettings {
  readonly name: string
  readonly keys: readonly string[]
  /** Share of the cluster when it is full, and number of jobs per second to which the team is entitled. */
  readonly weight: number
  /** Upper limit over all targets; 0 is no limit. */
  readonly cap: Resources
}

export interface DesiredState {
  readonly version: number
  readonly queues: readonly QueueSettings[]
  /** Names of the services; services on standby use no targets. */
  readonly services: readonly string[]
  readonly teams: readonly TeamSettings[]
  readonly maximumBodyBytes: number
}

/** What an instance that does not coordinate knows of the desired state. */
export interface DesiredStateSummary {
  /** 0 if no desired state is known. */
  readonly version: number
  readonly maximumBodyBytes: number
}
