/** Handles the calls of other entry instances. */
import type { ExchangeSender } from '../../model/digest.ts'
import type { InstanceRef } from '../../model/identity.ts'
import type { Resources } from '../../model/resources.ts'
import type {
  ClaimEntry, ClaimOutcome, ExchangeAnswer, FetchedChanges, ForwardedRequest, PeerHandler, RequestStatus, RunEvent
} from '../../ports/peerClient.ts'
import type { ClaimLog } from '../../scheduler/claims/claimLog.ts'
import type { AllotmentManager } from '../../scheduler/limits/allotmentManager.ts'
import type { OwnershipManager } from '../../scheduler/ownership/ownershipManager.ts'
import type { ConfigurationSubsystem } from '../configurationSubsystem.ts'
import type { RequestService } from './requestService.ts'

export interface PeerServiceDependencies {
  readonly configuration: Pick<ConfigurationSubsystem, 'exchange' | 'log'>
  readonly requests: RequestService
  readonly allotments: Pick<AllotmentManager, 'transfer'>
  readonly claims: Pick<ClaimLog, 'claim'>
  readonly ownership: Pick<OwnershipManager, 'takeNow'>
}

export class PeerService implements PeerHandler {
  readonly #dependencies: PeerServiceDependencies

  constructor (dependencies: PeerServiceDependencies) {
    this.#dependencies = dependencies
  }

  async exchange (sender: ExchangeSender, registering: boolean): Promise<ExchangeAnswer> {
    return this.#dependencies.configuration.exchange.answer(sender, registering)
  }

  run (forwarded: ForwardedRequest, signal: AbortSignal): AsyncIterable<RunEvent> {
    return this.#dependencies.requests.runForwarded(forwarded, signal)
  }

  async cancel (team: string, requestId: string, attemptId: string): Promise<boolean> {
    return this.#dependencies.requests.cancelLocal(team, requestId, attemptId === '' ? undefined : attemptId)
  }

  async find (team: string, requestId: string): Promise<readonly RequestStatus[]> {
    return this.#dependencies.requests.findLocal(team, requestId)
  }

  async fetchChanges (afterVersion: number): Promise<FetchedChanges> {
    return this.#dependencies.configuration.log.fetchChanges(afterVersion)
  }

  async transferAllotment (receiver: InstanceRef, team: string, wanted: Resources): Promise<Resources> {
    return await this.#dependencies.allotments.transfer(receiver, team, wanted)
  }

  async claim (entries: readonly ClaimEntry[]): Promise<readonly ClaimOutcome[]> {
    return await this.#dependencies.claims.claim(entries)
  }

  async handOver (_from: InstanceRef, _dataCentre: string, targets: readonly string[]): Promise<void> {
    this.#dependencies.ownership.takeNow(targets)
  }
}
