/** The callers' requests that this instance is working on, by team and request identity. */
import { RefusalError } from '../../model/errors.ts'
import type { RequestStatus } from '../../ports/peerClient.ts'

export interface Flight {
  readonly team: string
  readonly requestId: string
  readonly attemptId: string
  readonly abort: AbortController
  state: RequestStatus['state']
  target: string
}

export class FlightTable {
  readonly #instance: string
  readonly #flights = new Map<string, Set<Flight>>()
  #size = 0

  constructor (instance: string) {
    this.#instance = instance
  }

  get size (): number {
    return this.#size
  }

  /** Adds a flight; with `exclusive`, refuses a second one for the same request. */
  add (team: string, requestId: string, attemptId: string, exclusive: boolean): Flight {
    const key = flightKey(team, requestId)
    const siblings = this.#flights.get(key) ?? new Set()
    if (exclusive && siblings.size > 0) {
      throw new RefusalError(`request ${requestId} is already under way`, { code: 'duplicate', verdict: 'may-have-run' })
    }
    const flight: Flight = { team, requestId, attemptId, abort: new AbortController(), state: 'queued', target: '' }
    siblings.add(flight)
    this.#flights.set(key, siblings)
    this.#size++
    return flight
  }

  remove (flight: Flight): void {
    const key = flightKey(flight.team, flight.requestId)
    const siblings = this.#flights.get(key)
    if (siblings?.delete(flight) !== true) return
    this.#size--
    if (siblings.size === 0) this.#flights.delete(key)
  }

  find (team: string, requestId: string): readonly RequestStatus[] {
    const siblings = [...this.#flights.get(flightKey(team, requestId)) ?? []]
    return siblings.map(({ state, attemptId, target }) => ({ instance: this.#instance, state, attemptId, target }))
  }

  /** Aborts the request's flights, or only the attempt given; says whether there was one. */
  cancel (team: string, requestId: string, attemptId?: string): boolean {
    const siblings = [...this.#flights.get(flightKey(team, requestId)) ?? []]
      .filter(flight => attemptId === undefined || flight.attemptId === attemptId)
    for (const flight of siblings) flight.abort.abort(createCancellation(requestId))
    return siblings.length > 0
  }
}

/** The verdict of a cancelled request is found out by the stage that notices the cancellation. */
function createCancellation (requestId: string): RefusalError {
  return new RefusalError(`request ${requestId} was cancelled`, { code: 'cancelled', verdict: 'may-have-run' })
}

function flightKey (team: string, requestId: string): string {
  return `${team}\n${requestId}`
}
