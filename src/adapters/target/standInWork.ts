/** The simulated work of a stand-in target: the payload that describes it, and its answer. */
import { z } from 'zod'
import { resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'

const usageSchema = z.object({
  slots: z.number().nonnegative(),
  processors: z.number().nonnegative(),
  memory: z.number().nonnegative(),
  accelerators: z.number().nonnegative()
}).partial()

/** Maximum delay of a Node.js timer in milliseconds. */
const MAX_RUN_MS = 2 ** 31 - 1

const workSchema = z.object({
  /** Duration of the run in milliseconds. */
  runMs: z.number().min(0).max(MAX_RUN_MS).optional(),
  /** The value of the answer, sent as JSON. */
  answer: z.json().optional(),
  /** Size of a generated answer in bytes; takes precedence over `answer`. */
  bytes: z.number().int().nonnegative().optional(),
  /** Makes the run fail at its end, with this message if it is a string. */
  fail: z.union([z.boolean(), z.string()]).optional(),
  /** Actual usage while running; defaults to the size. */
  usage: usageSchema.optional()
})

/** A payload that stand-in targets interpret; any other payload is echoed immediately. */
export type StandInPayload = z.input<typeof workSchema>

export interface StandInWork {
  readonly runMs: number
  /** Undefined if the work succeeds. */
  readonly failure?: string
  /** Undefined if the usage equals the declared size. */
  readonly usage?: Resources
  readonly answer: StandInAnswer
}

export interface StandInAnswer {
  readonly contentType: string
  readonly byteCount: number
  readonly chunks: () => Iterable<Uint8Array>
}

const CHUNK_BYTES = 65_536
const FILLER = new Uint8Array(CHUNK_BYTES).fill('x'.charCodeAt(0))

/** Parses the work from a payload. */
export function parseWork (payload: unknown): StandInWork {
  const parsed = workSchema.safeParse(payload)
  if (!parsed.success) return { runMs: 0, answer: createJsonAnswer(payload) }
  const { runMs = 0, answer, bytes, fail = false, usage } = parsed.data
  return {
    runMs,
    failure: fail === false ? undefined : fail === true ? 'the work failed' : fail,
    usage: usage && resources(usage),
    answer: bytes === undefined ? createJsonAnswer(answer === undefined ? payload : answer) : createFilledAnswer(bytes)
  }
}

/** Creates an answer that contains the value as JSON. */
export function createJsonAnswer (value: unknown): StandInAnswer {
  const bytes = Buffer.from(JSON.stringify(value ?? null))
  return { contentType: 'application/json', byteCount: bytes.length, chunks: () => [bytes] }
}

function createFilledAnswer (byteCount: number): StandInAnswer {
  return { contentType: 'application/octet-stream', byteCount, chunks: () => fillChunks(byteCount) }
}

function * fillChunks (byteCount: number): Iterable<Uint8Array> {
  for (let remainingBytes = byteCount; remainingBytes > 0; remainingBytes -= CHUNK_BYTES) yield FILLER.subarray(0, Math.min(remainingBytes, CHUNK_BYTES))
}
