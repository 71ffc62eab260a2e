/**
 * Decides whether tasks wait for a place near their data, or for one rack for their group. Handles services with room on
 * most racks, of which the one with the data is busy: a run there is faster, but its place has to become free first.
 */
import type { StepDefinition } from '../../jobs/job.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { RoomForecast } from '../forecast/roomForecast.ts'
import type { RunTimes } from '../forecast/runTimes.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import { requiredResources } from './placeStep.ts'
import { RackDemands } from './rackDemands.ts'

/** While there is room for a task it does not wait for 3 s with nothing running; advice and the start need the rest. */
const MAX_WAIT_MS = 2_000
/** A pass may come 250 ms after the last one, and a start takes a few round trips. */
const SLACK_MARGIN_MS = 300
/** With a larger part of its processors free, a service does not lack those that longer runs far away take from others. */
const AMPLE_FREE_SHARE = 0.2
/** Waits lose little until the near tasks of a rack use nearly all of it; see the comparison in docs/design/locality-wait.md. */
const DEMAND_EXPONENT = 4
/** Racks that are examined for a group without data; bounds the work to a few scans of the targets. */
const MAX_RACKS = 4

/** The targets that placement has chosen for some tasks of a step. */
export interface LocalityQuestion {
  readonly step: StepProgress
  /** The step's definition, with the rack of its running tasks as data rack if it is a group without data. */
  readonly definition: StepDefinition
  readonly service: string
  /** Rack of the target of each task. */
  readonly racks: readonly string[]
  /** Returns the targets that tasks of the step may get, with or without room now; called only if a wait may pay off. */
  readonly findTargets: () => readonly TargetSession[]
  /** Time by which the job can be delayed and still meet its objective, if its runs are near. */
  readonly slackMs: number
  readonly nowMs: number
}

/** The end of a wait of some tasks. */
export interface EndedWait {
  readonly step: StepProgress
  readonly tasks: number
  /** Whether the tasks got a place near their data, or one rack. */
  readonly isNear: boolean
  readonly waitedMs: number
  /** Run time that each task saves near its data. */
  readonly gainMs: number
}

export interface LocalityWaitOptions {
  readonly runTimes: RunTimes
  readonly forecast: RoomForecast
  readonly onBegin: (step: StepProgress) => void
  /** Called when tasks that have waited are started. */
  readonly onEnd: (wait: EndedWait) => void
}

interface WaitState {
  readonly firstAtMs: number
  readonly gainMs: number
  /** Whether the job would have met its objective without the wait. */
  readonly metObjective: boolean
  /** Tasks that were left waiting by the last decision about them. */
  tasks: number
  /** False when their wait has another reason since. */
  isWaiting: boolean
}

/**
 * A task waits while the expected time until there is a place near is shorter than what the run then saves. On a rack that
 * is filled by tasks with data there, the place would go to the next of them anyway, so that waits cost time and save
 * none: there only a part of the saving counts, unless the service is so full that longer runs elsewhere take the
 * capacity from others. All waits of
 * a step end before the time saved has passed since the first one, and while the job can still meet its objective
 * elsewhere. A waiting task holds no capacity.
 *
 * @example
 * const wait = new LocalityWait({ runTimes, forecast, onBegin, onEnd })
 * wait.beginPass()
 * const started = wait.decide(question).map(position => placed[position])
 */
export class LocalityWait {
  readonly #options: LocalityWaitOptions
  readonly #states = new WeakMap<StepProgress, WaitState>()
  /** By service and rack; without a rack for groups that may run on any one. */
  readonly #demands = new RackDemands()
  /** Resources for which steps wait that were decided on earlier in the pass, by service and rack. */
  readonly #claims = new Map<string, { processors: number, tasks: number }>()

  constructor (options: LocalityWaitOptions) {
    this.#options = options
  }

  /** Forgets which places other steps wait for; steps are then decided on in their order. */
  beginPass (): void {
    this.#claims.clear()
  }

