/** Serves stand-in targets over HTTP, each on its own address. */
import { BaseError, InputError } from '../../model/errors.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { TargetInfo } from '../../model/target.ts'
import { JsonServer } from '../http/jsonServer.ts'
import type { StandInTarget } from './standInTarget.ts'
import { createTargetRoutes } from './standInTargetRoutes.ts'

/**
 * Listens for each target on the address in its description; with port 0 the system chooses a free
 * port. Every open socket counts as a connection of its target.
 *
 * @example
 * const server = new StandInTargetServer([target])
 * await server.start()
 * const [info] = server.infos
 */
export class StandInTargetServer implements Component {
  readonly name = 'target stand-ins'
  readonly #targets: readonly StandInTarget[]
  readonly #servers = new Map<string, JsonServer>()

  constructor (targets: readonly StandInTarget[]) {
    this.#targets = targets
    for (const target of targets) {
      if (this.#servers.has(target.info.id)) throw new InputError(`two targets have the id ${target.info.id}`)
      this.#servers.set(target.info.id, new JsonServer({
        name: target.info.id,
        listen: target.info.address,
        routes: createTargetRoutes(target),
        onConnection: socket => { socket.once('close', target.openConnection()) }
      }))
    }
  }

  /** The targets with their bound addresses. */
  get infos (): readonly TargetInfo[] {
    return this.#targets.map(({ info }) => ({ ...info, address: this.#serverOf(info.id).address }))
  }

  async start (): Promise<void> {
    try {
      for (const server of this.#servers.values()) await server.start()
    } catch (error) {
      await this.stop()
      throw error
    }
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#servers.values()].map(server => server.stop()))
  }

  /** Ends the target's tasks and closes its server, so that it is unreachable. */
  async crash (targetId: string): Promise<void> {
    this.#targets.find(({ info }) => info.id === targetId)?.crash()
    await this.#serverOf(targetId).stop()
  }

  /** Makes a crashed target reachable again. */
  async recover (targetId: string): Promise<void> {
    this.#targets.find(({ info }) => info.id === targetId)?.recover()
    await this.#serverOf(targetId).start()
  }

  #serverOf (targetId: string): JsonServer {
    const server = this.#servers.get(targetId)
    if (server === undefined) throw new BaseError(`no target has the id ${targetId}`)
    return server
  }
}
