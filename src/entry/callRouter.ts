/** Routes calls to the coordinator and retries them, at its successor if it is replaced, while the outcome is unknown. */
import type { CoordinatorInfo } from '../coordinator/log/election.ts'
import { CallNotSentError } from './callNotSentError.ts'
import { EARLY_CANCELLATION_PERIOD_MS } from '../jobs/earlyCancellations.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { CoordinatorPeers } from '../ports/coordinatorPeer.ts'
import { CallBatcher } from './callBatcher.ts'
import { unavailable } from './callerCall.ts'
import type { CallerAnswer, CallerCall, CallerRequest, CallHandler, CoordinatorAnswer } from './callerCall.ts'
import { isConnectionRefused } from './connectionRefusal.ts'
import type { JobInstance } from './jobInstance.ts'

/** Time for which a call is retried if the caller states no time-out. */
const DEFAULT_CALL_TIMEOUT_MS = 1_800
/** A caller may state any time, during which its call would take memory. Callers of the platform wait for about 3 s. */
const MAX_CALL_TIMEOUT_MS = 30_000
/** Time until the last attempt at a call has certainly arrived at the coordinator. */
const ARRIVAL_MARGIN_MS = 10_000
/**
 * A submission that may have been sent longer ago than this is not handed in: its cancel, or its outcome, may have been
 * forgotten before the last attempt at it.
 */
const MAX_SUBMISSION_AGE_MS = EARLY_CANCELLATION_PERIOD_MS - MAX_CALL_TIMEOUT_MS - ARRIVAL_MARGIN_MS
/** Part of the caller's time-out that is reserved for returning the answer. */
const ANSWER_MARGIN_MS = 150
/** A change of coordinator takes about 0.1 s, and 0.4 s with a long log; a refused caller retries only after a second. */
const ELECTION_WAIT_MS = 500
const RETRY_DELAY_MS = 60
/** Without a coordinator for longer than an election takes, the store is away for all: its outages last about 5 s. */
const LONG_ABSENCE_MS = 2_000
/** Callers are then told to return after 2 to 4 s, spread, so that they do not all come back at the same moment. */
const LONG_ABSENCE_RETRY_SECONDS = 2
const LONG_ABSENCE_SPREAD_SECONDS = 3

export interface CallRouterOptions {
  readonly instance: JobInstance
  readonly ownAddress: string
  readonly peers: CoordinatorPeers
  readonly clock: Clock
  readonly logger: Logger
  /** Longest time in milliseconds for which a call that is read now may have waited in this process; 0 if it was not paused. */
  readonly inputAgeMs: () => number
}

/** One attempt's answer, and the fencing token of the coordinator that it was sent to; 0 if it was certainly not sent. */
interface Attempt {
  readonly answer: CoordinatorAnswer
  readonly fence: number
}

/** Attempts at a call that may have taken effect, by the highest fencing token that they were sent to; 0 for none. */
interface UnresolvedAttempts {
  /** Attempts without an answer, which may still arrive at the coordinator. */
  readonly unansweredFence: number
  /** Attempts answered as `underway`, which have arrived. */
  readonly underwayFence: number
}

export class CallRouter implements CallHandler {
  readonly #options: CallRouterOptions
  /** Undefined while a coordinator is known. */
  #noCoordinatorSinceMs: number | undefined
  #batcher: { readonly fence: number, readonly batcher: CallBatcher } | undefined

  constructor (options: CallRouterOptions) {
    this.#options = options
    options.instance.onCoordinatorChange(() => {
      this.#noCoordinatorSinceMs = options.instance.coordinator === undefined ? this.#noCoordinatorSinceMs ?? options.clock.monotonicMs() : undefined
      this.#rejectCallsToReplacedCoordinator()
    })
  }

  /**
   * Calls are idempotent by the identity of the job, so a call is retried whenever its answer is lost. A refusal does not
   * settle an earlier attempt that may still take effect, unless it comes from a later coordinator whose log lacks the
   * job, since earlier coordinators can no longer write to the store, or from the coordinator that reported the call as
   * `underway` and has dropped it since. A call of which no attempt was sent, and a read, certainly had no effect: if they
   * get no answer in time, the answer is `unavailable`, not `unknown`.
   */
  async handle ({ call, callerTimeoutMs }: CallerRequest): Promise<CallerAnswer> {
    const { clock, inputAgeMs } = this.#options
    if (call.action === 'submit' && inputAgeMs() > MAX_SUBMISSION_AGE_MS) return unavailable('the instance was paused, and the submission may have been cancelled meanwhile')
    const waitsMs = callerTimeoutMs === undefined ? DEFAULT_CALL_TIMEOUT_MS + ANSWER_MARGIN_MS : Math.min(callerTimeoutMs, MAX_CALL_TIMEOUT_MS)
    const timeoutMs = waitsMs - ANSWER_MARGIN_MS
    const startedAtMs = clock.monotonicMs()
    let unresolved: UnresolvedAttempts = { unansweredFence: 0, underwayFence: 0 }
    for (;;) {
      const { answer, fence } = await this.#attempt(call, startedAtMs + waitsMs)
      if (answer.outcome === 'unknown') unresolved = { ...unresolved, unansweredFence: Math.max(unresolved.unansweredFence, fence) }
      if (answer.outcome === 'underway') unresolved = { ...unresolved, underwayFence: Math.max(unresolved.underwayFence, fence) }
      const waitMs = answer.outcome === 'underway' ? 0 : RETRY_DELAY_MS
      const elapsedMs = clock.monotonicMs() + waitMs - startedAtMs
      const waitsForElection = reportsNoCoordinator(answer) && elapsedMs < Math.min(ELECTION_WAIT_MS, timeoutMs)
      if (answer.outcome !== 'underway' && !waitsForElection && isConclusive(call, answer, fence, unresolved)) return answer
      if (elapsedMs > timeoutMs) {
        const message = 'message' in answer ? answer.message : answer.outcome
        return mayHaveEffect(call, unresolved) ? { outcome: 'unknown', message } : unavailable(message)
      }
      if (waitMs > 0) await clock.sleep(waitMs)
    }
  }