  /** Called before the step is placed again, which may fail for another reason before `decide` is called. */
  reconsider (step: StepProgress): void {
    const state = this.#states.get(step)
    if (state !== undefined) state.isWaiting = false
  }

  /** Whether tasks of the step wait since `decide` left them waiting. */
  isWaiting (step: StepProgress): boolean {
    return this.#states.get(step)?.isWaiting ?? false
  }

  /** Returns the positions of the tasks that start now; the others wait. */
  decide (question: LocalityQuestion): readonly number[] {
    const { definition, racks } = question
    const near = this.#isGroup(definition) ? racks.map(() => isGroupNear(definition, racks)) : racks.map(rack => rack === definition.dataRack || definition.dataRack === '')
    const far = near.flatMap((isNear, position) => isNear ? [] : [position])
    const waiting = far.length === 0 ? 0 : this.#countWaiting(question, far.length, racks.length - far.length)
    // Those that wait are the last choice of placement.
    const waitingPositions = new Set(far.slice(far.length - waiting))
    const started = racks.flatMap((_, position) => waitingPositions.has(position) ? [] : [position])
    this.#recordDemand(question, started.length)
    this.#record(question, waiting, started.filter(position => near[position]).length, started.filter(position => !near[position]).length)
    return started
  }

  #isGroup ({ gang, sameRack }: StepDefinition): boolean {
    return gang || sameRack
  }

  /** Number of the tasks with a place far away that wait instead; a group waits as a whole or not at all. */
  #countWaiting (question: LocalityQuestion, far: number, near: number): number {
    const { step, definition } = question
    const gainMs = this.#gainMs(step)
    if (gainMs <= 0 || definition.longRunning) return 0
    const targets = question.findTargets()
    const racks = findNearRacks(definition, targets, far)
    const expectedGainMs = gainMs * this.#commonShare(question, targets)
    const mayWait = (tasks: number): string | undefined => racks.find(rack => this.#paysOff(question, gainMs, expectedGainMs, this.#timeUntilRoomMs(question, targets, rack, near + tasks)))
    const smallest = this.#isGroup(definition) ? far : 1
    let rack = mayWait(smallest)
    if (rack === undefined) return 0
    // Each further task waits for longer than the one before.
    let waiting = smallest
    for (let low = smallest + 1, high = far; low <= high;) {
      const middle = Math.floor((low + high) / 2)
      const found = mayWait(middle)
      if (found === undefined) high = middle - 1
      else {
        rack = found
        waiting = middle
        low = middle + 1
      }
    }
    this.#claim(question, rack, waiting)
    return waiting
  }

  #gainMs (step: StepProgress): number {
    const { runTimes } = this.#options
    const factor = runTimes.remoteFactor(step)
    return factor > 1 ? runTimes.expectedMs(step) * (factor - 1) : 0
  }

  #paysOff ({ step, slackMs, nowMs }: LocalityQuestion, gainMs: number, expectedGainMs: number, waitMs: number): boolean {
    // With room now, it is something else that keeps the tasks from the place.
    if (waitMs <= 0) return false
    const state = this.#states.get(step)
    const waitedMs = nowMs - (state?.firstAtMs ?? nowMs)
    if (waitedMs + waitMs >= Math.min(expectedGainMs, state?.gainMs ?? expectedGainMs, MAX_WAIT_MS)) return false
    const isLateElsewhere = slackMs < gainMs
    if (isLateElsewhere) return state?.metObjective !== true
    return waitMs + gainMs + SLACK_MARGIN_MS <= slackMs
  }

  /** Part of the run time saved near that is saved for all tasks together; from 0 to 1. */
  #commonShare ({ definition, service, nowMs }: LocalityQuestion, targets: readonly TargetSession[]): number {
    const used = this.#demands.processors(claimKey(service, definition.dataRack), nowMs)
    if (used === undefined) return 1
    let near = 0
    let total = 0
    let free = 0
    for (const target of targets) {
      const { processors } = target.capacity.total
      if (definition.dataRack === '' || target.rack === definition.dataRack) near += processors
      total += processors
      free += target.free.processors
    }
    if (near <= 0 || total <= 0) return 0
    return Math.max(0, 1 - (used / near) ** DEMAND_EXPONENT, 1 - free / total / AMPLE_FREE_SHARE)
  }

  /** Counts tasks that start, near or far, for the rack that they prefer. */
  #recordDemand ({ step, definition, service, nowMs }: LocalityQuestion, tasks: number): void {
    if (tasks === 0) return
    const work = tasks * requiredResources(definition).processors * this.#options.runTimes.expectedMs(step)
    this.#demands.record(claimKey(service, definition.dataRack), work, nowMs)
  }

  #timeUntilRoomMs ({ definition, service }: LocalityQuestion, targets: readonly TargetSession[], rack: string, tasks: number): number {
    const size = requiredResources(definition)
    const inRack = new Set(targets.filter(target => target.rack === rack))
    if (inRack.size === 0) return Infinity
    const claim = this.#claims.get(claimKey(service, rack))
    const claimed = claim === undefined ? 0 : size.processors > 0 ? Math.ceil(claim.processors / size.processors) : claim.tasks
    return this.#options.forecast.timeUntilRoomMs({ service, size, tasks: tasks + claimed, permits: target => inRack.has(target) })
  }

  #claim ({ definition, service }: LocalityQuestion, rack: string, tasks: number): void {
    const key = claimKey(service, rack)
    const claim = this.#claims.get(key) ?? { processors: 0, tasks: 0 }
    claim.processors += requiredResources(definition).processors * tasks
    claim.tasks += tasks
    this.#claims.set(key, claim)
  }

  #record ({ step, slackMs, nowMs }: LocalityQuestion, waiting: number, near: number, far: number): void {
    const state = this.#states.get(step)
    if (state === undefined) {
      if (waiting === 0) return
      const gainMs = this.#gainMs(step)
      this.#states.set(step, { firstAtMs: nowMs, gainMs, metObjective: slackMs >= gainMs, tasks: waiting, isWaiting: true })
      return this.#options.onBegin(step)
    }
    const waited = { step, waitedMs: nowMs - state.firstAtMs, gainMs: state.gainMs }
    const nearAfterWait = Math.min(near, state.tasks)
    const farAfterWait = Math.min(far, state.tasks - nearAfterWait)
    if (nearAfterWait > 0) this.#options.onEnd({ ...waited, tasks: nearAfterWait, isNear: true })
    if (farAfterWait > 0) this.#options.onEnd({ ...waited, tasks: farAfterWait, isNear: false })
    state.tasks = waiting
    state.isWaiting = waiting > 0
  }
}

/** Whether all tasks of the group are on one rack, if it has to be one, and on that of their data, if they have any. */
function isGroupNear ({ dataRack, sameRack }: StepDefinition, racks: readonly string[]): boolean {
  if (dataRack !== '') return racks.every(rack => rack === dataRack)
  return !sameRack || new Set(racks).size <= 1
}

/** Racks for which the tasks may wait; for a group without data those with the most free processors. */
function findNearRacks (definition: StepDefinition, targets: readonly TargetSession[], tasks: number): readonly string[] {
  if (definition.dataRack !== '') return [definition.dataRack]
  const racks = new Map<string, { free: number, total: number }>()
  for (const { rack, free, capacity } of targets) {
    const sums = racks.get(rack) ?? { free: 0, total: 0 }
    sums.free += free.processors
    sums.total += capacity.total.processors
    racks.set(rack, sums)
  }
  const needed = requiredResources(definition).processors * tasks
  return [...racks].filter(([, { total }]) => total >= needed).sort(([, left], [, right]) => right.free - left.free).slice(0, MAX_RACKS).map(([rack]) => rack)
}

function claimKey (service: string, rack: string): string {
  return `${service} ${rack}`
}
