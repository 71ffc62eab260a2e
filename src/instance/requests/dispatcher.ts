/** Chooses an instance for each attempt at a request, runs it locally or forwards it, and retries where that is safe. */
import { RefusalError } from '../../model/errors.ts'
import type { AdmittedRequest, KindName } from '../../model/request.ts'
import { combineVerdicts } from '../../model/verdict.ts'
import type { Verdict } from '../../model/verdict.ts'
import type { Clock } from '../../ports/clock.ts'
import type { PeerClient, RunEvent } from '../../ports/peerClient.ts'
import type { Route } from '../../scheduler/routing/router.ts'
import type { AttemptOutcome, RetryDecision, RetryQuestion } from '../../scheduler/retries/retryPolicy.ts'
import { findWorkload } from '../../workloads/registry.ts'
import type { LocalWork } from './localWork.ts'

export interface RouteQuery extends AdmittedRequest {
  /** Hops that the request has taken, as counted by the router. */
  readonly hops: number
  /** Instances that refused an earlier attempt. */
  readonly excluded: ReadonlySet<string>
}

type PeerRoute = Extract<Route, { destination: 'peer' }>

export interface DispatcherDependencies {
  readonly selfName: string
  readonly clock: Clock
  readonly peerClient: PeerClient
  runLocally (work: LocalWork): AsyncIterable<RunEvent>
  chooseRoute (query: RouteQuery): Route
  /** Consumes the team's retry budget if the decision is to retry. */
  decideRetry (question: RetryQuestion): RetryDecision
  configurationVersion (): number
  onRetry (team: string, kind: KindName): void
  onCrossRegionBytes (team: string, bytes: number): void
}

export interface DispatchContext {
  readonly admitted: AdmittedRequest
  /** Prefix of the attempt IDs. */
  readonly attemptIdPrefix: string
  readonly hops: number
  readonly signal: AbortSignal
  onStateChange: LocalWork['onStateChange']
}

/** Refusals that another instance may not give. Rerouting costs no retry budget, since nothing was sent to a target. */
const REROUTABLE_CODES: ReadonlySet<string> = new Set(['no-capacity', 'draining', 'fenced', 'stale-configuration'])
/** Limits the attempts that are not reroutes, in addition to the retry budget. */
const MAXIMUM_ATTEMPTS = 8

/** Time reserved for the answer of an instance in the same region, and of one in another region. */
const FORWARD_MARGIN_MS = 50
const CROSS_REGION_MARGIN_MS = 150

/** Delay before another instance is tried, so that allotments and ownership can settle; doubles up to the maximum. */
const REROUTE_DELAY_MS = 20
const MAXIMUM_REROUTE_DELAY_MS = 500
/** Urgent work must start within 2 s; with a maximum of 500 ms, price checks waited up to 2.4 s under overload. */
const MAXIMUM_URGENT_REROUTE_DELAY_MS = 40
/**
 * Limits the requests that are waiting to be rerouted; the same bound as for the queue. The number of reroutes per
 * request is not limited, since a hand-over of targets takes seconds: with a limit of 8 attempts, requests were refused
 * after 420 ms although their deadline was 10 s away.
 */
const MAXIMUM_CONCURRENT_REROUTES = 2_000

export class Dispatcher {
  readonly #dependencies: DispatcherDependencies
  #rerouting = 0

  constructor (dependencies: DispatcherDependencies) {
    this.#dependencies = dependencies
  }

  /** Yields the events of the successful attempt; throws a `RefusalError` with the combined verdict of all attempts. */
  async * run (context: DispatchContext): AsyncIterable<RunEvent> {
    const excluded = new Set<string>()
    const attempts: AttemptOutcome[] = []
    let rerouteCount = 0
    let claimed = false
    for (let attempt = 1; ; attempt++) {
      const route = this.#dependencies.chooseRoute({ ...context.admitted, hops: context.hops, excluded })
      let headSent = false
      try {
        for await (const event of this.#attempt(context, route, `${context.attemptIdPrefix}.${attempt}`)) {
          headSent ||= event.type === 'head'
          yield event
        }
        return
      } catch (error) {
        const refusal = toRefusal(error, context.signal)
        if (headSent) throw refusal
        claimed ||= refusal.claimed
        if (isReroutable(refusal) && this.#canReroute(context)) {
          // Once every instance has refused, all of them are tried again.
          if (route.destination === 'none') excluded.clear()
          else excluded.add(this.#instanceNameOf(route))
          await this.#pauseBeforeReroute(context, rerouteCount++, attempts, claimed)
          continue
        }
        // A refusal is retryable only if the attempt has certainly ended or never started.
        attempts.push({ verdict: refusal.verdict, stopped: refusal.retryable })
        if (refusal.verdict === 'not-run') excluded.add(this.#instanceNameOf(route))
        const delayMs = this.#decideRetryDelay(context, refusal, attempts)
        if (delayMs === undefined) throw summarize(refusal, attempts, claimed)
        await this.#pause(context, delayMs, attempts, claimed)
        this.#dependencies.onRetry(context.admitted.team, context.admitted.request.kind)
      }
    }
  }

  #instanceNameOf (route: Route): string {
    return route.destination === 'peer' ? route.instance.ref.name : this.#dependencies.selfName
  }

  /** Only the instance that received the request from its caller reroutes it; others return the refusal to that instance. */
  #canReroute ({ hops, signal, admitted }: DispatchContext): boolean {
    return hops === 0 && !signal.aborted && this.#rerouting < MAXIMUM_CONCURRENT_REROUTES && this.#dependencies.clock.monotonicMs() < admitted.deadlineAt
  }

