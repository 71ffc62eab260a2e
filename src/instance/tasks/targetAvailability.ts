/** Decides which owned targets accept new work: fenced, not leaving, not drained, and not excluded by the circuit breaker. */
import type { ConfigurationState } from '../../configuration/configurationState.ts'
import { isDraining } from '../../configuration/configurationState.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { TargetBreaker } from '../../scheduler/breaker/targetBreaker.ts'
import type { OwnershipManager } from '../../scheduler/ownership/ownershipManager.ts'
import type { TargetPool } from '../../scheduler/placement/targetPool.ts'
import type { ProbeTargets } from '../placement/placementQueue.ts'

export interface TargetAvailabilityDependencies {
  readonly pool: TargetPool
  readonly breaker: TargetBreaker
  ownership (): Pick<OwnershipManager, 'epochOf'>
  configuration (): ConfigurationState
  /** Targets of this instance's data centre, as last listed. */
  listedTargets (): readonly TargetInfo[]
}

export class TargetAvailability implements ProbeTargets {
  readonly #dependencies: TargetAvailabilityDependencies
  #probes: ReadonlySet<string> = new Set()

  constructor (dependencies: TargetAvailabilityDependencies) {
    this.#dependencies = dependencies
  }

  targets (): ReadonlySet<string> {
    return this.#probes
  }

  /** Limits a probe to a single task. */
  onPlaced (targetId: string, taskId: string): void {
    if (!this.#probes.has(targetId)) return
    this.#dependencies.breaker.beginProbe(targetId, taskId)
    this.#probes = new Set([...this.#probes].filter(id => id !== targetId))
    this.#dependencies.pool.setUsable(targetId, false)
  }

  /** Applies the instance list, the configuration and the circuit breaker to every target of the pool. */
  refresh (): void {
    const { pool, breaker } = this.#dependencies
    const listed = new Map(this.#dependencies.listedTargets().map(target => [target.id, target]))
    this.#probes = new Set(breaker.dueProbes())
    for (const { info, usable } of [...pool.targets()]) {
      const mayUse = this.#mayUse(info.id, listed.get(info.id))
      if (mayUse !== usable) pool.setUsable(info.id, mayUse)
    }
  }

  /** Whether an operator drains the target or its data centre. */
  isDrained (id: string, dataCentre: string): boolean {
    const state = this.#dependencies.configuration()
    return isDraining(state, 'target', id) || isDraining(state, 'dataCentre', dataCentre)
  }

  #mayUse (id: string, info: TargetInfo | undefined): boolean {
    const { breaker } = this.#dependencies
    if (this.#dependencies.ownership().epochOf(id) === undefined) return false
    if (info === undefined || info.leaving || this.isDrained(id, info.dataCentre)) return false
    return !breaker.isOpen(id) || this.#probes.has(id)
  }
}
