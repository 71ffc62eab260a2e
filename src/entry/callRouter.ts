/** Brings a caller's call to the coordinator, and again to its successor if the answer is lost. */
import type { CoordinatorInfo } from '../coordinator/election.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { CoordinatorPeers } from '../ports/coordinatorPeer.ts'
import { CallBatcher } from './callBatcher.ts'
import { unavailable } from './callerCall.ts'
import type { CallerAnswer, CallerCall, CallerRequest, CallHandler, CoordinatorAnswer } from './callerCall.ts'
import { wasRefused } from './connectionRefusal.ts'
import type { JobInstance } from './jobInstance.ts'

/** How long a call without an answer is sent again for a caller that does not say how long it waits. */
const DEFAULT_ROUTING_MS = 1_800
/** For the way of the last answer to the caller. */
const ANSWER_MARGIN_MS = 150
/** A change of office takes about 0.1 s, and 0.4 s with a long log; a caller that is refused returns after a second. */
const OFFICE_WAIT_MS = 500
const RETRY_DELAY_MS = 60

export interface CallRouterOptions {
  readonly instance: JobInstance
  readonly ownAddress: string
  readonly peers: CoordinatorPeers
  readonly clock: Clock
  readonly logger: Logger
}

/** The answer to one try, and the fence of the coordinator to whom it was sent; 0 if it was sent to nobody. */
interface Try {
  readonly answer: CoordinatorAnswer
  readonly fence: number
}

/** Tries of a call that may have been carried out, by the latest fence to which they were sent; 0 if there are none. */
interface OpenTries {
  /** Without an answer: they may still arrive. */
  readonly lostFence: number
  /** Answered as under way: they have arrived. */
  readonly heldFence: number
}

export class CallRouter implements CallHandler {
  readonly #options: CallRouterOptions
  #batcher: { readonly fence: number, readonly batcher: CallBatcher } | undefined

  constructor (options: CallRouterOptions) {
    this.#options = options
    options.instance.watchCoordinator(() => this.#leaveFormerCoordinator())
  }

  /**
   * A job keeps its identity, so that a call may be repeated whenever its answer is lost. A refusal says nothing of an
   * earlier try that may still be carried out, unless it comes from a later coordinator whose log lacks the job, since an
   * earlier one can not store anything any more, or from the one that had the call under way and has given it up.
   */
  async handle ({ call, patienceMs }: CallerRequest): Promise<CallerAnswer> {
    const { clock } = this.#options
    const longestMs = patienceMs === undefined ? DEFAULT_ROUTING_MS : patienceMs - ANSWER_MARGIN_MS
    const begunMs = clock.monotonicMs()
    let open: OpenTries = { lostFence: 0, heldFence: 0 }
    for (;;) {
      const { answer, fence } = await this.#tryOnce(call)
      if (answer.outcome === 'unknown') open = { ...open, lostFence: Math.max(open.lostFence, fence) }
      if (answer.outcome === 'underway') open = { ...open, heldFence: Math.max(open.heldFence, fence) }
      const waitMs = answer.outcome === 'underway' ? 0 : RETRY_DELAY_MS
      const passedMs = clock.monotonicMs() + waitMs - begunMs
      const waitsForOffice = lacksCoordinator(answer) && passedMs < Math.min(OFFICE_WAIT_MS, longestMs)
      if (answer.outcome !== 'underway' && !waitsForOffice && mayPassOn(call, answer, fence, open)) return answer
      if (passedMs > longestMs) return { outcome: 'unknown', message: 'message' in answer ? answer.message : answer.outcome }
      if (waitMs > 0) await clock.sleep(waitMs)
    }
  }

  async #tryOnce (call: CallerCall): Promise<Try> {
    const { instance, ownAddress, logger } = this.#options
    const { coordinator } = instance
    if (coordinator === undefined) return { answer: unavailable('no coordinator is known'), fence: 0 }
    const { fence } = coordinator
    try {
      const [answer] = coordinator.address === ownAddress ? await instance.handleAll(fence, [call]) : [await this.#batcherFor(coordinator).handle(call)]
      return { answer: answer ?? unavailable('this instance does not coordinate'), fence }
    } catch (error) {
      const refused = wasRefused(error)
      logger.info({ path: call.path, action: call.action, coordinator: coordinator.instance, fence, refused, error: error instanceof Error ? error.message : String(error) }, 'the coordinator did not answer')
      if (refused) instance.noteRefused(coordinator)
      return { answer: refused ? unavailable('the coordinator can not be reached') : { outcome: 'unknown', message: 'the coordinator did not answer' }, fence }
    }
  }

  /** One batcher for each election. */
  #batcherFor ({ address, fence }: CoordinatorInfo): CallBatcher {
    if (this.#batcher?.fence !== fence) {
      const { clock, peers, instance } = this.#options
      this.#batcher = { fence, batcher: new CallBatcher(clock, async calls => await peers.connect(address).handleAll(fence, calls), () => instance.knownInstances) }
    }
    return this.#batcher.batcher
  }

  /** Calls that wait for a coordinator that was replaced go to its successor at once. */
  #leaveFormerCoordinator (): void {
    const former = this.#batcher
    if (former === undefined || former.fence === this.#options.instance.coordinator?.fence) return
    this.#batcher = undefined
    former.batcher.abandon('the coordinator was replaced')
  }
}

/** Whether nobody is ready to decide on the call. */
function lacksCoordinator (answer: CoordinatorAnswer): boolean {
  return answer.outcome === 'unavailable' && answer.absent !== true
}

/** Whether the answer says what became of the call, with all its tries. */
function mayPassOn (call: CallerCall, answer: CallerAnswer, fence: number, { lostFence, heldFence }: OpenTries): boolean {
  if (answer.outcome === 'unknown') return false
  if (!isRefusal(call, answer) || Math.max(lostFence, heldFence) === 0) return true
  return fence > lostFence && fence >= heldFence && 'absent' in answer && answer.absent === true
}

/** Whether the answer says that a call was not carried out and never will be; a question that is answered is not refused. */
function isRefusal ({ action }: CallerCall, { outcome }: CallerAnswer): boolean {
  if (outcome === 'unavailable' || outcome === 'limited') return true
  return action !== 'read' && (outcome === 'no-queue' || outcome === 'unauthenticated')
}
