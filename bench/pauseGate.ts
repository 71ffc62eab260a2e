/** Simulates a paused instance: its timers do not fire and calls to it get no response until it is resumed. */
import type { Clock } from '../src/ports/clock.ts'
import type { PeerHandler } from '../src/ports/peerClient.ts'

export class PauseGate {
  readonly clock: Clock
  #paused: Promise<void> | undefined
  #resume: () => void = () => {}

  constructor (clock: Clock) {
    this.clock = {
      monotonicMs: () => clock.monotonicMs(),
      wallMs: () => clock.wallMs(),
      sleep: async (durationMs, signal) => {
        await clock.sleep(durationMs, signal)
        await this.#paused
      }
    }
  }

  get paused (): boolean {
    return this.#paused !== undefined
  }

  pause (): void {
    this.#paused = new Promise(resolve => { this.#resume = resolve })
  }

  resume (): void {
    this.#resume()
    this.#paused = undefined
  }

  wrapHandler (handler: PeerHandler): PeerHandler {
    const wait = async (): Promise<void> => { await this.#paused }
    return {
      exchange: async (...given) => await wait().then(() => handler.exchange(...given)),
      run: async function * (...given) {
        await wait()
        for await (const event of handler.run(...given)) {
          await wait()
          yield event
        }
      },
      cancel: async (...given) => await wait().then(() => handler.cancel(...given)),
      find: async (...given) => await wait().then(() => handler.find(...given)),
      fetchChanges: async (...given) => await wait().then(() => handler.fetchChanges(...given)),
      transferAllotment: async (...given) => await wait().then(() => handler.transferAllotment(...given)),
      claim: async (...given) => await wait().then(() => handler.claim(...given)),
      handOver: async (...given) => await wait().then(() => handler.handOver(...given))
    }
  }
}
