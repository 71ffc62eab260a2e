/** Reads the bodies of the requests of one connection into the memory of the front end. */
import type { IncomingMessage } from 'node:http'
import { BaseError } from '../../model/errors.ts'
import { BodyCollector } from './memoryBudget.ts'
import type { BudgetAccount, MemoryBudget } from './memoryBudget.ts'

/** There is no memory for the body of a request. The request has had no effect. */
export const FrontEndBusyError = BaseError.subclass('FrontEndBusyError')

/**
 * @example
 * const bodies = new RequestBodies(budget, account, () => guard.refused('memory'))
 * const body = await bodies.read(request, 262_144, false)
 */
export class RequestBodies {
  readonly #budget: MemoryBudget
  readonly #account: BudgetAccount
  readonly #onRefused: () => void
  /** Fail the bodies that are being read. The end of a body may be reported after the start of the next request. */
  readonly #open = new Set<(error: Error) => void>()
  /** Charges of bodies that are kept until their requests are answered. */
  readonly #pinnedBytes = new Map<IncomingMessage, number>()

  constructor (budget: MemoryBudget, account: BudgetAccount, onRefused: () => void) {
    this.#budget = budget
    this.#account = account
    this.#onRefused = onRefused
  }

  /** Whether a body is being read. */
  get isReading (): boolean {
    return this.#open.size > 0
  }

  /** See `FrontEndGuard.readBody`. */
  read (request: IncomingMessage, maximumBytes: number, keepCharge: boolean): Promise<string | undefined> {
    return new Promise((resolve, reject) => {
      const body = new BodyCollector(this.#budget, this.#account)
      const fail = (error: Error): void => {
        if (!this.#open.delete(fail)) return
        body.discard()
        reject(error)
      }
      this.#open.add(fail)
      request.on('data', (chunk: Buffer) => {
        if (!this.#open.has(fail)) return
        if (body.length + chunk.length > maximumBytes) {
          this.#open.delete(fail)
          body.discard()
          resolve(undefined)
        } else if (!body.add(chunk)) {
          this.refuse()
        }
      })
      request.once('end', () => {
        if (!this.#open.delete(fail)) return
        const { chargedBytes } = body
        resolve(body.takeText())
        if (!keepCharge) return this.#account.release(chargedBytes)
        this.#account.pin(chargedBytes)
        this.#pinnedBytes.set(request, chargedBytes)
      })
      request.once('error', fail)
      request.once('close', () => { if (!request.complete) fail(createBrokenError()) })
    })
  }

  /** Releases the charge that was kept until the request was answered. */
  releaseKept (request: IncomingMessage): void {
    this.#account.releasePinned(this.#pinnedBytes.get(request) ?? 0)
    this.#pinnedBytes.delete(request)
  }

  /** Refuses the bodies that are being read. */
  refuse (): void {
    this.#onRefused()
    for (const fail of this.#open) fail(new FrontEndBusyError('the instance has no memory left for bodies of requests'))
  }

  /** Fails the bodies that are being read, because the connection is closed. */
  breakOff (): void {
    for (const fail of this.#open) fail(createBrokenError())
  }
}

function createBrokenError (): Error {
  return new BaseError('the connection was closed before the whole body had arrived')
}
