/** Lets the members of each gang run on simulated targets work and end together. */
import type { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { RunEnd } from '../../ports/jobTarget.ts'

/** Time that a member waits for the others. */
const GANG_TIMEOUT_MS = 3_000
/** Time until the others notice that a member has ended. */
const NOTICE_MS = 500

export interface GangMember {
  readonly task: string
  readonly attempt: number
  /** Called when all members are present. */
  readonly begin: () => void
  /** Ends the run of the member, if it has not ended yet. */
  readonly end: (how: RunEnd) => void
}

interface Gang {
  readonly members: Map<string, GangMember>
  hasBegun: boolean
  isBroken: boolean
}

/**
 * @example
 * const gangs = new SimulatedGangs(clock, task => task.startsWith('gang') ? 4 : undefined)
 * gangs.join({ task: 'gang-0.0.0.1', attempt: 1, begin, end })
 */
export class SimulatedGangs {
  readonly #clock: ManualClock
  readonly #sizeOf: (task: string) => number | undefined
  readonly #gangs = new Map<string, Gang>()

  constructor (clock: ManualClock, sizeOf: (task: string) => number | undefined) {
    this.#clock = clock
    this.#sizeOf = sizeOf
  }

  /** Adds a member that has been started; returns false if its task belongs to no gang. */
  join (member: GangMember): boolean {
    const size = this.#sizeOf(member.task)
    if (size === undefined) return false
    const gang = this.#gangOf(member.task, member.attempt)
    gang.members.set(member.task, member)
    if (gang.members.size === size && !gang.isBroken) {
      gang.hasBegun = true
      for (const each of gang.members.values()) each.begin()
    } else {
      this.#clock.schedule(GANG_TIMEOUT_MS, () => { if (!gang.hasBegun) member.end('alone') })
    }
    if (gang.isBroken) this.#breakSoon(gang)
    return true
  }

  /** Records that a member has ended otherwise than done, which ends the others. */
  leave (task: string, attempt: number): void {
    if (this.#sizeOf(task) === undefined) return
    const gang = this.#gangOf(task, attempt)
    gang.members.delete(task)
    gang.isBroken = true
    this.#breakSoon(gang)
  }

  #breakSoon (gang: Gang): void {
    this.#clock.schedule(NOTICE_MS, () => { for (const member of [...gang.members.values()]) member.end('broken') })
  }

  #gangOf (task: string, attempt: number): Gang {
    const name = `${task.slice(0, task.lastIndexOf('.'))}#${attempt}`
    const gang = this.#gangs.get(name) ?? { members: new Map<string, GangMember>(), hasBegun: false, isBroken: false }
    this.#gangs.set(name, gang)
    return gang
  }
}
