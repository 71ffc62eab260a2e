/** An in-process peer network with fault injection, for tests and benchmarks. */
import { BaseError } from '../../model/errors.ts'
import type { ExchangeSender } from '../../model/digest.ts'
import type { InstanceRef } from '../../model/identity.ts'
import type { Resources } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import type {
  ClaimEntry, ClaimOutcome, ExchangeAnswer, FetchedChanges, ForwardedRequest, PeerClient, PeerHandler, RequestStatus, RunEvent
} from '../../ports/peerClient.ts'

export type PeerMethod = keyof PeerHandler

export interface PeerCall {
  readonly method: PeerMethod
  readonly from: string
  readonly to: string
  /** Index among all calls of the network, from 0. */
  readonly index: number
}

export type PeerFault =
  /** The call does not reach the peer, as with a refused connection. */
  | { readonly type: 'unreachable' }
  /** The call takes effect, and its response is lost. */
  | { readonly type: 'loseAnswer' }
  /** The call arrives after the duration. */
  | { readonly type: 'delay', readonly durationMs: number }
  /** The response arrives after the duration. */
  | { readonly type: 'delayAnswer', readonly durationMs: number }
  /** The call arrives twice; the first response is used. */
  | { readonly type: 'duplicate' }

export type ChoosePeerFault = (call: PeerCall) => PeerFault | undefined

export const PeerLostError = BaseError.subclass('PeerLostError')

class ConnectionRefusedError extends Error {
  readonly code = 'ECONNREFUSED'
}

/**
 * Instances join under their address; each has its own client, so that faults can depend on the sender.
 *
 * @example
 * const network = new MemoryPeerNetwork(clock)
 * const client = network.createClient('entry-1:1')
 * network.join('entry-1:1', instance.peers)
 */
export class MemoryPeerNetwork {
  /** Chooses the fault for each call; assign it to start or end a fault. */
  chooseFault: ChoosePeerFault = () => undefined
  readonly #clock: Clock
  readonly #handlers = new Map<string, PeerHandler>()
  #index = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  join (address: string, handler: PeerHandler): void {
    this.#handlers.set(address, handler)
  }

  /** Removes an instance; later calls to its address are refused. */
  leave (address: string): void {
    this.#handlers.delete(address)
  }

  createClient (from: string): PeerClient {
    return new MemoryPeerClient(this, from)
  }

  async call<Result> (method: PeerMethod, from: string, to: string, perform: (handler: PeerHandler) => Promise<Result>, signal?: AbortSignal): Promise<Result> {
    const fault = this.chooseFault({ method, from, to, index: this.#index++ })
    if (fault?.type === 'unreachable') throw new ConnectionRefusedError(`${to} is unreachable`)
    if (fault?.type === 'delay') await this.#clock.sleep(fault.durationMs, signal)
    const handler = this.#getHandler(to)
    const performed = perform(handler)
    if (fault?.type === 'duplicate') perform(handler).catch(() => {})
    const result = await rejectOnAbort(performed, signal)
    if (fault?.type === 'delayAnswer') await this.#clock.sleep(fault.durationMs, signal)
    if (fault?.type === 'loseAnswer') throw new PeerLostError(`the response of ${to} was lost`)
    return result
  }

  async * stream (from: string, to: string, forwarded: ForwardedRequest, signal?: AbortSignal): AsyncIterable<RunEvent> {
    const fault = this.chooseFault({ method: 'run', from, to, index: this.#index++ })
    if (fault?.type === 'unreachable') throw new ConnectionRefusedError(`${to} is unreachable`)
    if (fault?.type === 'delay') await this.#clock.sleep(fault.durationMs, signal)
    const handler = this.#getHandler(to)
    const handlerAbort = new AbortController()
    if (signal?.aborted) handlerAbort.abort(signal.reason)
    signal?.addEventListener('abort', () => handlerAbort.abort(signal.reason), { once: true })
    try {
      for await (const event of handler.run(forwarded, handlerAbort.signal)) {
        if (this.#handlers.get(to) !== handler) throw new PeerLostError(`${to} stopped before its response was complete`)
        if (fault?.type === 'loseAnswer') throw new PeerLostError(`the response of ${to} was lost`)
        if (fault?.type === 'delayAnswer') await this.#clock.sleep(fault.durationMs, signal)
        yield event
      }
    } finally {
      handlerAbort.abort(new PeerLostError(`${from} closed the stream`))
    }
  }

  #getHandler (address: string): PeerHandler {
    const handler = this.#handlers.get(address)
    if (handler === undefined) throw new ConnectionRefusedError(`nothing listens at ${address}`)
    return handler
  }
}

class MemoryPeerClient implements PeerClient {
  readonly #network: MemoryPeerNetwork
  readonly #from: string

  constructor (network: MemoryPeerNetwork, from: string) {
    this.#network = network
    this.#from = from
  }

  exchange (address: string, sender: ExchangeSender, registering: boolean, signal?: AbortSignal): Promise<ExchangeAnswer> {
    return this.#network.call('exchange', this.#from, address, async handler => await handler.exchange(sender, registering), signal)
  }

  run (address: string, forwarded: ForwardedRequest, signal?: AbortSignal): AsyncIterable<RunEvent> {
    return this.#network.stream(this.#from, address, forwarded, signal)
  }

  cancel (address: string, team: string, requestId: string, attemptId: string, signal?: AbortSignal): Promise<boolean> {
    return this.#network.call('cancel', this.#from, address, async handler => await handler.cancel(team, requestId, attemptId), signal)
  }

  find (address: string, team: string, requestId: string, signal?: AbortSignal): Promise<readonly RequestStatus[]> {
    return this.#network.call('find', this.#from, address, async handler => await handler.find(team, requestId), signal)
  }

  fetchChanges (address: string, afterVersion: number, signal?: AbortSignal): Promise<FetchedChanges> {
    return this.#network.call('fetchChanges', this.#from, address, async handler => await handler.fetchChanges(afterVersion), signal)
  }

  transferAllotment (address: string, receiver: InstanceRef, team: string, wanted: Resources, signal?: AbortSignal): Promise<Resources> {
    return this.#network.call('transferAllotment', this.#from, address, async handler => await handler.transferAllotment(receiver, team, wanted), signal)
  }

  claim (address: string, entries: readonly ClaimEntry[], signal?: AbortSignal): Promise<readonly ClaimOutcome[]> {
    return this.#network.call('claim', this.#from, address, async handler => await handler.claim(entries), signal)
  }

  handOver (address: string, from: InstanceRef, dataCentre: string, targets: readonly string[], signal?: AbortSignal): Promise<void> {
    return this.#network.call('handOver', this.#from, address, async handler => { await handler.handOver(from, dataCentre, targets) }, signal)
  }
}

function rejectOnAbort<Result> (performed: Promise<Result>, signal?: AbortSignal): Promise<Result> {
  if (signal === undefined) return performed
  return new Promise((resolve, reject) => {
    const onAbort = (): void => reject(signal.reason)
    if (signal.aborted) return onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    performed.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort)).catch(() => {})
  })
}
