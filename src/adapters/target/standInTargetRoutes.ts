/** The HTTP routes of a stand-in target. */
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { RefusalError } from '../../model/errors.ts'
import type { TaskCommand } from '../../ports/targetClient.ts'
import { parseInput } from '../http/parseInput.ts'
import type { RouteRequest, RouteHandler, RouteResponse, Route } from '../http/routes.ts'
import type { StandInTarget } from './standInTarget.ts'
import type { StandInAnswer } from './standInWork.ts'
import { FAILED_STATUS, REFUSAL_STATUS, TASK_ID_HEADER, fenceSchema, renewSchema, startSchema } from './targetProtocol.ts'

const COMMANDS: readonly TaskCommand[] = ['stop', 'checkpoint', 'throttle']

/** Creates the routes of one target. */
export function createTargetRoutes (target: StandInTarget): readonly Route[] {
  return [
    { method: 'GET', pattern: '/v1/target', handle: async () => ({ status: 200, body: target.info }) },
    { method: 'GET', pattern: '/v1/usage', handle: async () => ({ status: 200, body: { tasks: target.usage() } }) },
    { method: 'GET', pattern: '/v1/history', handle: async () => ({ status: 200, body: describeHistory(target) }) },
    { method: 'POST', pattern: '/v1/fence', handle: async ({ body }) => handleFence(target, body) },
    { method: 'POST', pattern: '/v1/tasks', handle: call => handleStart(target, call) },
    {
      method: 'GET',
      pattern: '/v1/tasks/:id',
      handle: async ({ parameters: { id = '' } }) => createReportResponse(target.inspect(id))
    },
    {
      method: 'POST',
      pattern: '/v1/tasks/:id/renew',
      handle: withFencedResponse(async ({ parameters: { id = '' }, body }) => {
        const { epoch, leaseMs } = parseInput(renewSchema, body, 'body')
        return createReportResponse(target.renew(id, epoch, leaseMs))
      })
    },
    ...COMMANDS.map((command): Route => ({
      method: 'POST',
      pattern: `/v1/tasks/:id/${command}`,
      handle: withFencedResponse(async ({ parameters: { id = '' }, body }) =>
        createReportResponse(target.command(id, parseInput(fenceSchema, body, 'body').epoch, command)))
    }))
  ]
}

/** Describes all runs, the peak usage and the refusals, for the checks of tests. */
export function describeHistory (target: StandInTarget): Record<string, unknown> {
  const { info, history, highestReserved, highestConnections, refusals, epoch } = target
  return { target: info.id, capacity: info.capacity, epoch, history, highestReserved, highestConnections, refusals }
}

function handleFence (target: StandInTarget, body: unknown): RouteResponse {
  const result = target.fence(parseInput(fenceSchema, body, 'body').epoch)
  if (result.outcome === 'refused') return { status: REFUSAL_STATUS.fenced, body: { highestEpoch: result.highestEpoch } }
  return { status: 200, body: { tasks: result.tasks } }
}

async function handleStart (target: StandInTarget, { body, response }: RouteRequest): Promise<RouteResponse | undefined> {
  const taskStart = parseInput(startSchema, body, 'body')
  response.setHeader(TASK_ID_HEADER, encodeURIComponent(taskStart.taskId))
  const started = target.start(taskStart)
  if (started.outcome === 'refused') {
    return { status: REFUSAL_STATUS[started.refusal], body: { refusal: started.refusal } }
  }
  const reply = await started.task.reply()
  if (reply.outcome === 'lost') {
    response.destroy()
    return undefined
  }
  if (reply.outcome === 'failed') return { status: FAILED_STATUS, body: { message: reply.message } }
  await writeAnswer(reply.answer, response)
  return undefined
}

async function writeAnswer (answer: StandInAnswer, response: RouteRequest['response']): Promise<void> {
  response.writeHead(200, { 'content-type': answer.contentType, 'content-length': answer.byteCount })
  await pipeline(Readable.from(answer.chunks()), response)
}

function createReportResponse (report: unknown): RouteResponse {
  if (report === undefined) return { status: REFUSAL_STATUS['unknown-task'], body: { refusal: 'unknown-task' } }
  return { status: 200, body: report }
}

function withFencedResponse (handle: RouteHandler): RouteHandler {
  return async call => {
    try {
      return await handle(call)
    } catch (error) {
      if (!(error instanceof RefusalError)) throw error
      return { status: REFUSAL_STATUS.fenced, body: { message: error.message } }
    }
  }
}
