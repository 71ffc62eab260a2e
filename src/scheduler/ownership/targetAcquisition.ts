/** Fences one target and adopts its tasks, before its remaining capacity may be used. */
import type { InstanceRef } from '../../model/identity.ts'
import { parseIncarnationKey } from '../../model/identity.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { TargetClient } from '../../ports/targetClient.ts'
import { LONGEST_TASK_LEASE_MS, RETRY_INTERVAL_MS } from './ownershipTiming.ts'
import type { TargetOwnership } from './ownershipRecord.ts'

export type AcquisitionResult =
  | { readonly outcome: 'adopted' }
  /** The target has already accepted a higher epoch. */
  | { readonly outcome: 'refused', readonly highestEpoch: number }

export type AdoptTasks = (target: TargetInfo, epoch: number, tasks: readonly TaskReport[], previousOwner: InstanceRef | undefined,
  signal: AbortSignal) => Promise<void>

export class TargetAcquisition {
  readonly #targetClient: Pick<TargetClient, 'fence'>
  readonly #clock: Clock
  readonly #adopt: AdoptTasks

  constructor (targetClient: Pick<TargetClient, 'fence'>, clock: Clock, adopt: AdoptTasks) {
    this.#targetClient = targetClient
    this.#clock = clock
    this.#adopt = adopt
  }

  /** Retries until the tasks are adopted or the target refuses the epoch; rejects when the signal aborts. */
  async run (target: TargetInfo, ownership: TargetOwnership, signal: AbortSignal): Promise<AcquisitionResult> {
    for (;;) {
      signal.throwIfAborted()
      try {
        return await this.#attempt(target, ownership, signal)
      } catch (error) {
        if (signal.aborted) throw error
        await this.#clock.sleep(RETRY_INTERVAL_MS, signal)
      }
    }
  }

  async #attempt (target: TargetInfo, ownership: TargetOwnership, signal: AbortSignal): Promise<AcquisitionResult> {
    const tasks = await this.#fence(target, ownership.epoch, signal)
    if (typeof tasks === 'number') return { outcome: 'refused', highestEpoch: tasks }
    const previousOwner = ownership.previous.at(-1)
    if (!target.features.inventory && previousOwner !== undefined) {
      await this.#clock.sleep(LONGEST_TASK_LEASE_MS, signal)
    }
    signal.throwIfAborted()
    const previousRef = previousOwner === undefined ? undefined : parseIncarnationKey(previousOwner)
    await this.#adopt(target, ownership.epoch, tasks, previousRef, signal)
    return { outcome: 'adopted' }
  }

  async #fence (target: TargetInfo, epoch: number, signal: AbortSignal): Promise<readonly TaskReport[] | number> {
    if (!target.features.fencing && !target.features.inventory) return []
    const result = await this.#targetClient.fence(target, epoch, signal)
    return result.outcome === 'refused' ? result.highestEpoch : result.tasks
  }
}
