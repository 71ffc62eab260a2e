/** Interprets a target's response to a start; whatever the response does not state is reported as unknown. */
import type { StartResult, TargetRefusal } from '../../ports/targetClient.ts'
import type { HttpResponse } from '../http/httpClient.ts'
import { IncompleteAnswerError } from './targetErrors.ts'
import { FAILED_STATUS, REFUSAL_STATUS, TASK_ID_HEADER, failureSchema } from './targetProtocol.ts'

const REFUSAL_BY_STATUS: ReadonlyMap<number, TargetRefusal> =
  new Map(Object.entries(REFUSAL_STATUS).map(([refusal, status]) => [status, refusal as TargetRefusal]))

/**
 * Converts the response into a result. A refusal or failure is accepted only if it echoes the task
 * identity; an answer carries the identity that it echoes, for the caller to compare.
 */
export async function readStartResponse (response: HttpResponse, taskId: string): Promise<StartResult> {
  const status = response.statusCode
  const echoed = readEchoedTaskId(response)
  if (status === 200) {
    if (echoed === undefined) return await discard(response, 'the response has no valid task identity')
    if (!isBodyDelimited(response)) return await discard(response, 'the response declares neither a content length nor a chunked encoding')
    const contentType = readHeader(response, 'content-type') ?? 'application/octet-stream'
    return { outcome: 'started', answer: { taskId: echoed, contentType, body: readBody(response) } }
  }
  const body = await response.body.json()
  const refusal = REFUSAL_BY_STATUS.get(status)
  if (echoed !== taskId) return { outcome: 'unknown', message: `response with status ${status} for another task: ${echoed}` }
  if (refusal !== undefined) return { outcome: 'refused', refusal }
  const failure = failureSchema.safeParse(body)
  if (status === FAILED_STATUS && failure.success) return { outcome: 'failed', message: failure.data.message }
  return { outcome: 'unknown', message: `unexpected status ${status}: ${JSON.stringify(body)}` }
}

async function * readBody (response: HttpResponse): AsyncIterable<Uint8Array> {
  try {
    for await (const chunk of response.body) yield chunk as Uint8Array
  } catch (error) {
    throw new IncompleteAnswerError('the response body is incomplete:', { cause: error })
  }
}

async function discard (response: HttpResponse, message: string): Promise<StartResult> {
  // Destroying the stream may emit an error, which would be uncaught without this listener.
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
