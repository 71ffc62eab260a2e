/** Charges the answers that one client has not read, and measures since when it has read nothing of them. */
import type { Socket } from 'node:net'
import type { BudgetAccount } from './memoryBudget.ts'
import { countQueuedBytes } from './socketInternals.ts'

/**
 * @example
 * const answers = new UnreadAnswers(socket, account, clock.monotonicMs())
 * answers.charge(clock.monotonicMs())
 * if (answers.isUnread && answers.unreadMs(clock.monotonicMs()) > 30_000) socket.destroy()
 */
export class UnreadAnswers {
  readonly #socket: Socket
  readonly #account: BudgetAccount
  #chargedBytes = 0
  /** Bytes that were written, unread, and with the handle of the socket, when progress was last noted. */
  #writtenBytes = 0
  #unreadBytes = 0
  #queuedBytes = 0
  /** When the client was last seen to have read something, or to have nothing to read. */
  #progressMs: number

  constructor (socket: Socket, account: BudgetAccount, nowMs: number) {
    this.#socket = socket
    this.#account = account
    this.#progressMs = nowMs
  }

  get isUnread (): boolean {
    return this.#socket.writableLength > 0
  }

  get chargedBytes (): number {
    return this.#chargedBytes
  }

  /** For how long the client has read nothing, as of the last time that progress was noted. */
  unreadMs (nowMs: number): number {
    return nowMs - this.#progressMs
  }

  /** Notes whether the client reads. An answer that was not there at the last time starts a new measurement. */
  noteProgress (nowMs: number): void {
    const unreadBytes = this.#socket.writableLength
    const writtenBytes = this.#socket.bytesWritten - unreadBytes
    // The other numbers stay the same while a single long write is being read.
    const queuedBytes = countQueuedBytes(this.#socket)
    if (this.#unreadBytes === 0 || unreadBytes === 0 || writtenBytes !== this.#writtenBytes || queuedBytes < this.#queuedBytes) this.#progressMs = nowMs
    this.#unreadBytes = unreadBytes
    this.#writtenBytes = writtenBytes
    this.#queuedBytes = queuedBytes
  }

  /** Charges what the client has not read. */
  charge (nowMs: number): void {
    this.noteProgress(nowMs)
    const unreadBytes = this.#socket.writableLength
    const added = unreadBytes - this.#chargedBytes
    this.#chargedBytes = unreadBytes
    if (added > 0) this.#account.chargeAnyway(added)
    else this.#account.release(-added)
  }

  /** Moves the start of the measurement, because the instance was late by the duration. */
  postpone (durationMs: number, nowMs: number): void {
    this.#progressMs = Math.min(nowMs, this.#progressMs + durationMs)
  }

  /** Forgets what is charged, before the account is closed. */
  forget (): void {
    this.#chargedBytes = 0
  }
}