  async #attempt (call: CallerCall, expiresAtMs: number): Promise<Attempt> {
    const { instance, ownAddress, logger } = this.#options
    const { coordinator } = instance
    if (coordinator === undefined) return { answer: unavailable('no coordinator is known', this.#retryAfterAbsence()), fence: 0 }
    const { fence } = coordinator
    try {
      const [answer] = coordinator.address === ownAddress ? await instance.handleAll(fence, [call]) : [await this.#batcherFor(coordinator).handle(call, expiresAtMs)]
      return { answer: answer ?? unavailable('this instance does not coordinate'), fence }
    } catch (error) {
      const refused = isConnectionRefused(error)
      logger.info({ path: call.path, action: call.action, coordinator: coordinator.instance, fence, refused, error: error instanceof Error ? error.message : String(error) }, 'the coordinator did not answer')
      if (refused) instance.handleConnectionRefused(coordinator)
      if (refused) return { answer: unavailable('the coordinator can not be reached'), fence }
      return { answer: { outcome: 'unknown', message: 'the coordinator did not answer' }, fence: error instanceof CallNotSentError ? 0 : fence }
    }
  }

  /** Undefined for the usual time. */
  #retryAfterAbsence (): number | undefined {
    const sinceMs = this.#noCoordinatorSinceMs
    if (sinceMs === undefined || this.#options.clock.monotonicMs() - sinceMs < LONG_ABSENCE_MS) return undefined
    return LONG_ABSENCE_RETRY_SECONDS + Math.floor(Math.random() * LONG_ABSENCE_SPREAD_SECONDS)
  }

  /** Returns the batcher of the current election; each election has its own. */
  #batcherFor ({ address, fence }: CoordinatorInfo): CallBatcher {
    if (this.#batcher?.fence !== fence) {
      const { clock, peers, instance } = this.#options
      this.#batcher = { fence, batcher: new CallBatcher(clock, async calls => await peers.connect(address).handleAll(fence, calls), () => instance.knownInstanceCount) }
    }
    return this.#batcher.batcher
  }

  /** Rejects the calls that wait for a replaced coordinator, so that they are retried at its successor at once. */
  #rejectCallsToReplacedCoordinator (): void {
    const replaced = this.#batcher
    if (replaced === undefined || replaced.fence === this.#options.instance.coordinator?.fence) return
    this.#batcher = undefined
    replaced.batcher.rejectAll('the coordinator was replaced')
  }
}

/** Whether no coordinator was ready to decide on the call. */
function reportsNoCoordinator (answer: CoordinatorAnswer): boolean {
  return answer.outcome === 'unavailable' && answer.absent !== true
}

/** Whether one of the attempts may have taken effect, or may still do so. */
function mayHaveEffect ({ action }: CallerCall, { unansweredFence, underwayFence }: UnresolvedAttempts): boolean {
  return action !== 'read' && Math.max(unansweredFence, underwayFence) > 0
}

/** Whether the answer settles the outcome of the call, including its earlier attempts. */
function isConclusive (call: CallerCall, answer: CallerAnswer, fence: number, { unansweredFence, underwayFence }: UnresolvedAttempts): boolean {
  if (answer.outcome === 'unknown') return false
  if (!isRefusal(call, answer) || Math.max(unansweredFence, underwayFence) === 0) return true
  return fence > unansweredFence && fence >= underwayFence && 'absent' in answer && answer.absent === true
}

/** Whether the answer says that the call has no effect, now or later; for a read, a negative answer is not a refusal. */
function isRefusal ({ action }: CallerCall, { outcome }: CallerAnswer): boolean {
  if (outcome === 'unavailable' || outcome === 'limited') return true
  return action !== 'read' && (outcome === 'no-queue' || outcome === 'unauthenticated')
}
