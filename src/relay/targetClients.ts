/** The clients through which a relay reaches targets. */
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'
import type { JobTargetClient, JobTargetConnector } from '../ports/jobTarget.ts'
import type { NumberedOrder, RelayResult, RelayTarget } from './relayMessages.ts'

/** A client without an order for this long is closed; a session renews its leases every second. */
const UNUSED_TIMEOUT_MS = 10_000

interface UsedClient {
  readonly client: JobTargetClient
  lastUsedMs: number
}

export class TargetClients {
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #connect: JobTargetConnector
  readonly #clients = new Map<string, UsedClient>()

  constructor (clock: Clock, logger: Logger, connect: JobTargetConnector) {
    this.#clock = clock
    this.#logger = logger
    this.#connect = connect
  }

  /** Sends the order to its target; resolves with its outcome. */
  async execute (numbered: NumberedOrder): Promise<RelayResult> {
    const client = this.#clientOf(numbered.target)
    switch (numbered.type) {
      case 'start': return { type: 'start', outcome: await client.start(numbered.order) }
      case 'stop': return { type: 'stop', outcome: await client.stop(numbered.order) }
      case 'renew': return { type: 'renew', outcome: await client.renew(numbered.order) }
    }
  }

  removeUnused (): void {
    const beforeMs = this.#clock.monotonicMs() - UNUSED_TIMEOUT_MS
    for (const [key, { client, lastUsedMs }] of this.#clients) {
      if (lastUsedMs >= beforeMs) continue
      this.#clients.delete(key)
      runInBackground(client.close(), this.#logger, 'close of a target client')
    }
  }

  async close (): Promise<void> {
    const clients = [...this.#clients.values()]
    this.#clients.clear()
    await Promise.all(clients.map(async ({ client }) => await client.close()))
  }

  #clientOf ({ address, id, bornMs }: RelayTarget): JobTargetClient {
    const key = `${address} ${id} ${bornMs}`
    const used = this.#clients.get(key) ?? { client: this.#connect(address, { id, bornMs }), lastUsedMs: 0 }
    used.lastUsedMs = this.#clock.monotonicMs()
    this.#clients.set(key, used)
    return used.client
  }
}
