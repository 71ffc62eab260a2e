/** Generates requests at a steady rate across the chosen instances and records each result. */
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '../../src/adapters/random/seededRandom.ts'
import type { CallerAnswer, CallerClient } from './callerClient.ts'
import type { Cluster, ClusterInstance } from './cluster.ts'

export interface LoadOptions {
  readonly cluster: Cluster
  readonly client: CallerClient
  readonly key: string
  /** Prefix of the request ids. */
  readonly prefix: string
  readonly seed: number
  /** Returns the instances that receive requests; called before each request, as a load balancer would. */
  readonly chooseInstances: () => readonly ClusterInstance[]
}

export interface LoadResult {
  readonly id: string
  readonly repeatable: boolean
  readonly instance: string
  readonly answer: CallerAnswer
}

const REQUEST_INTERVAL_MS = 20
const MIN_RUN_MS = 5
const RUN_RANGE_MS = 150
const DEADLINE_MS = 20_000

/** A load generator that runs until `stop`. */
export class Load {
  readonly #options: LoadOptions
  readonly #random: SeededRandom
  readonly #calls: Promise<LoadResult>[] = []
  readonly #running: Promise<void>
  #stopped = false

  constructor (options: LoadOptions) {
    this.#options = options
    this.#random = new SeededRandom(options.seed)
    this.#running = this.#run()
  }

  get sentCount (): number {
    return this.#calls.length
  }

  /** Stops sending and resolves when every request has been answered. */
  async stop (): Promise<readonly LoadResult[]> {
    this.#stopped = true
    await this.#running
    return await Promise.all(this.#calls)
  }

  async #run (): Promise<void> {
    while (!this.#stopped) {
      const instances = this.#options.chooseInstances()
      if (instances.length > 0) this.#calls.push(this.#send(instances[this.#random.integer(instances.length)]!))
      await sleep(REQUEST_INTERVAL_MS)
    }
  }

  async #send (instance: ClusterInstance): Promise<LoadResult> {
    const { client, key, prefix } = this.#options
    const id = `${prefix}-${this.#calls.length}`
    const repeatable = this.#random.integer(2) === 0
    const runMs = MIN_RUN_MS + this.#random.integer(RUN_RANGE_MS)
    const answer = await client.run(instance.addresses.caller, key,
      { id, kind: 'batch', size: { slots: 1 }, repeatable, deadlineMs: DEADLINE_MS, payload: { runMs, answer: id } })
    return { id, repeatable, instance: instance.name, answer }
  }
}
