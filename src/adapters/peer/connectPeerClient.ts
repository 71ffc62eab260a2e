/** A client for the peer protocol on `connect-es`, with one HTTP/2 session for each peer address. */
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import type { Client, Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { checkChange, checkSnapshot } from '../../configuration/recordSchemas.ts'
import * as wire from '../../generated/peer_pb.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { ExchangeSender } from '../../model/digest.ts'
import type { InstanceRef } from '../../model/identity.ts'
import type { Resources } from '../../model/resources.ts'
import type {
  ClaimEntry, ClaimOutcome, ExchangeAnswer, FetchedChanges, ForwardedRequest, PeerClient, RequestStatus, RunEvent
} from '../../ports/peerClient.ts'
import { PEER_SECRET_HEADER } from './connectPeerServer.ts'
import { decodeExchangeAnswer, encodeExchangeRequest } from './exchangeCodec.ts'
import { decodeResources, decodeRunEvent, encodeRef, encodeResources, parseJson } from './peerCodec.ts'
import { PeerSessions } from './peerSessions.ts'

interface Connection {
  readonly sessions: PeerSessions
  readonly client: Client<typeof wire.PeerService>
}

/** Timeout of unary calls; streams of forwarded requests have their own deadlines. */
const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** For calls in which the peer writes to the store before it responds. */
const STORE_CALL_TIMEOUT_MS = 2_000
/** Pings detect dead sessions while streams are open. */
const PING_INTERVAL_MS = 5_000
const PING_TIMEOUT_MS = 3_000

export class ConnectPeerClient implements PeerClient, Component {
  readonly name = 'peer client'
  readonly #secret: string
  readonly #callTimeoutMs: number
  readonly #connections = new Map<string, Connection>()
  #stopped = false

  constructor (secret: string, callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS) {
    this.#secret = secret
    this.#callTimeoutMs = callTimeoutMs
  }

  async start (): Promise<void> {}

  /** Ends all calls; later ones are refused, since nothing would close their sessions. */
  async stop (): Promise<void> {
    this.#stopped = true
    for (const { sessions } of this.#connections.values()) sessions.abort()
    this.#connections.clear()
  }

  async exchange (address: string, sender: ExchangeSender, registering: boolean, signal?: AbortSignal): Promise<ExchangeAnswer> {
    const response = await this.#connect(address).exchange(
      encodeExchangeRequest(sender, registering), { signal, timeoutMs: this.#callTimeoutMs })
    return decodeExchangeAnswer(response)
  }

  async * run (address: string, forwarded: ForwardedRequest, signal?: AbortSignal): AsyncIterable<RunEvent> {
    const { attemptId, team, remainingMs, hops } = forwarded
    const message = create(wire.RunRequestSchema, {
      attemptId,
      team,
      requestJson: JSON.stringify(forwarded.request),
      remainingMs,
      hops,
      configurationVersion: BigInt(forwarded.configurationVersion)
    })
    for await (const event of this.#connect(address).run(message, { signal })) {
      if (event.attemptId !== attemptId) throw new Error(`the peer at ${address} sent an event of another attempt`)
      yield decodeRunEvent(event)
    }
  }

  async cancel (address: string, team: string, requestId: string, attemptId: string, signal?: AbortSignal): Promise<boolean> {
    const message = create(wire.CancelRequestSchema, { team, requestId, attemptId })
    const response = await this.#connect(address).cancel(message, { signal, timeoutMs: this.#callTimeoutMs })
    return response.found
  }

  async find (address: string, team: string, requestId: string, signal?: AbortSignal): Promise<readonly RequestStatus[]> {
    const message = create(wire.FindRequestSchema, { team, requestId })
    const response = await this.#connect(address).find(message, { signal, timeoutMs: this.#callTimeoutMs })
    return response.statuses.map(({ instance, state, attemptId, target }) =>
      ({ instance, state: state as RequestStatus['state'], attemptId, target }))
  }

  async fetchChanges (address: string, afterVersion: number, signal?: AbortSignal): Promise<FetchedChanges> {
    const message = create(wire.FetchChangesRequestSchema, { afterVersion: BigInt(afterVersion) })
    const response = await this.#connect(address).fetchChanges(message, { signal, timeoutMs: this.#callTimeoutMs })
    if (response.snapshotJson !== '') return { type: 'snapshot', snapshot: checkSnapshot(parseJson(response.snapshotJson)) }
    return { type: 'changes', changes: response.changesJson.map(change => checkChange(parseJson(change))) }
  }

  async transferAllotment (address: string, receiver: InstanceRef, team: string, wanted: Resources, signal?: AbortSignal): Promise<Resources> {
    const message = create(wire.TransferAllotmentRequestSchema, {
      receiver: encodeRef(receiver), team, wanted: encodeResources(wanted)
    })
    const response = await this.#connect(address).transferAllotment(message, { signal, timeoutMs: STORE_CALL_TIMEOUT_MS })
    return decodeResources(response.given)
  }

  async claim (address: string, entries: readonly ClaimEntry[], signal?: AbortSignal): Promise<readonly ClaimOutcome[]> {
    const message = create(wire.ClaimRequestSchema, {
      entries: entries.map(entry => create(wire.ClaimEntrySchema, entry))
    })
    const response = await this.#connect(address).claim(message, { signal, timeoutMs: STORE_CALL_TIMEOUT_MS })
    return response.results.map(result => result === 'claimed' || result === 'duplicate' ? result : 'unavailable')
  }

  async handOver (address: string, from: InstanceRef, dataCentre: string, targets: readonly string[], signal?: AbortSignal): Promise<void> {
    const message = create(wire.HandOverRequestSchema, { from: encodeRef(from), dataCentre, targets: [...targets] })
    await this.#connect(address).handOver(message, { signal, timeoutMs: this.#callTimeoutMs })
  }

  #connect (address: string): Client<typeof wire.PeerService> {
    if (this.#stopped) throw new ConnectError('the peer client was stopped', Code.Canceled)
    const existing = this.#connections.get(address)
    if (existing !== undefined) return existing.client
    const baseUrl = `http://${address}`
    const sessions = new PeerSessions(baseUrl, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS })
    const authenticate: Interceptor = next => async request => {
      request.header.set(PEER_SECRET_HEADER, this.#secret)
      return await next(request)
    }
    const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager: sessions, interceptors: [authenticate] })
    const client = createClient(wire.PeerService, transport)
    this.#connections.set(address, { sessions, client })
    return client
  }
}
