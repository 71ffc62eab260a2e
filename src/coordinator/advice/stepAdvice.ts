/** The placement advisor's answers for one step. */
import type { AllowedTarget } from '../../ports/placementAdvisor.ts'
import { createTicket, isUsableTicket } from './startTicket.ts'
import type { StartTicket } from './startTicket.ts'

export class StepAdvice {
  /** By key of the target incarnation; the allowed targets do not change, but their tickets expire. */
  readonly #permits = new Map<string, StartTicket>()
  #asked = new Set<string>()
  /** Number of questions that have not been answered. */
  openQuestions = 0
  /** No question is asked before this time, after one that failed. */
  backoffUntilMs = 0
  /** When the last answer was received, on the coordinator's clock. */
  answeredAtMs = -Infinity

  get answered (): boolean {
    return this.#asked.size > 0
  }

  wasAsked (targetKey: string): boolean {
    return this.#asked.has(targetKey)
  }

  allows (targetKey: string): boolean {
    return this.#permits.has(targetKey)
  }

  /** Returns the ticket if it will still be valid when a start request arrives. */
  ticket (targetKey: string, nowMs: number): StartTicket | undefined {
    const permit = this.#permits.get(targetKey)
    return permit !== undefined && isUsableTicket(permit, nowMs) ? permit : undefined
  }

  /** Records an answer received at the given time; `asked` maps target identities to the keys of their incarnations. */
  recordAnswer (asked: ReadonlyMap<string, string>, allowed: readonly AllowedTarget[], receivedMs: number, validityMs: number): void {
    for (const key of asked.values()) this.#asked.add(key)
    for (const { target, ticket } of allowed) {
      const key = asked.get(target)
      if (key !== undefined) this.#permits.set(key, createTicket(ticket, receivedMs, validityMs))
    }
  }

  /** Invalidates a ticket that the target did not accept. */
  invalidateTicket (targetKey: string): void {
    const permit = this.#permits.get(targetKey)
    if (permit !== undefined) this.#permits.set(targetKey, { ...permit, validUntilMs: 0 })
  }
}
