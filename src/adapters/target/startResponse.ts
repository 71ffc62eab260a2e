/** Reads a target's answer to a start, and takes nothing for certain that the answer does not say. */
import type { StartResult, TargetRefusal } from '../../ports/targetClient.ts'
import type { HttpResponse } from '../http/httpClient.ts'
import { IncompleteAnswerError } from './targetErrors.ts'
import { FAILED_STATUS, REFUSAL_STATUS, TASK_ID_HEADER, failureSchema } from './targetProtocol.ts'

const REFUSAL_BY_STATUS: ReadonlyMap<number, TargetRefusal> =
  new Map(Object.entries(REFUSAL_STATUS).map(([refusal, status]) => [status, refusal as TargetRefusal]))

/**
 * Turns the response into a result. A refusal or failure counts only if it echoes the identity of
 * the attempt; an answer keeps the identity that it echoes, which the caller compares.
 */
export async function readStartResponse (response: HttpResponse, taskId: string): Promise<StartResult> {
  const status = response.statusCode
  const echoed = readEchoedTaskId(response)
  if (status === 200) {
    if (echoed === undefined) return await discard(response, 'the answer names no task')
    if (!isBodyDelimited(response)) return await discard(response, 'the answer announces no end')
    const contentType = readHeader(response, 'content-type') ?? 'application/octet-stream'
    return { outcome: 'started', answer: { taskId: echoed, contentType, body: readBody(response) } }
  }
  const body = await response.body.json()
  const refusal = REFUSAL_BY_STATUS.get(status)
  if (echoed !== taskId) return { outcome: 'unknown', message: `status ${status} for another task: ${echoed}` }
  if (refusal !== undefined) return { outcome: 'refused', refusal }
  const failure = failureSchema.safeParse(body)
  if (status === FAILED_STATUS && failure.success) return { outcome: 'failed', message: failure.data.message }
  return { outcome: 'unknown', message: `unexpected status ${status}: ${JSON.stringify(body)}` }
}

async function * readBody (response: HttpResponse): AsyncIterable<Uint8Array> {
  try {
    for await (const chunk of response.body) yield chunk as Uint8Array
  } catch (error) {
    throw new IncompleteAnswerError('the answer is not whole:', { cause: error })
  }
}

async function discard (response: HttpResponse, message: string): Promise<StartResult> {
  // The error of the destroyed stream reaches only this listener.
  response.body.on('error', () => {}).destroy()
  return { outcome: 'unknown', message }
}

function isBodyDelimited (response: HttpResponse): boolean {
  const coding = readHeader(response, 'transfer-encoding')
  return readHeader(response, 'content-length') !== undefined || coding?.toLowerCase().endsWith('chunked') === true
}

function readEchoedTaskId (response: HttpResponse): string | undefined {
  const echoed = readHeader(response, TASK_ID_HEADER)
  try {
    return echoed === undefined ? undefined : decodeURIComponent(echoed)
  } catch {
    return undefined
  }
}

function readHeader (response: HttpResponse, name: string): string | undefined {
  const value = response.headers[name]
  return typeof value === 'string' ? value : value?.[0]
}
