/** HTTP client of the platform's placement advisor, which decides which targets may run a step. */
import { z } from 'zod'
import { BaseError } from '../model/errors.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../ports/placementAdvisor.ts'
import { PlatformHttpClient } from './platformHttpClient.ts'

/** Added to the expected response time; covers the latency to another region and one call queued ahead. */
const ADVICE_TIMEOUT_MARGIN_MS = 1_500

/** The coordinator keeps at most 60 ms of expected work with one instance, so questions of 1 ms and more never wait for a connection. */
const MAX_CONNECTIONS = 64

const adviceSchema = z.object({ allowed: z.array(z.tuple([z.string(), z.string()]).rest(z.unknown())) })

export class PlatformAdvisor implements PlacementAdvisor {
  readonly #client: PlatformHttpClient

  constructor (address: string, clock: TimerClock) {
    this.#client = new PlatformHttpClient(address, clock, MAX_CONNECTIONS)
  }

  get address (): string {
    return this.#client.address
  }

  /** Questions that wait for a connection. */
  get waitingCalls (): number {
    return this.#client.waitingCalls
  }

  /** Sends new questions to another address; resolves when those to the previous one have ended. */
  async moveTo (address: string): Promise<void> {
    await this.#client.moveTo(address)
  }

  async ask ({ step, targets, expectedMs }: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    const { status, body } = await this.#client.call({
      method: 'POST', path: '/-/advise', body: { step_id: step, workers: targets }, timeoutMs: expectedMs + ADVICE_TIMEOUT_MARGIN_MS
    })
    const parsed = adviceSchema.safeParse(body)
    if (status !== 200 || !parsed.success) throw new BaseError(`unexpected answer of the placement advisor, with status ${status}`)
    return parsed.data.allowed.map(([target, ticket]) => ({ target, ticket }))
  }

  async close (): Promise<void> {
    await this.#client.close()
  }
}
