/** Asks the platform's service which targets may run a step. */
import { z } from 'zod'
import { HttpCaller } from '../adapters/http/httpCaller.ts'
import { BaseError } from '../model/errors.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../ports/placementAdvisor.ts'

const CONNECT_TIMEOUT_MS = 800
/** Added to the expected time; covers the way to another region and a call ahead in the line. */
const ANSWER_SLACK_MS = 1_500
const IDLE_CONNECTION_MS = 30_000

const adviceSchema = z.object({ allowed: z.array(z.tuple([z.string(), z.string()]).rest(z.unknown())) })

export class PlatformAdvisor implements PlacementAdvisor {
  readonly #caller: HttpCaller

  constructor (address: string, clock: TimerClock) {
    this.#caller = new HttpCaller({ address, clock, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleConnectionMs: IDLE_CONNECTION_MS })
  }

  async ask ({ step, targets, expectedMs }: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    const { status, body } = await this.#caller.callLenient({
      method: 'POST', path: '/-/advise', body: { step_id: step, workers: targets }, timeoutMs: expectedMs + ANSWER_SLACK_MS
    })
    const parsed = adviceSchema.safeParse(body)
    if (status !== 200 || !parsed.success) throw new BaseError(`the placement advisor answered ${status}`)
    return parsed.data.allowed.map(([target, ticket]) => ({ target, ticket }))
  }

  async close (): Promise<void> {
    await this.#caller.close()
  }
}
