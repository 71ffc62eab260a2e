/** Encodes the messages between coordinators and relays compactly: texts of jobs once a batch, runs as rows. */
import { z } from 'zod'
import { RUN_ENDS, START_REFUSALS, STOP_OUTCOMES } from '../../ports/jobTarget.ts'
import type { TaskOrder } from '../../ports/jobTarget.ts'
import type { NumberedOrder, RelayAnswer, RelayBatch, RelayResult } from '../../relay/relayMessages.ts'

const timeSchema = z.object({ monotonicMs: z.number(), wallMs: z.number() })
const targetSchema = z.object({ address: z.string(), id: z.string(), bornMs: z.number() })
const startSchema = z.object({
  task: z.string(),
  attempt: z.number(),
  /** Position in `specs`. */
  spec: z.number().int().nonnegative(),
  leaseUntilTargetMs: z.number(),
  fencingToken: z.number(),
  checkpoint: z.string(),
  ticket: z.string().optional()
})
const stopSchema = z.object({ task: z.string(), attempt: z.number(), fencingToken: z.number() })
const renewSchema = z.object({ fencingToken: z.number(), acknowledged: z.number(), leaseUntilTargetMs: z.number().optional(), waitMs: z.number() })
const numbered = { number: z.number().int().positive(), target: targetSchema }
const orderSchema = z.discriminatedUnion('type', [
  z.object({ ...numbered, type: z.literal('start'), order: startSchema }),
  z.object({ ...numbered, type: z.literal('stop'), order: stopSchema }),
  z.object({ ...numbered, type: z.literal('renew'), order: renewSchema })
])
const batchSchema = z.object({
  fence: z.number(), channel: z.string(), validUntil: timeSchema.optional(), waitMs: z.number(), specs: z.array(z.string()), orders: z.array(orderSchema)
})

const runningSchema = z.tuple([z.string(), z.number(), z.string(), z.number()])
const finishedSchema = z.tuple([z.number(), z.string(), z.number(), z.enum(RUN_ENDS), z.string()])
const startOutcomeSchema = z.discriminatedUnion('outcome', [
  z.object({ outcome: z.literal('started'), clockMs: z.number() }),
  z.object({ outcome: z.literal('refused'), refusal: z.enum(START_REFUSALS) }),
  z.object({ outcome: z.literal('unknown'), message: z.string() })
])
const renewOutcomeSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('report'),
    bornMs: z.number(),
    clockMs: z.number(),
    running: z.array(runningSchema),
    finished: z.array(finishedSchema),
    /** Relays of earlier versions do not say it. */
    mayOmitFinished: z.boolean().default(true)
  }),
  z.object({ outcome: z.enum(['fenced', 'other-life']) }),
  z.object({ outcome: z.literal('failed'), message: z.string() })
])
const resultSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('start'), outcome: startOutcomeSchema }),
  z.object({ type: z.literal('stop'), outcome: z.enum(STOP_OUTCOMES) }),
  z.object({ type: z.literal('renew'), outcome: renewOutcomeSchema }),
  z.object({ type: z.enum(['not-sent', 'unanswered']), reason: z.string() })
])
const answerSchema = z.object({
  state: z.enum(['open', 'closing', 'superseded']), time: timeSchema, outcomes: z.array(z.object({ number: z.number(), result: resultSchema }))
})

type EncodedBatch = z.infer<typeof batchSchema>
type EncodedResult = z.infer<typeof resultSchema>

/** Schema of an encoded batch, which decodes it. */
export const relayBatchSchema: z.ZodType<RelayBatch> = batchSchema.refine(
  ({ specs, orders }) => orders.every(order => order.type !== 'start' || order.order.spec < specs.length), 'an order names a text that is not in the batch'
).transform(({ specs, orders, ...batch }): RelayBatch => ({ ...batch, orders: orders.map(order => decodeOrder(order, specs)) }))

/** Schema of an encoded answer, which decodes it. */
export const relayAnswerSchema: z.ZodType<RelayAnswer> = answerSchema.transform(({ outcomes, ...answer }): RelayAnswer =>
  ({ ...answer, outcomes: outcomes.map(({ number, result }) => ({ number, result: decodeResult(result) })) }))

export function encodeRelayBatch ({ orders, ...batch }: RelayBatch): EncodedBatch {
  const positions = new Map<string, number>()
  const encodeStart = ({ spec, ...order }: TaskOrder): z.infer<typeof startSchema> => {
    const position = positions.get(spec) ?? positions.size
    positions.set(spec, position)
    return { ...order, spec: position }
  }
  const encoded = orders.map(numberedOrder => numberedOrder.type === 'start' ? { ...numberedOrder, order: encodeStart(numberedOrder.order) } : numberedOrder)
  return { ...batch, specs: [...positions.keys()], orders: encoded }
}

export function encodeRelayAnswer ({ outcomes, ...answer }: RelayAnswer): z.infer<typeof answerSchema> {
  return { ...answer, outcomes: outcomes.map(({ number, result }) => ({ number, result: encodeResult(result) })) }
}

function decodeOrder (order: EncodedBatch['orders'][number], specs: readonly string[]): NumberedOrder {
  return order.type === 'start' ? { ...order, order: { ...order.order, spec: specs[order.order.spec] ?? '' } } : order
}

function encodeResult (result: RelayResult): EncodedResult {
  if (result.type !== 'renew' || result.outcome.outcome !== 'report') return result as EncodedResult
  const { bornMs, clockMs, running, finished, mayOmitFinished } = result.outcome.report
  return {
    type: 'renew',
    outcome: {
      outcome: 'report',
      bornMs,
      clockMs,
      running: running.map(({ task, attempt, checkpoint, percent }) => [task, attempt, checkpoint, percent]),
      finished: finished.map(({ number, task, attempt, end, checkpoint }) => [number, task, attempt, end, checkpoint]),
      mayOmitFinished
    }
  }
}

function decodeResult (result: EncodedResult): RelayResult {
  if (result.type !== 'renew') return result
  const { outcome } = result
  if (outcome.outcome !== 'report') return { type: 'renew', outcome }
  const { bornMs, clockMs, running, finished, mayOmitFinished } = outcome
  return {
    type: 'renew',
    outcome: {
      outcome: 'report',
      report: {
        bornMs,
        clockMs,
        running: running.map(([task, attempt, checkpoint, percent]) => ({ task, attempt, checkpoint, percent })),
        finished: finished.map(([number, task, attempt, end, checkpoint]) => ({ number, task, attempt, end, checkpoint })),
        mayOmitFinished
      }
    }
  }
}
