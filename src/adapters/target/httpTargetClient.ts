/** An HTTP client for targets, with limited connection pools for each target. */
import { z } from 'zod'
import { InputError, RefusalError } from '../../model/errors.ts'
import { SystemClock } from '../clock/systemClock.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { TimerClock } from '../../ports/clock.ts'
import type { FenceResult, StartResult, TargetClient, TaskCommand, TaskStart } from '../../ports/targetClient.ts'
import { HttpClient, NotSentError } from '../http/httpClient.ts'
import type { CallOptions, JsonResponse } from '../http/httpClient.ts'
import { readStartResponse } from './startResponse.ts'
import { TargetUnknownError, TargetUnreachableError } from './targetErrors.ts'
import { REFUSAL_STATUS, fencedSchema, refusedFenceSchema, reportSchema, unknownTaskSchema, usageSchema } from './targetProtocol.ts'

const DEFAULT_CALL_TIMEOUT_MS = 2_000
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000

/** Idle connections are closed early, since the target counts them and may get another owner. */
const IDLE_CONNECTION_MS = 4_000

/** Connections per target reserved for calls other than starts, so that renewals do not queue behind long runs. */
const CONTROL_CONNECTIONS = 2

export interface HttpTargetClientOptions {
  /** Timeout for each call other than a start, which is limited by its signal. */
  readonly callTimeoutMs?: number
  readonly connectTimeoutMs?: number
  /** Defaults to the system clock. */
  readonly clock?: TimerClock
}

interface TargetPools {
  readonly address: string
  readonly starts: HttpClient
  readonly control: HttpClient
}

/**
 * Implements the stand-in target protocol. A start has no timeout of its own: pass a signal. The body
 * of an answer must be read to its end or its iteration ended, otherwise its connection stays in use.
 *
 * @example
 * const client = new HttpTargetClient()
 * const result = await client.start(target, taskStart, AbortSignal.timeout(remainingMs))
 */
export class HttpTargetClient implements TargetClient {
  /** Closes the connections when the process stops. */
  readonly component: Component = {
    name: 'target client',
    start: async () => {},
    stop: () => this.close()
  }

  readonly #callTimeoutMs: number
  readonly #connectTimeoutMs: number
  readonly #clock: TimerClock
  readonly #pools = new Map<string, TargetPools>()

  constructor (options: HttpTargetClientOptions = {}) {
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS
    this.#connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS
    this.#clock = options.clock ?? new SystemClock()
  }

  async fence (target: TargetInfo, epoch: number, signal?: AbortSignal): Promise<FenceResult> {
    const { status, body } = await this.#call(target, { method: 'POST', path: '/v1/fence', body: { epoch }, signal })
    if (status === REFUSAL_STATUS.fenced) {
      return { outcome: 'refused', highestEpoch: parse(target, refusedFenceSchema, body).highestEpoch }
    }
    checkStatus(target, status, body)
    return { outcome: 'fenced', tasks: parse(target, fencedSchema, body).tasks }
  }

  async start (target: TargetInfo, start: TaskStart, signal?: AbortSignal): Promise<StartResult> {
    try {
      const response = await this.#getPools(target).starts.call({ method: 'POST', path: '/v1/tasks', body: start, signal })
      return await readStartResponse(response, start.taskId)
    } catch (error) {
      const { message } = error as Error
      return { outcome: error instanceof NotSentError ? 'unreachable' : 'unknown', message }
    }
  }

  async renew (target: TargetInfo, taskId: string, epoch: number, leaseMs: number, signal?: AbortSignal): Promise<TaskReport | undefined> {
    return await this.#callTask(target, { method: 'POST', path: `${taskPath(taskId)}/renew`, body: { epoch, leaseMs }, signal })
  }

  async command (target: TargetInfo, taskId: string, epoch: number, command: TaskCommand, signal?: AbortSignal): Promise<TaskReport | undefined> {
    return await this.#callTask(target, { method: 'POST', path: `${taskPath(taskId)}/${command}`, body: { epoch }, signal })
  }

  async inspect (target: TargetInfo, taskId: string, signal?: AbortSignal): Promise<TaskReport | undefined> {
    return await this.#callTask(target, { method: 'GET', path: taskPath(taskId), signal })
  }

  async usage (target: TargetInfo, signal?: AbortSignal): Promise<readonly TaskReport[]> {
    const { status, body } = await this.#call(target, { method: 'GET', path: '/v1/usage', signal })
    checkStatus(target, status, body)
    return parse(target, usageSchema, body).tasks
  }

  /** Closes the connections to a target that is no longer owned; calls in progress fail. */
  async release (targetId: string): Promise<void> {
    const pools = this.#pools.get(targetId)
    this.#pools.delete(targetId)
    if (pools !== undefined) await closePools(pools)
  }

  /** Closes every connection; calls in progress fail. */
  async close (): Promise<void> {
    await Promise.all([...this.#pools.keys()].map(targetId => this.release(targetId)))
  }

  async #callTask (target: TargetInfo, options: CallOptions): Promise<TaskReport | undefined> {
    const { status, body } = await this.#call(target, options)
    if (status === REFUSAL_STATUS['unknown-task'] && unknownTaskSchema.safeParse(body).success) return undefined
    checkStatus(target, status, body)
    return parse(target, reportSchema, body)
  }

  async #call (target: TargetInfo, options: CallOptions): Promise<JsonResponse> {
    try {
      return await this.#getPools(target).control.callJson({ ...options, timeoutMs: this.#callTimeoutMs })
    } catch (error) {
      const ErrorClass = error instanceof NotSentError ? TargetUnreachableError : TargetUnknownError
      throw new ErrorClass(`target ${target.id}:`, { cause: error })
    }
  }

  #getPools (target: TargetInfo): TargetPools {
    const { id, address, connections } = target
    const existing = this.#pools.get(id)
    if (existing?.address === address) return existing
    if (existing !== undefined) closePools(existing).catch(() => {})
    const createPool = (limit: number): HttpClient => new HttpClient({
      address,
      clock: this.#clock,
      connections: limit,
      connectTimeoutMs: this.#connectTimeoutMs,
      idleConnectionMs: IDLE_CONNECTION_MS
    })
    const controlConnections = Math.min(CONTROL_CONNECTIONS, Math.floor(connections / 2))
    const starts = createPool(connections - controlConnections)
    const pools = { address, starts, control: controlConnections === 0 ? starts : createPool(controlConnections) }
    this.#pools.set(id, pools)
    return pools
  }
}

async function closePools ({ starts, control }: TargetPools): Promise<void> {
  await starts.close()
  if (control !== starts) await control.close()
}

function taskPath (taskId: string): string {
  return `/v1/tasks/${encodeURIComponent(taskId)}`
}

function checkStatus (target: TargetInfo, status: number, body: unknown): void {
  if (status === 200) return
  const message = `target ${target.id} responded with status ${status}: ${JSON.stringify(body)}`
  if (status === REFUSAL_STATUS.fenced) throw new RefusalError(message, { code: 'fenced', verdict: 'may-have-run' })
  if (status === 400) throw new InputError(message)
  throw new TargetUnknownError(message)
}

function parse<T> (target: TargetInfo, schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body)
  if (!parsed.success) throw new TargetUnknownError(`target ${target.id} sent an invalid response: ${z.prettifyError(parsed.error)}`)
  return parsed.data
}
