/** The platform's list of instances and targets, which lags behind the truth. */
import type { TargetInfo } from '../model/target.ts'

export interface ListedInstance {
  readonly name: string
  /** Present if the platform knows it; otherwise any incarnation of the name is meant. */
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
