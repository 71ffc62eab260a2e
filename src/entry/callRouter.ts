/** Brings a caller's call to the coordinator, and again to its successor if the answer is lost. */
import type { CoordinatorInfo } from '../coordinator/election.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { CoordinatorPeers } from '../ports/coordinatorPeer.ts'
import { CallBatcher } from './callBatcher.ts'
import { unavailable } from './callerCall.ts'
import type { CallerAnswer, CallerCall, CallerRequest, CallHandler, CoordinatorAnswer } from './callerCall.ts'
import { isConnectionRefused } from './connectionRefusal.ts'
import type { JobInstance } from './jobInstance.ts'

/** How long a call without an answer is sent again for a caller that does not say how long it waits. */
const DEFAULT_CALL_TIMEOUT_MS = 1_800
/** For the way of the last answer to the caller. */
const ANSWER_MARGIN_MS = 150
/** A change of office takes about 0.1 s, and 0.4 s with a long log; a caller that is refused returns after a second. */
const ELECTION_WAIT_MS = 500
const RETRY_DELAY_MS = 60

export interface CallRouterOptions {
  readonly instance: JobInstance
  readonly ownAddress: string
  readonly peers: CoordinatorPeers
  readonly clock: Clock
  readonly logger: Logger
}

/** The answer to one try, and the fence of the coordinator to whom it was sent; 0 if it was sent to nobody. */
interface Attempt {
  readonly answer: CoordinatorAnswer
  readonly fence: number
}

/** Tries of a call that may have been carried out, by the latest fence to which they were sent; 0 if there are none. */
interface UnresolvedAttempts {
  /** Without an answer: they may still arrive. */
  readonly unansweredFence: number
  /** Answered as under way: they have arrived. */
  readonly underwayFence: number
}

export class CallRouter implements CallHandler {
  readonly #options: CallRouterOptions
  #batcher: { readonly fence: number, readonly batcher: CallBatcher } | undefined

  constructor (options: CallRouterOptions) {
    this.#options = options
    options.instance.onCoordinatorChange(() => this.#rejectCallsToReplacedCoordinator())
  }

  /**
   * A job keeps its identity, so that a call may be repeated whenever its answer is lost. A refusal says nothing of an
   * earlier try that may still be carried out, unless it comes from a later coordinator whose log lacks the job, since an
   * earlier one can not store anything any more, or from the one that had the call under way and has given it up.
   */
  async handle ({ call, callerTimeoutMs }: CallerRequest): Promise<CallerAnswer> {
    const { clock } = this.#options
    const timeoutMs = callerTimeoutMs === undefined ? DEFAULT_CALL_TIMEOUT_MS : callerTimeoutMs - ANSWER_MARGIN_MS
    const startedAtMs = clock.monotonicMs()
    let unresolved: UnresolvedAttempts = { unansweredFence: 0, underwayFence: 0 }
    for (;;) {
      const { answer, fence } = await this.#attempt(call)
      if (answer.outcome === 'unknown') unresolved = { ...unresolved, unansweredFence: Math.max(unresolved.unansweredFence, fence) }
      if (answer.outcome === 'underway') unresolved = { ...unresolved, underwayFence: Math.max(unresolved.underwayFence, fence) }
      const waitMs = answer.outcome === 'underway' ? 0 : RETRY_DELAY_MS
      const elapsedMs = clock.monotonicMs() + waitMs - startedAtMs
      const waitsForElection = reportsNoCoordinator(answer) && elapsedMs < Math.min(ELECTION_WAIT_MS, timeoutMs)
      if (answer.outcome !== 'underway' && !waitsForElection && isConclusive(call, answer, fence, unresolved)) return answer
      if (elapsedMs > timeoutMs) return { outcome: 'unknown', message: 'message' in answer ? answer.message : answer.outcome }
      if (waitMs > 0) await clock.sleep(waitMs)
    }
  }

  async #attempt (call: CallerCall): Promise<Attempt> {
    const { instance, ownAddress, logger } = this.#options
    const { coordinator } = instance
    if (coordinator === undefined) return { answer: unavailable('no coordinator is known'), fence: 0 }
    const { fence } = coordinator
    try {
      const [answer] = coordinator.address === ownAddress ? await instance.handleAll(fence, [call]) : [await this.#batcherFor(coordinator).handle(call)]
      return { answer: answer ?? unavailable('this instance does not coordinate'), fence }
    } catch (error) {
      const refused = isConnectionRefused(error)
      logger.info({ path: call.path, action: call.action, coordinator: coordinator.instance, fence, refused, error: error instanceof Error ? error.message : String(error) }, 'the coordinator did not answer')
      if (refused) instance.handleConnectionRefused(coordinator)
      return { answer: refused ? unavailable('the coordinator can not be reached') : { outcome: 'unknown', message: 'the coordinator did not answer' }, fence }
    }
  }

  /** One batcher for each election. */
  #batcherFor ({ address, fence }: CoordinatorInfo): CallBatcher {
    if (this.#batcher?.fence !== fence) {
      const { clock, peers, instance } = this.#options
      this.#batcher = { fence, batcher: new CallBatcher(clock, async calls => await peers.connect(address).handleAll(fence, calls), () => instance.knownInstanceCount) }
    }
    return this.#batcher.batcher
  }

  /** Calls that wait for a coordinator that was replaced go to its successor at once. */
  #rejectCallsToReplacedCoordinator (): void {
    const replaced = this.#batcher
    if (replaced === undefined || replaced.fence === this.#options.instance.coordinator?.fence) return
    this.#batcher = undefined
    replaced.batcher.rejectAll('the coordinator was replaced')
  }
}

/** Whether nobody is ready to decide on the call. */
function reportsNoCoordinator (answer: CoordinatorAnswer): boolean {
  return answer.outcome === 'unavailable' && answer.absent !== true
}

/** Whether the answer says what became of the call, with all its tries. */
function isConclusive (call: CallerCall, answer: CallerAnswer, fence: number, { unansweredFence, underwayFence }: UnresolvedAttempts): boolean {
  if (answer.outcome === 'unknown') return false
  if (!isRefusal(call, answer) || Math.max(unansweredFence, underwayFence) === 0) return true
  return fence > unansweredFence && fence >= underwayFence && 'absent' in answer && answer.absent === true
}

/** Whether the answer says that a call was not carried out and never will be; a question that is answered is not refused. */
function isRefusal ({ action }: CallerCall, { outcome }: CallerAnswer): boolean {
  if (outcome === 'unavailable' || outcome === 'limited') return true
  return action !== 'read' && (outcome === 'no-queue' || outcome === 'unauthenticated')
}
