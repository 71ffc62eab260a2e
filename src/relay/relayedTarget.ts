/** A target whose orders travel through a relay while there is one, and directly otherwise. */
import type { JobTargetClient, RenewOrder, RenewOutcome, StartOutcome, StopOrder, StopOutcome, TaskOrder } from '../ports/jobTarget.ts'
import type { RelayLink } from './relayLink.ts'
import type { RelayResult, RelayTarget, TargetOrder } from './relayMessages.ts'

const DIRECT_ROUTE = 'direct'
const MAX_ROUTES = 3

export interface RelayedTargetOptions {
  readonly target: RelayTarget
  readonly direct: JobTargetClient
  /** The link for the next order; undefined if it is sent directly. */
  readonly selectLink: () => RelayLink | undefined
  /** Whether a start may still be sent. */
  readonly mayStart: () => boolean
  readonly onClose: () => void
}

/**
 * An order that a relay did not send, or whose outcome is not known, is not repeated here: only the session of the
 * target knows whether the coordinator still has the authority to send it.
 */
export class RelayedTarget implements JobTargetClient {
  readonly #options: RelayedTargetOptions
  #routes: readonly string[] = []

  constructor (options: RelayedTargetOptions) {
    this.#options = options
  }

  get routes (): readonly string[] {
    return this.#routes
  }

  async start (order: TaskOrder): Promise<StartOutcome> {
    const result = await this.#relay({ type: 'start', order }, this.#options.mayStart)
    if (result === undefined) return await this.#options.direct.start(order)
    if (result.type === 'start') return result.outcome
    if (result.type === 'not-sent') return { outcome: 'refused', refusal: 'unhealthy' }
    return { outcome: 'unknown', message: describe(result) }
  }

  async stop (order: StopOrder): Promise<StopOutcome> {
    const result = await this.#relay({ type: 'stop', order })
    if (result === undefined) return await this.#options.direct.stop(order)
    return result.type === 'stop' ? result.outcome : 'unknown'
  }

  async renew (order: RenewOrder): Promise<RenewOutcome> {
    const result = await this.#relay({ type: 'renew', order })
    if (result === undefined) return await this.#options.direct.renew(order)
    return result.type === 'renew' ? result.outcome : { outcome: 'failed', message: describe(result) }
  }

  async close (): Promise<void> {
    this.#options.onClose()
    await this.#options.direct.close()
  }

  async #relay (order: TargetOrder, maySend?: () => boolean): Promise<RelayResult | undefined> {
    const { selectLink, target } = this.#options
    const link = selectLink()
    this.#recordRoute(link?.relay ?? DIRECT_ROUTE)
    return await link?.submit(target, order, maySend)
  }

  #recordRoute (route: string): void {
    if (this.#routes.at(-1) === route) return
    this.#routes = [...this.#routes.filter(other => other !== route), route].slice(-MAX_ROUTES)
  }
}

function describe (result: RelayResult): string {
  return 'reason' in result ? result.reason : `the relay answered with the outcome of another order: ${result.type}`
}