  async #pauseBeforeReroute (context: DispatchContext, rerouteCount: number, attempts: readonly AttemptOutcome[], claimed: boolean): Promise<void> {
    this.#rerouting++
    try {
      const isUrgent = findWorkload(context.admitted.request.kind).urgency === 0
      const maximumDelayMs = isUrgent ? MAXIMUM_URGENT_REROUTE_DELAY_MS : MAXIMUM_REROUTE_DELAY_MS
      const delayMs = rerouteCount === 0 ? 0 : Math.min(maximumDelayMs, REROUTE_DELAY_MS * 2 ** (rerouteCount - 1))
      await this.#pause(context, delayMs, attempts, claimed)
    } finally {
      this.#rerouting--
    }
  }

  #decideRetryDelay (context: DispatchContext, refusal: RefusalError, attempts: readonly AttemptOutcome[]): number | undefined {
    const { team, request, deadlineAt } = context.admitted
    const now = this.#dependencies.clock.monotonicMs()
    if (context.hops > 0 || context.signal.aborted || now >= deadlineAt || attempts.length >= MAXIMUM_ATTEMPTS) return undefined
    const { retryable, code } = refusal
    const { repeatable } = request
    if (retryable && repeatable && code === 'preempted') return REROUTE_DELAY_MS
    const decision = this.#dependencies.decideRetry({ team, repeatable, attempts, retryable, now, deadlineAt })
    return decision.action === 'retry' ? decision.afterMs : undefined
  }

  async #pause (context: DispatchContext, delayMs: number, attempts: readonly AttemptOutcome[], claimed: boolean): Promise<void> {
    if (delayMs === 0) return
    try {
      await this.#dependencies.clock.sleep(delayMs, context.signal)
    } catch (error) {
      const cancelled = new RefusalError('the request was cancelled', { code: 'cancelled', verdict: combineAttempts(attempts), claimed, cause: error })
      throw toRefusal(cancelled, context.signal)
    }
  }

  async * #attempt (context: DispatchContext, route: Route, attemptId: string): AsyncIterable<RunEvent> {
    const { admitted, hops, signal, onStateChange } = context
    if (route.destination === 'peer') yield * this.#forward(context, route, attemptId)
    else if (route.destination === 'local') yield * this.#dependencies.runLocally({ ...admitted, attemptId, hops, signal, onStateChange })
    else throw new RefusalError('no reachable instance can run the request', { code: 'no-capacity', verdict: 'not-run', retryable: true })
  }

  /** Shortens the deadline, so that the peer's refusal at its deadline arrives before this instance's deadline ends the stream. */
  #forwardedRemainingMs ({ acrossRegions }: PeerRoute, remainingMs: number): number {
    const marginMs = acrossRegions ? CROSS_REGION_MARGIN_MS : FORWARD_MARGIN_MS
    return Math.max(remainingMs / 2, remainingMs - marginMs)
  }

  async * #forward (context: DispatchContext, route: PeerRoute, attemptId: string): AsyncIterable<RunEvent> {
    const { clock, peerClient } = this.#dependencies
    const { team, request, deadlineAt } = context.admitted
    const forwarded = {
      attemptId,
      team,
      request,
      remainingMs: this.#forwardedRemainingMs(route, deadlineAt - clock.monotonicMs()),
      hops: route.hops,
      configurationVersion: this.#dependencies.configurationVersion()
    }
    let ended = false
    for await (const event of this.#receive(peerClient.run(route.instance.peerAddress, forwarded, context.signal))) {
      if (event.type === 'refused') throw new RefusalError(event.message, event)
      if (event.type === 'chunk' && route.acrossRegions) this.#dependencies.onCrossRegionBytes(team, event.bytes.byteLength)
      ended = event.type === 'end'
      yield event
    }
    if (!ended) throw new RefusalError('the answer stream of the other instance ended before its last event', { code: 'peer-failed', verdict: 'may-have-run' })
  }

  /** After a broken stream the request may have run, unless the connection was refused. */
  async * #receive (events: AsyncIterable<RunEvent>): AsyncIterable<RunEvent> {
    try {
      yield * events
    } catch (error) {
      const refused = isConnectionRefused(error)
      throw new RefusalError('the other instance can not be reached', {
        code: 'peer-failed', verdict: refused ? 'not-run' : 'may-have-run', retryable: refused, cause: error
      })
    }
  }
}

function isReroutable ({ retryable, verdict, code }: RefusalError): boolean {
  return retryable && verdict === 'not-run' && REROUTABLE_CODES.has(code)
}

function combineAttempts (attempts: readonly AttemptOutcome[]): Verdict {
  return combineVerdicts(attempts.map(attempt => attempt.verdict))
}

/** Reports a cancellation or a passed deadline as the reason, with the verdict of the attempt. */
function toRefusal (error: unknown, { aborted, reason }: AbortSignal): RefusalError {
  const refusal = error instanceof RefusalError
    ? error
    : new RefusalError('the request failed because of an internal error', { code: 'internal', verdict: 'may-have-run', cause: error })
  if (!aborted || !(reason instanceof RefusalError)) return refusal
  const { verdict, claimed } = refusal
  return new RefusalError(reason.message, { code: reason.code, verdict, claimed, cause: refusal })
}

/** The last attempt's refusal, with the combined verdict and claim of all attempts. */
function summarize (refusal: RefusalError, attempts: readonly AttemptOutcome[], claimed: boolean): RefusalError {
  const verdict = combineAttempts(attempts)
  if (refusal.verdict === verdict && refusal.claimed === claimed) return refusal
  const { code, retryable } = refusal
  return new RefusalError(refusal.message, { code, verdict, claimed, retryable, cause: refusal })
}

/** Whether the error or one of its causes is a refused connection, after which the peer has not seen the request. */
function isConnectionRefused (error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ((cause as NodeJS.ErrnoException).code === 'ECONNREFUSED') return true
  }
  return false
}
