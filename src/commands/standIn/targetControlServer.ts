/** Lets tests read what stand-in targets recorded, and change their state, from another process. */
import { z } from 'zod'
import type { Component } from '../../lifecycle/component.ts'
import { checkInput } from '../../adapters/http/checkInput.ts'
import { JsonServer } from '../../adapters/http/jsonServer.ts'
import type { HttpCall, JsonAnswer, Route } from '../../adapters/http/routes.ts'
import type { StandInTarget } from '../../adapters/target/standInTarget.ts'
import { describeRecords } from '../../adapters/target/standInTargetRoutes.ts'
import type { StandInTargetServer } from '../../adapters/target/standInTargetServer.ts'

const stateSchema = z.object({
  leaving: z.boolean(),
  failsEverything: z.boolean(),
  crashed: z.boolean()
}).partial().strict()

/** `GET /v1/targets` answers with all records; `PUT /v1/targets/:id` sets `leaving`, `failsEverything` or `crashed`. */
export class TargetControlServer implements Component {
  readonly name = 'target control'
  readonly #targets: readonly StandInTarget[]
  readonly #targetServer: StandInTargetServer
  readonly #server: JsonServer

  constructor (targets: readonly StandInTarget[], targetServer: StandInTargetServer, listen: string) {
    this.#targets = targets
    this.#targetServer = targetServer
    const routes: readonly Route[] = [
      { method: 'GET', pattern: '/v1/targets', handle: async () => ({ status: 200, body: targets.map(describeRecords) }) },
      { method: 'PUT', pattern: '/v1/targets/:id', handle: call => this.#setState(call) }
    ]
    this.#server = new JsonServer({ name: this.name, listen, routes })
  }

  /** `host:port` as bound. */
  get address (): string {
    return this.#server.address
  }

  start (): Promise<void> {
    return this.#server.start()
  }

  stop (): Promise<void> {
    return this.#server.stop()
  }

  async #setState ({ parameters: { id = '' }, body }: HttpCall): Promise<JsonAnswer> {
    const target = this.#targets.find(({ info }) => info.id === id)
    if (target === undefined) return { status: 404, body: { message: `no target has the id ${id}` } }
    const { leaving = target.leaving, failsEverything = target.failsEverything, crashed = target.crashed } =
      checkInput(stateSchema, body, 'body')
    target.leaving = leaving
    target.failsEverything = failsEverything
    if (crashed && !target.crashed) await this.#targetServer.crash(id)
    if (!crashed && target.crashed) await this.#targetServer.recover(id)
    return { status: 200, body: {} }
  }
}
