/** The platform's list of instances and targets; it lags behind the actual state. */
import type { TargetInfo } from '../model/target.ts'

export interface ListedInstance {
  readonly name: string
  /** Set if the platform knows it; otherwise the entry applies to any incarnation of the name. */
  readonly incarnation?: string
  readonly dataCentre: string
  readonly region: string
  readonly peerAddress: string
  readonly leaving: boolean
}

export interface ListSnapshot {
  readonly instances: readonly ListedInstance[]
  readonly targets: readonly TargetInfo[]
}

export interface InstanceList {
  read (signal?: AbortSignal): Promise<ListSnapshot>
}
