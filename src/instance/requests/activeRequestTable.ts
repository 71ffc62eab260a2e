/** Requests in progress on this instance, by team and request ID. */
import { RefusalError } from '../../model/errors.ts'
import type { RequestStatus } from '../../ports/peerClient.ts'

export interface ActiveRequest {
  readonly team: string
  readonly requestId: string
  readonly attemptId: string
  readonly abort: AbortController
  state: RequestStatus['state']
  target: string
}

export class ActiveRequestTable {
  readonly #instance: string
  readonly #byRequest = new Map<string, Set<ActiveRequest>>()
  #size = 0

  constructor (instance: string) {
    this.#instance = instance
  }

  get size (): number {
    return this.#size
  }

  /** Adds an entry; with `exclusive`, refuses it if the same request is already in progress. */
  add (team: string, requestId: string, attemptId: string, exclusive: boolean): ActiveRequest {
    const key = requestKey(team, requestId)
    const entries = this.#byRequest.get(key) ?? new Set()
    if (exclusive && entries.size > 0) {
      throw new RefusalError(`request ${requestId} is already in progress`, { code: 'duplicate', verdict: 'may-have-run' })
    }
    const activeRequest: ActiveRequest = { team, requestId, attemptId, abort: new AbortController(), state: 'queued', target: '' }
    entries.add(activeRequest)
    this.#byRequest.set(key, entries)
    this.#size++
    return activeRequest
  }

  remove (activeRequest: ActiveRequest): void {
    const key = requestKey(activeRequest.team, activeRequest.requestId)
    const entries = this.#byRequest.get(key)
    if (entries?.delete(activeRequest) !== true) return
    this.#size--
    if (entries.size === 0) this.#byRequest.delete(key)
  }

  find (team: string, requestId: string): readonly RequestStatus[] {
    const entries = [...this.#byRequest.get(requestKey(team, requestId)) ?? []]
    return entries.map(({ state, attemptId, target }) => ({ instance: this.#instance, state, attemptId, target }))
  }

  /** Aborts the request, or only the given attempt; returns whether there was one. */
  cancel (team: string, requestId: string, attemptId?: string): boolean {
    const entries = [...this.#byRequest.get(requestKey(team, requestId)) ?? []]
      .filter(activeRequest => attemptId === undefined || activeRequest.attemptId === attemptId)
    for (const activeRequest of entries) activeRequest.abort.abort(createCancellation(requestId))
    return entries.length > 0
  }
}

/** The verdict is provisional: the stage that handles the cancellation determines the actual one. */
function createCancellation (requestId: string): RefusalError {
  return new RefusalError(`request ${requestId} was cancelled`, { code: 'cancelled', verdict: 'may-have-run' })
}

function requestKey (team: string, requestId: string): string {
  return `${team}\n${requestId}`
}
