/** Limits the memory that the clients of a front end can occupy, over all of its connections. */

/** Why a client is refused or its connection closed; also the label of the metric. */
export type OverloadReason = 'memory' | 'calls' | 'connections' | 'header-timeout' | 'body-timeout' | 'unread-answer' | 'idle'

const SEGMENT_BYTES = 4_096
const SEGMENTS_IN_SLAB = 16
/** Added to the age of a charge, so that among new charges the largest one counts as the worst. */
const LEAST_AGE_MS = 10

export interface BudgetHolder {
  /** Gives up what the holder occupies: refuses the open request, or closes the connection. */
  evict (): void
}

/**
 * The share of one connection in the budget. Bodies are kept in segments of a fixed size that are used again, so that a
 * body in chunks of one byte costs what its bytes cost, and a closed connection leaves nothing to the garbage collector.
 */
export class BudgetAccount {
  readonly holder: BudgetHolder
  readonly #budget: MemoryBudget
  #bytes = 0
  /** Part of `bytes` that belongs to a request in progress, whose outcome must not be lost for the sake of another client. */
  #pinnedBytes = 0
  #sinceMs = 0
  #isClosed = false

  constructor (budget: MemoryBudget, holder: BudgetHolder) {
    this.#budget = budget
    this.holder = holder
  }

  get bytes (): number {
    return this.#bytes
  }

  /** The time for which bytes that can be freed have been held, times their number. */
  score (nowMs: number): number {
    return (this.#bytes - this.#pinnedBytes) * (nowMs - this.#sinceMs + LEAST_AGE_MS)
  }

  /** Charges the bytes before they are allocated; false if there is no room for them, not even after the eviction of others. */
  charge (bytes: number): boolean {
    if (this.#isClosed) return false
    if (this.#bytes === this.#pinnedBytes) this.#sinceMs = this.#budget.nowMs()
    // Counted first, so that the holder of the most is found, which may be this one.
    this.#bytes += bytes
    if (this.#budget.admit(this, bytes)) return true
    this.#bytes -= bytes
    return false
  }

  /** Charges bytes that are allocated already, such as answers. */
  chargeAnyway (bytes: number): void {
    if (this.#isClosed) return
    if (this.#bytes === this.#pinnedBytes) this.#sinceMs = this.#budget.nowMs()
    this.#bytes += bytes
    this.#budget.use(bytes)
  }

  release (bytes: number): void {
    if (this.#isClosed) return
    this.#bytes -= bytes
    this.#budget.use(-bytes)
  }

  /** Protects charged bytes from eviction. */
  pin (bytes: number): void {
    this.#pinnedBytes += bytes
  }

  releasePinned (bytes: number): void {
    this.#pinnedBytes -= bytes
    this.release(bytes)
  }

  /** Releases everything; later charges fail, and later releases have no effect. */
  close (): void {
    this.release(this.#bytes)
    this.#isClosed = true
  }
}

/**
 * Bytes that open bodies, unread requests and unread answers occupy. When they are used up, the connection that has held
 * the most for the longest time gives up its part; the newcomer is refused if that is itself.
 *
 * @example
 * const budget = new MemoryBudget(16_000_000, () => performance.now())
 * const account = budget.open({ evict: () => socket.destroy() })
 * if (!account.charge(4_096)) refuse()
 */
export class MemoryBudget {
  readonly #limitBytes: number
  readonly nowMs: () => number
  readonly #accounts = new Set<BudgetAccount>()
  readonly #freeSegments: Buffer[] = []
  #usedBytes = 0

  constructor (limitBytes: number, nowMs: () => number) {
    this.#limitBytes = limitBytes
    this.nowMs = nowMs
  }

  get usedBytes (): number {
    return this.#usedBytes
  }

  open (holder: BudgetHolder): BudgetAccount {
    const account = new BudgetAccount(this, holder)
    this.#accounts.add(account)
    return account
  }

  /** Forgets an account and what it still holds. */
  close (account: BudgetAccount): void {
    if (this.#accounts.delete(account)) account.close()
  }

  /** Makes room for bytes that the account has added to its own; false if the account is the one that would have to go. */
  admit (account: BudgetAccount, bytes: number): boolean {
    while (this.#usedBytes + bytes > this.#limitBytes) {
      const worst = this.#findWorst(account)
      if (worst === account) return false
      const before = this.#usedBytes
      worst.holder.evict()
      if (this.#usedBytes >= before) return false
    }
    this.#usedBytes += bytes
    return true
  }

  use (bytes: number): void {
    this.#usedBytes += bytes
  }

  /** A buffer of `SEGMENT_BYTES`, which the caller has charged. */
  takeSegment (): Buffer {
    if (this.#freeSegments.length === 0) {
      const slab = Buffer.allocUnsafeSlow(SEGMENT_BYTES * SEGMENTS_IN_SLAB)
      for (let offset = 0; offset < slab.length; offset += SEGMENT_BYTES) this.#freeSegments.push(slab.subarray(offset, offset + SEGMENT_BYTES))
    }
    return this.#freeSegments.pop() as Buffer
  }

  returnSegments (segments: readonly Buffer[]): void {
    for (const segment of segments) this.#freeSegments.push(segment)
  }

  #findWorst (first: BudgetAccount): BudgetAccount {
    const nowMs = this.nowMs()
    let worst = first
    let worstScore = first.score(nowMs)
    for (const account of this.#accounts) {
      const score = account.score(nowMs)
      if (score > worstScore) [worst, worstScore] = [account, score]
    }
    return worst
  }
}

/** Collects one body in segments of a budget. */
export class BodyCollector {
  readonly #budget: MemoryBudget
  readonly #account: BudgetAccount
  #segments: Buffer[] = []
  #length = 0
  #chargedBytes = 0

  constructor (budget: MemoryBudget, account: BudgetAccount) {
    this.#budget = budget
    this.#account = account
  }

  /** Bytes charged for the body. */
  get chargedBytes (): number {
    return this.#chargedBytes
  }

  get length (): number {
    return this.#length
  }

  /** Copies the chunk; false if the budget does not allow it. */
  add (chunk: Buffer): boolean {
    for (let copied = 0; copied < chunk.length;) {
      const offset = this.#length % SEGMENT_BYTES
      if (offset === 0) {
        if (!this.#account.charge(SEGMENT_BYTES)) return false
        this.#chargedBytes += SEGMENT_BYTES
        this.#segments.push(this.#budget.takeSegment())
      }
      const bytes = chunk.copy(this.#segments.at(-1) as Buffer, offset, copied)
      copied += bytes
      this.#length += bytes
    }
    return true
  }

  /** Returns the text and gives the segments back; the charge of the body stays. */
  takeText (): string {
    const text = this.#segments.length === 1
      ? (this.#segments[0] as Buffer).toString('utf8', 0, this.#length)
      : Buffer.concat(this.#segments, this.#length).toString('utf8')
    this.#giveBack()
    return text
  }

  /** Gives back the segments and their charge. */
  discard (): void {
    this.#account.release(this.#chargedBytes)
    this.#chargedBytes = 0
    this.#giveBack()
  }

  #giveBack (): void {
    this.#budget.returnSegments(this.#segments)
    this.#segments = []
    this.#length = 0
  }
}
