/** Open-loop load: requests start at their intended times, regardless of earlier requests. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { RefusalError } from '../src/model/errors.ts'
import type { Resources } from '../src/model/resources.ts'
import type { KindName } from '../src/model/request.ts'
import type { Random } from '../src/ports/random.ts'
import type { BenchCluster, BenchInstance } from './cluster.ts'

export interface RequestSpec {
  readonly team: string
  readonly kind: KindName
  readonly size: Partial<Resources>
  readonly runMs: number
  readonly deadlineMs: number
  readonly repeatable?: boolean
  readonly tasks?: number
  readonly name?: string
  /** Actual resource usage; defaults to the size. */
  readonly use?: Partial<Resources>
}

/** Results of one stream of requests; times in microseconds from the intended start. */
export class Outcomes {
  /** Time until a target started the task: the arrival of the response head minus the declared run time. */
  readonly waitHistogram: Histogram = build({ numberOfSignificantValueDigits: 3 })
  readonly refusals = new Map<string, number>()
  sent = 0
  finished = 0

  recordRefusal (code: string): void {
    this.refusals.set(code, (this.refusals.get(code) ?? 0) + 1)
  }

  waitMs (percentile: number): number {
    return this.waitHistogram.getValueAtPercentile(percentile) / 1_000
  }
}

export interface RequestStream {
  readonly perSecond: number
  readonly durationMs: number
  create (index: number): RequestSpec
  readonly outcomes: Outcomes
  readonly random: Random
  /** Selects the instance for each request; a random one by default. */
  chooseInstance? (cluster: BenchCluster, random: Random): BenchInstance
  onSent? (id: string, spec: RequestSpec): void
  onEnded? (id: string): void
}

let sequence = 0

export function nextRequestId (): string {
  return `request-${sequence++}`
}

/** Sends one request and records its outcome. */
export async function sendRequest (cluster: BenchCluster, entry: BenchInstance, spec: RequestSpec, outcomes: Outcomes, intendedAt: number, id = nextRequestId()): Promise<void> {
  const { team, runMs, use, repeatable = true, ...rest } = spec
  const body = { ...rest, id, queue: team, repeatable, payload: { runMs, answer: 1, usage: use } }
  outcomes.sent++
  try {
    for await (const event of entry.instance.callers.run(undefined, body, new AbortController().signal)) {
      if (event.type !== 'head') continue
      const ranMs = spec.kind === 'service' || spec.kind === 'gang' ? 0 : runMs
      outcomes.waitHistogram.recordValue(Math.max(1, Math.round((cluster.clock.monotonicMs() - intendedAt - ranMs) * 1_000)))
    }
    outcomes.finished++
  } catch (error) {
    outcomes.recordRefusal(error instanceof RefusalError ? error.code : 'error')
  }
}

/** Sends requests at exponentially distributed intervals; resolves when the last one has ended. */
export async function runStream (cluster: BenchCluster, stream: RequestStream): Promise<void> {
  const { perSecond, durationMs, random, outcomes } = stream
  const startedAt = cluster.clock.monotonicMs()
  const open = new Set<Promise<void>>()
  let intendedAt = startedAt
  for (let index = 0; ; index++) {
    intendedAt += -Math.log(1 - random.next()) * 1_000 / perSecond
    if (intendedAt > startedAt + durationMs) break
    const waitMs = intendedAt - cluster.clock.monotonicMs()
    if (waitMs > 0) await cluster.clock.sleep(waitMs)
    const entry = stream.chooseInstance?.(cluster, random) ?? cluster.instances[random.integer(cluster.instances.length)]!
    const spec = stream.create(index)
    const id = nextRequestId()
    stream.onSent?.(id, spec)
    const done: Promise<void> = sendRequest(cluster, entry, spec, outcomes, intendedAt, id).finally(() => {
      stream.onEnded?.(id)
      open.delete(done)
    })
    open.add(done)
  }
  await Promise.all(open)
}
