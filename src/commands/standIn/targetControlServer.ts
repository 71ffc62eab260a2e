/** HTTP API through which tests in another process read the records of stand-in targets and change their state. */
import { z } from 'zod'
import { parseInput } from '../../adapters/http/parseInput.ts'
import { JsonServer } from '../../adapters/http/jsonServer.ts'
import type { RouteRequest, RouteResponse, Route } from '../../adapters/http/routes.ts'
import type { StandInTarget } from '../../adapters/target/standInTarget.ts'
import { describeHistory } from '../../adapters/target/standInTargetRoutes.ts'
import type { StandInTargetServer } from '../../adapters/target/standInTargetServer.ts'

const stateSchema = z.object({
  leaving: z.boolean(),
  failsEverything: z.boolean(),
  crashed: z.boolean()
}).partial().strict()

/** `GET /v1/targets` returns all records; `PUT /v1/targets/:id` sets `leaving`, `failsEverything` or `crashed`. */
export class TargetControlServer extends JsonServer {
  constructor (targets: readonly StandInTarget[], targetServer: StandInTargetServer, listen: string) {
    const routes: readonly Route[] = [
      { method: 'GET', pattern: '/v1/targets', handle: async () => ({ status: 200, body: targets.map(describeHistory) }) },
      { method: 'PUT', pattern: '/v1/targets/:id', handle: async call => await setState(targets, targetServer, call) }
    ]
    super({ name: 'target control', listen, routes })
  }
}

async function setState (targets: readonly StandInTarget[], targetServer: StandInTargetServer, call: RouteRequest): Promise<RouteResponse> {
  const { parameters: { id = '' }, body } = call
  const target = targets.find(({ info }) => info.id === id)
  if (target === undefined) return { status: 404, body: { message: `no target has the ID ${id}` } }
  const { leaving = target.leaving, failsEverything = target.failsEverything, crashed = target.crashed } =
    parseInput(stateSchema, body, 'body')
  target.leaving = leaving
  target.failsEverything = failsEverything
  if (crashed && !target.crashed) await targetServer.crash(id)
  if (!crashed && target.crashed) await targetServer.recover(id)
  return { status: 200, body: {} }
}
