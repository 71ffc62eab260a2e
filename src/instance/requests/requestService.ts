/** Handles the requests of callers and the requests that other instances forward. */
import { randomUUID } from 'node:crypto'
import { RefusalError } from '../../model/errors.ts'
import type { AdmittedRequest } from '../../model/request.ts'
import type { CallerHandler } from '../../ports/callerHandler.ts'
import type { Clock } from '../../ports/clock.ts'
import type { ForwardedRequest, PeerClient, RequestStatus, RunEvent } from '../../ports/peerClient.ts'
import type { Admission } from '../../scheduler/admission/admission.ts'
import type { DispatchContext, Dispatcher } from './dispatcher.ts'
import type { ActiveRequest, ActiveRequestTable } from './activeRequestTable.ts'

/** Receives the outcomes of requests, for logs and metrics. */
export interface RequestObserver {
  onAccepted (admitted: AdmittedRequest): void
  onRefused (admitted: AdmittedRequest | undefined, refusal: RefusalError): void
}

export interface RequestServiceDependencies {
  readonly clock: Clock
  readonly admission: Admission
  readonly dispatcher: Dispatcher
  readonly activeRequests: ActiveRequestTable
  readonly peerClient: Pick<PeerClient, 'cancel' | 'find'>
  readonly observer: RequestObserver
  /** Stops the tasks of a request that this instance holds, including detached ones; returns whether there were any. */
  stopTasks (team: string, requestId: string, attemptId?: string): boolean
  findTasks (team: string, requestId: string): readonly RequestStatus[]
  /** Addresses of the other live instances. */
  peerAddresses (): readonly string[]
  isDraining (): boolean
  /** Updates the configuration to at least the version; false if that is not possible now. */
  catchUp (version: number): Promise<boolean>
}

export class RequestService implements CallerHandler {
  readonly #dependencies: RequestServiceDependencies

  constructor (dependencies: RequestServiceDependencies) {
    this.#dependencies = dependencies
  }

  async * run (key: string | undefined, body: unknown, signal: AbortSignal): AsyncIterable<RunEvent> {
    const { admission, observer } = this.#dependencies
    let admitted: AdmittedRequest | undefined
    try {
      if (this.#dependencies.isDraining()) {
        throw new RefusalError('the instance is draining; send the request to another instance', { code: 'draining', verdict: 'not-run' })
      }
      admitted = admission.admit(key, body)
      observer.onAccepted(admitted)
      yield * this.#runAdmitted(admitted, randomUUID(), 0, signal, true)
    } catch (error) {
      if (error instanceof RefusalError) observer.onRefused(admitted, error)
      throw error
    }
  }

  /** Runs a request that another instance forwarded. Refusals are sent as events, so that their verdicts arrive. */
  async * runForwarded (forwarded: ForwardedRequest, signal: AbortSignal): AsyncIterable<RunEvent> {
    const { team, request, remainingMs, hops, attemptId } = forwarded
    const deadlineAt = this.#dependencies.clock.monotonicMs() + remainingMs
    let headSent = false
    try {
      await this.#catchUp(forwarded.configurationVersion)
      for await (const event of this.#runAdmitted({ team, request, deadlineAt }, attemptId, hops, signal, false)) {
        headSent ||= event.type === 'head'
        yield event
      }
    } catch (error) {
      if (!(error instanceof RefusalError) || headSent) throw error
      const { code, message, verdict, claimed, retryable } = error
      yield { type: 'refused', code, message, verdict, claimed, retryable }
    }
  }

  async cancel (key: string | undefined, requestId: string): Promise<boolean> {
    const team = this.#dependencies.admission.identify(key)
    if (this.cancelLocal(team, requestId)) return true
    const answers = await this.#askPeers(address => this.#dependencies.peerClient.cancel(address, team, requestId, ''))
    return answers.includes(true)
  }

  /** Cancels the request on this instance, and stops its detached tasks, which run on after the answer. */
  cancelLocal (team: string, requestId: string, attemptId?: string): boolean {
    const cancelled = this.#dependencies.activeRequests.cancel(team, requestId, attemptId)
    return this.#dependencies.stopTasks(team, requestId, attemptId) || cancelled
  }

  async find (key: string | undefined, requestId: string): Promise<readonly RequestStatus[]> {
    const team = this.#dependencies.admission.identify(key)
    const answers = await this.#askPeers(address => this.#dependencies.peerClient.find(address, team, requestId))
    return [...this.findLocal(team, requestId), ...answers.flat()]
  }

  findLocal (team: string, requestId: string): readonly RequestStatus[] {
    const activeRequests = this.#dependencies.activeRequests.find(team, requestId)
    return activeRequests.length > 0 ? activeRequests : this.#dependencies.findTasks(team, requestId)
  }

  /** With a configuration older than the forwarding instance's, the team's limit could be unknown on this instance. */
  async #catchUp (version: number): Promise<void> {
    if (await this.#dependencies.catchUp(version)) return
    throw new RefusalError('the instance has an older configuration than the one under which the request was admitted', {
      code: 'stale-configuration', verdict: 'not-run', retryable: true
    })
  }

  async * #runAdmitted (admitted: AdmittedRequest, attemptIdPrefix: string, hops: number, signal: AbortSignal, exclusive: boolean): AsyncIterable<RunEvent> {
    const { activeRequests, dispatcher } = this.#dependencies
    const activeRequest = activeRequests.add(admitted.team, admitted.request.id, attemptIdPrefix, exclusive)
    const ended = new AbortController()
    this.#abortAtDeadline(admitted, activeRequest, ended.signal)
    const context: DispatchContext = {
      admitted,
      attemptIdPrefix,
      hops,
      signal: AbortSignal.any([signal, activeRequest.abort.signal]),
      onStateChange: (state, target) => {
        activeRequest.state = state
        activeRequest.target = target
      }
    }
    try {
      yield * dispatcher.run(context)
    } finally {
      ended.abort()
      activeRequests.remove(activeRequest)
    }
  }

  #abortAtDeadline ({ deadlineAt }: AdmittedRequest, activeRequest: ActiveRequest, ended: AbortSignal): void {
    const { clock } = this.#dependencies
    clock.sleep(deadlineAt - clock.monotonicMs(), ended).then(() => {
      activeRequest.abort.abort(new RefusalError('the deadline passed', { code: 'deadline', verdict: 'may-have-run' }))
    }, () => {})
  }

  async #askPeers<Answer> (ask: (address: string) => Promise<Answer>): Promise<readonly Answer[]> {
    const answers = await Promise.allSettled(this.#dependencies.peerAddresses().map(ask))
    return answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value] : [])
  }
}
