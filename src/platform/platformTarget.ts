/** HTTP client of a target that runs tasks of jobs. */
import { z } from 'zod'
import { NotSentError } from '../adapters/http/httpClient.ts'
import type { JsonResponse } from '../adapters/http/httpClient.ts'
import type { TimerClock } from '../ports/clock.ts'
import { RUN_ENDS } from '../ports/jobTarget.ts'
import type {
  JobTargetClient, RenewOrder, RenewOutcome, StartOutcome, StartRefusal, StopOrder, StopOutcome, TargetIncarnation, TargetReport, TaskOrder
} from '../ports/jobTarget.ts'
import { PlatformHttpClient } from './platformHttpClient.ts'

const INCARNATION_HEADER = 'x-agategauge-expect-instance'

/** Long enough for a slow target in another region. An order that is not answered in this time is withdrawn. */
const ORDER_TIMEOUT_MS = 1_000
/** Added to the time for which a target may delay its answer to a renewal. */
const RENEW_TIMEOUT_MARGIN_MS = 1_200
/** A target returns at most this many finished runs at a time. */
const MAX_FINISHED_PER_REPORT = 500
/** Kept low because a target accepts only 64 connections from all instances together. */
const MAX_CONNECTIONS_PER_TARGET = 10

const clockSchema = z.object({ clock_ms: z.number() })
const refusalSchema = z.object({ reason: z.string() })
const runningSchema = z.tuple([z.string(), z.number(), z.string(), z.number()]).rest(z.unknown())
const finishedSchema = z.tuple([z.number(), z.string(), z.number(), z.enum(RUN_ENDS), z.string()]).rest(z.unknown())
const reportSchema = z.object({
  clock_ms: z.number(),
  born: z.number().int().positive(),
  running: z.array(runningSchema).default([]),
  finished: z.array(finishedSchema).default([])
})

const REFUSAL_BY_REASON: Readonly<Record<string, StartRefusal>> = {
  fence: 'fenced', old: 'superseded', late: 'too-late', room: 'no-room', ticket: 'ticket'
}

/** Sends start, stop and renew calls to one incarnation of a target. */
export class PlatformTarget implements JobTargetClient {
  readonly #client: PlatformHttpClient
  readonly #incarnation: TargetIncarnation

  constructor (address: string, incarnation: TargetIncarnation, clock: TimerClock) {
    this.#client = new PlatformHttpClient(address, clock, MAX_CONNECTIONS_PER_TARGET)
    this.#incarnation = incarnation
  }

  async start (order: TaskOrder): Promise<StartOutcome> {
    let answer: JsonResponse
    try {
      answer = await this.#post('/-/run-start', ORDER_TIMEOUT_MS, {
        task: order.task,
        attempt: order.attempt,
        spec: order.spec,
        deadline_ms: order.leaseUntilTargetMs,
        fencing_token: order.fencingToken,
        ...(order.checkpoint === '' ? {} : { checkpoint: order.checkpoint }),
        ...(order.ticket === undefined ? {} : { ticket: order.ticket })
      })
    } catch (error) {
      if (error instanceof NotSentError) return { outcome: 'refused', refusal: 'unhealthy' }
      return { outcome: 'unknown', message: String(error) }
    }
    return decodeStart(answer)
  }

  async stop ({ task, attempt, fencingToken }: StopOrder): Promise<StopOutcome> {
    try {
      const { status, body } = await this.#post('/-/run-stop', ORDER_TIMEOUT_MS, { task, attempt, fencing_token: fencingToken })
      if (status === 200) return 'stopping'
      if (status === 421) return 'other-life'
      return status === 409 && refusalSchema.safeParse(body).data?.reason === 'fence' ? 'fenced' : 'unknown'
    } catch {
      // The caller repeats a stop that was not answered.
      return 'unknown'
    }
  }

  async renew ({ fencingToken, acknowledged, leaseUntilTargetMs, waitMs }: RenewOrder): Promise<RenewOutcome> {
    try {
      const { status, body } = await this.#post('/-/hold', waitMs + RENEW_TIMEOUT_MARGIN_MS, {
        fencing_token: fencingToken,
        acked: acknowledged,
        ...(leaseUntilTargetMs === undefined ? {} : { deadline_ms: leaseUntilTargetMs }),
        ...(waitMs > 0 ? { wait_ms: waitMs } : {})
      })
      if (status === 421) return { outcome: 'other-life' }
      if (status === 409) return { outcome: 'fenced' }
      const parsed = reportSchema.safeParse(body)
      if (status !== 200 || !parsed.success) return { outcome: 'failed', message: `unexpected answer of the target, with status ${status}` }
      return { outcome: 'report', report: decodeReport(parsed.data) }
    } catch (error) {
      return { outcome: 'failed', message: String(error) }
    }
  }

  async close (): Promise<void> {
    await this.#client.close()
  }

  async #post (path: string, timeoutMs: number, body: unknown): Promise<JsonResponse> {
    return await this.#client.call({ method: 'POST', path, body, timeoutMs, headers: { [INCARNATION_HEADER]: this.#incarnation.id } })
  }
}

function decodeStart ({ status, body }: JsonResponse): StartOutcome {
  if (status === 200) {
    const parsed = clockSchema.safeParse(body)
    return { outcome: 'started', clockMs: parsed.data?.clock_ms ?? 0 }
  }
  if (status === 421) return { outcome: 'refused', refusal: 'other-life' }
  if (status === 429 || status === 503) return { outcome: 'refused', refusal: 'unhealthy' }
  if (status === 400) return { outcome: 'refused', refusal: 'invalid' }
  const reason = refusalSchema.safeParse(body).data?.reason
  const refusal = reason === undefined ? undefined : REFUSAL_BY_REASON[reason]
  if (status === 409 && refusal !== undefined) return { outcome: 'refused', refusal }
  return { outcome: 'unknown', message: `unexpected answer of the target, with status ${status}` }
}

function decodeReport (report: z.infer<typeof reportSchema>): TargetReport {
  return {
    bornMs: report.born,
    clockMs: report.clock_ms,
    running: report.running.map(([task, attempt, checkpoint, percent]) => ({ task, attempt, checkpoint, percent })),
    finished: report.finished.map(([number, task, attempt, end, checkpoint]) => ({ number, task, attempt, end, checkpoint })),
    mayOmitFinished: report.finished.length >= MAX_FINISHED_PER_REPORT
  }
}
