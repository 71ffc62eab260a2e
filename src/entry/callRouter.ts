/** Brings a caller's call to the coordinator, and again to its successor if the answer is lost. */
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { CoordinatorPeers } from '../ports/coordinatorPeer.ts'
import { CallBatcher } from './callBatcher.ts'
import { unavailable } from './callerCall.ts'
import type { CallerAnswer, CallerCall, CallHandler } from './callerCall.ts'
import { wasRefused } from './connectionRefusal.ts'
import type { JobInstance } from './jobInstance.ts'

/** Longest time in which a call without an answer is sent again; callers wait 3 s. */
const LONGEST_ROUTING_MS = 1_800
const RETRY_DELAY_MS = 120

export interface CallRouterOptions {
  readonly instance: JobInstance
  readonly ownAddress: string
  readonly peers: CoordinatorPeers
  readonly clock: Clock
  readonly logger: Logger
}

export class CallRouter implements CallHandler {
  readonly #options: CallRouterOptions
  #batcher: { readonly address: string, readonly batcher: CallBatcher } | undefined

  constructor (options: CallRouterOptions) {
    this.#options = options
  }

  /** One batcher for the coordinator in office; an earlier one ends with its calls. */
  #batcherFor (address: string, peers: CoordinatorPeers): CallBatcher {
    if (this.#batcher?.address !== address) {
      const batcher = new CallBatcher(this.#options.clock, async calls => await peers.connect(address).handleAll(calls), () => this.#options.instance.knownInstances)
      this.#batcher = { address, batcher }
    }
    return this.#batcher.batcher
  }

  /**
   * A job keeps its identity, so that a call may be repeated whenever its answer is lost. A refusal of the repeated
   * call says nothing of the first one, which may still be on its way and be carried out after it.
   */
  async handle (call: CallerCall): Promise<CallerAnswer> {
    const { clock } = this.#options
    const untilMs = clock.monotonicMs() + LONGEST_ROUTING_MS
    let mayHaveRun = false
    for (;;) {
      const answer = await this.#tryOnce(call)
      if (answer.outcome !== 'unknown' && !(mayHaveRun && isRefusal(call, answer))) return answer
      if (answer.outcome === 'unknown') mayHaveRun = true
      const isTemporary = answer.outcome === 'unknown' || answer.outcome === 'unavailable'
      if (!isTemporary || clock.monotonicMs() + RETRY_DELAY_MS > untilMs) return { outcome: 'unknown', message: 'message' in answer ? answer.message : answer.outcome }
      await clock.sleep(RETRY_DELAY_MS)
    }
  }

  async #tryOnce (call: CallerCall): Promise<CallerAnswer> {
    const { instance, ownAddress, peers, logger } = this.#options
    const { coordinator } = instance
    if (coordinator === undefined) return unavailable('no coordinator is known')
    if (coordinator.address === ownAddress) return await instance.handle(call)
    try {
      return await this.#batcherFor(coordinator.address, peers).handle(call)
    } catch (error) {
      const refused = wasRefused(error)
      logger.info({ path: call.path, action: call.action, coordinator: coordinator.instance, fence: coordinator.fence, refused, error: error instanceof Error ? error.message : String(error) }, 'the coordinator did not answer')
      if (refused) instance.noteRefused(coordinator)
      return refused ? unavailable('the coordinator can not be reached') : { outcome: 'unknown', message: 'the coordinator did not answer' }
    }
  }
}

/** Whether the answer says that a call was not carried out and never will be; a question that is answered is not refused. */
function isRefusal ({ action }: CallerCall, { outcome }: CallerAnswer): boolean {
  if (outcome === 'unavailable' || outcome === 'limited') return true
  return action !== 'read' && (outcome === 'no-queue' || outcome === 'unauthenticated')
}
