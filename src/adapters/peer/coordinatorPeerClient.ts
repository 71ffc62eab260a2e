/** An HTTP client for the job calls between instances. */
import { z } from 'zod'
import type { CoordinatorInfo } from '../../coordinator/log/election.ts'
import type { CallerCall, CoordinatorAnswer } from '../../entry/callerCall.ts'
import { JOB_STATES } from '../../jobs/job.ts'
import type { Component } from '../../lifecycle/component.ts'
import { CallNotSentError } from '../../entry/callNotSentError.ts'
import { BaseError } from '../../model/errors.ts'
import type { TimerClock } from '../../ports/clock.ts'
import type { CoordinatorPeer, CoordinatorPeers, InstanceReport, ReportAnswer } from '../../ports/coordinatorPeer.ts'
import type { AdviceQuestion, AllowedTarget } from '../../ports/placementAdvisor.ts'
import type { RelayAnswer, RelayBatch } from '../../relay/relayMessages.ts'
import { HttpClient, NotSentError } from '../http/httpClient.ts'
import { coordinatorSchema, PEER_PATHS } from './coordinatorPeerPaths.ts'
import { encodeRelayBatch, relayAnswerSchema } from './relayCodec.ts'

const CONNECT_TIMEOUT_MS = 600
/** The coordinator answers a call that takes longer than 200 ms with `underway`. */
const HANDLE_TIMEOUT_MS = 1_200
const REPORT_TIMEOUT_MS = 600
/** For calls in which the peer makes one call to the store. */
const STORE_CALL_TIMEOUT_MS = 1_000
/** Added to the expected time of the advisor. */
const ADVICE_MARGIN_MS = 1_800
/** Added to the time for which a relay may wait for an outcome. */
const RELAY_MARGIN_MS = 700
const ANNOUNCE_TIMEOUT_MS = 600
const IDLE_CONNECTION_MS = 30_000
/** Maximum concurrent calls from one instance to another; further calls are queued. */
const MAX_CONNECTIONS = 32

const answerSchema: z.ZodType<CoordinatorAnswer> = z.discriminatedUnion('outcome', [
  z.object({ outcome: z.enum(['accepted', 'cancelled', 'no-queue', 'no-job', 'unauthenticated', 'underway']) }),
  z.object({ outcome: z.literal('state'), state: z.enum(JOB_STATES) }),
  z.object({ outcome: z.literal('pending'), pending: z.number() }),
  z.object({ outcome: z.enum(['invalid', 'unknown']), message: z.string() }),
  z.object({ outcome: z.enum(['unavailable', 'limited']), message: z.string(), retryAfterSeconds: z.number(), absent: z.boolean().optional() })
])
const answersSchema = z.object({ answers: z.array(answerSchema) })
const reportAnswerSchema: z.ZodType<ReportAnswer> = z.object({
  coordinator: coordinatorSchema.optional(),
  desiredState: z.object({ version: z.number(), maximumBodyBytes: z.number() }),
  peers: z.array(z.string()).optional(),
  relayCandidates: z.array(z.object({ address: z.string(), region: z.string(), processors: z.number() })).optional(),
  peersDigest: z.string(),
  largestProcessors: z.number()
})
const releaseAnswerSchema = z.object({ released: z.boolean() })
const reachesStoreSchema = z.object({ reachesStore: z.boolean() })
const adviceAnswerSchema = z.object({ allowed: z.array(z.object({ target: z.string(), ticket: z.string() })) })

export class CoordinatorPeerClient implements CoordinatorPeers, Component {
  readonly name = 'coordinator peer client'
  readonly #clock: TimerClock
  readonly #peers = new Map<string, HttpCoordinatorPeer>()

  constructor (clock: TimerClock) {
    this.#clock = clock
  }

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    const peers = [...this.#peers.values()]
    this.#peers.clear()
    await Promise.all(peers.map(async peer => await peer.close()))
  }

  connect (address: string): CoordinatorPeer {
    const existing = this.#peers.get(address)
    if (existing !== undefined) return existing
    const peer = new HttpCoordinatorPeer(address, this.#clock)
    this.#peers.set(address, peer)
    return peer
  }
}

class HttpCoordinatorPeer implements CoordinatorPeer {
  readonly #address: string
  readonly #client: HttpClient

  constructor (address: string, clock: TimerClock) {
    this.#address = address
    this.#client = new HttpClient({
      address, clock, connections: MAX_CONNECTIONS, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleConnectionMs: IDLE_CONNECTION_MS
    })
  }

  async handleAll (fence: number, calls: readonly CallerCall[]): Promise<readonly CoordinatorAnswer[]> {
    try {
      return (await this.#post(PEER_PATHS.handle, { fence, calls }, HANDLE_TIMEOUT_MS, answersSchema)).answers
    } catch (error) {
      if (error instanceof NotSentError) throw new CallNotSentError('the coordinator can not be reached:', { cause: error })
      throw error
    }
  }

  async report (report: InstanceReport): Promise<ReportAnswer> {
    return await this.#post(PEER_PATHS.report, report, REPORT_TIMEOUT_MS, reportAnswerSchema)
  }

  async release (lease: number): Promise<boolean> {
    return (await this.#post(PEER_PATHS.release, { lease }, STORE_CALL_TIMEOUT_MS, releaseAnswerSchema)).released
  }

  async reachesStore (): Promise<boolean> {
    return (await this.#post(PEER_PATHS.reachesStore, {}, STORE_CALL_TIMEOUT_MS, reachesStoreSchema)).reachesStore
  }

  async advise (question: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    return (await this.#post(PEER_PATHS.advise, question, question.expectedMs + ADVICE_MARGIN_MS, adviceAnswerSchema)).allowed
  }

  async relay (batch: RelayBatch): Promise<RelayAnswer> {
    return await this.#post(PEER_PATHS.relay, encodeRelayBatch(batch), batch.waitMs + RELAY_MARGIN_MS, relayAnswerSchema)
  }

  async announce (coordinator: CoordinatorInfo): Promise<void> {
    await this.#post(PEER_PATHS.announce, coordinator, ANNOUNCE_TIMEOUT_MS, z.object({}))
  }

  async close (): Promise<void> {
    await this.#client.close()
  }

  async #post<Answer> (path: string, body: unknown, timeoutMs: number, schema: z.ZodType<Answer>): Promise<Answer> {
    const response = await this.#client.callOptionalJson({ method: 'POST', path, body, timeoutMs })
    const parsed = schema.safeParse(response.body)
    if (response.status !== 200 || !parsed.success) throw new BaseError(`the instance at ${this.#address} responded with status ${response.status} to ${path}`)
    return parsed.data
  }
}
