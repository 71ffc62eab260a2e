/** Open-loop load: requests start at their intended times, whatever becomes of earlier ones. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { RefusalError } from '../src/model/errors.ts'
import type { Resources } from '../src/model/resources.ts'
import type { KindName } from '../src/model/request.ts'
import type { Random } from '../src/ports/random.ts'
import type { BenchCell, CellInstance } from './cell.ts'

export interface Shape {
  readonly team: string
  readonly kind: KindName
  readonly size: Partial<Resources>
  readonly runMs: number
  readonly deadlineMs: number
  readonly repeatable?: boolean
  readonly tasks?: number
  readonly name?: string
  /** True use; the size if left out. */
  readonly use?: Partial<Resources>
}

/** Outcomes of one stream of requests; times in microseconds from the intended start. */
export class Outcomes {
  /** Until a target began the work: the answer's head less the declared run time. */
  readonly waits: Histogram = build({ numberOfSignificantValueDigits: 3 })
  readonly refusals = new Map<string, number>()
  sent = 0
  finished = 0

  refuse (code: string): void {
    this.refusals.set(code, (this.refusals.get(code) ?? 0) + 1)
  }

  waitMs (percentile: number): number {
    return this.waits.getValueAtPercentile(percentile) / 1_000
  }
}

export interface Stream {
  readonly perSecond: number
  readonly durationMs: number
  create (index: number): Shape
  readonly outcomes: Outcomes
  readonly random: Random
  /** Instances that take the requests; read anew for each. */
  pick? (cell: BenchCell, random: Random): CellInstance
  onOpen? (id: string, shape: Shape): void
  onClosed? (id: string): void
}

let sequence = 0

export function nextRequestId (): string {
  return `request-${sequence++}`
}

/** Sends one request and records its outcome. */
export async function sendOne (cell: BenchCell, entry: CellInstance, shape: Shape, outcomes: Outcomes, intendedAt: number, id = nextRequestId()): Promise<void> {
  const { team, runMs, use, repeatable = true, ...rest } = shape
  const body = { ...rest, id, queue: team, repeatable, payload: { runMs, answer: 1, usage: use } }
  outcomes.sent++
  try {
    for await (const event of entry.instance.callers.run(undefined, body, new AbortController().signal)) {
      if (event.type !== 'head') continue
      const ranMs = shape.kind === 'service' || shape.kind === 'gang' ? 0 : runMs
      outcomes.waits.recordValue(Math.max(1, Math.round((cell.clock.monotonicMs() - intendedAt - ranMs) * 1_000)))
    }
    outcomes.finished++
  } catch (error) {
    outcomes.refuse(error instanceof RefusalError ? error.code : 'error')
  }
}

/** Exponential gaps between arrivals; resolves when the last request of the stream has ended. */
export async function runStream (cell: BenchCell, stream: Stream): Promise<void> {
  const { perSecond, durationMs, random, outcomes } = stream
  const startedAt = cell.clock.monotonicMs()
  const open = new Set<Promise<void>>()
  let intendedAt = startedAt
  for (let index = 0; ; index++) {
    intendedAt += -Math.log(1 - random.next()) * 1_000 / perSecond
    if (intendedAt > startedAt + durationMs) break
    const waitMs = intendedAt - cell.clock.monotonicMs()
    if (waitMs > 0) await cell.clock.sleep(waitMs)
    const entry = stream.pick?.(cell, random) ?? cell.instances[random.integer(cell.instances.length)]!
    const shape = stream.create(index)
    const id = nextRequestId()
    stream.onOpen?.(id, shape)
    const done: Promise<void> = sendOne(cell, entry, shape, outcomes, intendedAt, id).finally(() => {
      stream.onClosed?.(id)
      open.delete(done)
    })
    open.add(done)
  }
  await Promise.all(open)
}
