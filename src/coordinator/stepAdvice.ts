/** What the placement advisor said of one step. */
import type { AllowedTarget } from '../ports/placementAdvisor.ts'

interface Permit {
  readonly ticket: string
  readonly validUntilMs: number
}

/** The way of an order to a target in another region, and of the answer before it. */
const TICKET_MARGIN_MS = 150

export class StepAdvice {
  /** By life of the target; which targets are allowed does not change, their tickets expire. */
  readonly #permits = new Map<string, Permit>()
  #asked = new Set<string>()
  asking = false
  /** No question before, after one that failed. */
  backoffUntilMs = 0

  get answered (): boolean {
    return this.#asked.size > 0
  }

  wasAsked (targetKey: string): boolean {
    return this.#asked.has(targetKey)
  }

  allows (targetKey: string): boolean {
    return this.#permits.has(targetKey)
  }

  /** The ticket if it is still valid when an order arrives. */
  ticket (targetKey: string, nowMs: number): string | undefined {
    const permit = this.#permits.get(targetKey)
    return permit !== undefined && nowMs < permit.validUntilMs - TICKET_MARGIN_MS ? permit.ticket : undefined
  }

  /** Notes an answer; `lives` gives the life that each identity stands for. */
  recordAnswer (asked: ReadonlyMap<string, string>, allowed: readonly AllowedTarget[], validUntilMs: number): void {
    for (const key of asked.values()) this.#asked.add(key)
    for (const { target, ticket } of allowed) {
      const key = asked.get(target)
      if (key !== undefined) this.#permits.set(key, { ticket, validUntilMs })
    }
  }

  /** A target did not accept the ticket. */
  invalidateTicket (targetKey: string): void {
    const permit = this.#permits.get(targetKey)
    if (permit !== undefined) this.#permits.set(targetKey, { ...permit, validUntilMs: 0 })
  }
}
