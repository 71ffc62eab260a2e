/** One task on a stand-in target: its run, lease, usage and history entry. */
import { minimumResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { KindName } from '../../model/request.ts'
import type { TaskReport, TaskState } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { TaskStart } from '../../ports/targetClient.ts'
import { createJsonAnswer, parseWork } from './standInWork.ts'
import type { StandInAnswer, StandInWork } from './standInWork.ts'

/** The reason why a run ended. */
export type TaskEnding = 'finished' | 'failed' | 'stopped' | 'checkpointed' | 'lease-ended' | 'crashed'

/** One run, for the checks of tests; times are of the wall clock, so that targets of several processes are comparable. */
export interface TaskHistory {
  readonly taskId: string
  readonly requestId: string
  readonly team: string
  readonly kind: KindName
  readonly size: Resources
  /** Epoch under which the task was started. */
  readonly epoch: number
  readonly startedAtWallMs: number
  /** Absent while the task runs. */
  readonly endedAtWallMs?: number
  readonly ending?: TaskEnding
}

/** The end of a run; a finished run has its answer until the answer is discarded. */
interface TaskEnd {
  readonly ending: TaskEnding
  readonly message: string
  readonly answer?: StandInAnswer
}

/** The target's reply to a start. */
export type TaskReply =
  | { readonly outcome: 'answered', readonly answer: StandInAnswer }
  | { readonly outcome: 'failed', readonly message: string }
  /** The target crashed or has discarded the answer: the connection is reset. */
  | { readonly outcome: 'lost', readonly message: string }

const STATE_BY_ENDING: Readonly<Record<TaskEnding, TaskState>> = {
  finished: 'finished',
  failed: 'failed',
  stopped: 'stopped',
  checkpointed: 'checkpointed',
  'lease-ended': 'stopped',
  crashed: 'failed'
}

export class StandInTask {
  readonly #start: Omit<TaskStart, 'payload'>
  readonly #clock: Clock
  readonly #startedAtWallMs: number
  readonly #usages: { readonly sinceMs: number, readonly usage: Resources }[]
  readonly #onEnd: (task: StandInTask) => void
  #epoch: number
  #leaseEndsAt: number
  /** Work and timers; released at the end, since a target keeps its tasks for the history. */
  #run?: { readonly work: StandInWork, readonly abort: AbortController }
  #endedAtWallMs?: number
  #end?: TaskEnd
  #endListeners: ((end: TaskEnd) => void)[] = []

  constructor (start: TaskStart, clock: Clock, onEnd: (task: StandInTask) => void) {
    const { payload, ...rest } = start
    this.#start = rest
    this.#clock = clock
    const work = parseWork(payload)
    this.#run = { work, abort: new AbortController() }
    this.#onEnd = onEnd
    this.#epoch = start.epoch
    this.#startedAtWallMs = clock.wallMs()
    this.#leaseEndsAt = clock.monotonicMs() + start.leaseMs
    this.#usages = [{ sinceMs: clock.monotonicMs(), usage: work.usage ?? start.size }]
  }

  get size (): Resources {
    return this.#start.size
  }

  get history (): TaskHistory {
    const { taskId, requestId, team, kind, size, epoch } = this.#start
    return {
      taskId,
      requestId,
      team,
      kind,
      size,
      epoch,
      startedAtWallMs: this.#startedAtWallMs,
      endedAtWallMs: this.#endedAtWallMs,
      ending: this.#end?.ending
    }
  }

  /** Starts the work and the lease. Work without a duration ends before this method returns. */
  run (): void {
    if (this.#run === undefined) return
    const { work, abort } = this.#run
    if (work.runMs === 0) return this.#finish(work)
    this.#clock.sleep(work.runMs, abort.signal).then(() => this.#finish(work), () => {})
    this.#enforceLease(abort.signal).catch(() => {})
  }

  /** Resolves with the reply to the start: at the end of the run, or immediately for a detached task. */
  async reply (): Promise<TaskReply> {
    if (this.#start.detached && (this.#end === undefined || this.#end.ending === 'finished')) {
      return { outcome: 'answered', answer: createJsonAnswer({ taskId: this.#start.taskId }) }
    }
    const { ending, message, answer } = this.#end ?? await new Promise<TaskEnd>(resolve => this.#endListeners.push(resolve))
    if (answer !== undefined) return { outcome: 'answered', answer }
    return { outcome: ending === 'crashed' || ending === 'finished' ? 'lost' : 'failed', message }
  }

  /** Extends the lease for the holder of the epoch; a task that has ended stays ended. */
  renew (epoch: number, leaseMs: number): void {
    this.#epoch = Math.max(this.#epoch, epoch)
    this.#leaseEndsAt = this.#clock.monotonicMs() + leaseMs
  }

  /** Limits usage to the size in every dimension. */
  throttle (): void {
    const usage = this.#usages.at(-1)?.usage ?? this.size
    this.#usages.push({ sinceMs: this.#clock.monotonicMs(), usage: minimumResources(usage, this.size) })
  }

  /** Ends the run; has no effect if it has already ended. */
  end (ending: TaskEnding, message: string, answer?: StandInAnswer): void {
    if (this.#end !== undefined) return
    const end = { ending, message, answer }
    this.#end = end
    this.#endedAtWallMs = this.#clock.wallMs()
    this.#run?.abort.abort()
    this.#run = undefined
    this.#onEnd(this)
    for (const resolve of this.#endListeners) resolve(end)
    this.#endListeners = []
  }

  /** Discards the answer of a task that has ended, to free its memory. */
  discardAnswer (): void {
    if (this.#end !== undefined) this.#end = { ending: this.#end.ending, message: 'the answer was discarded' }
  }

  /** Reports the state, with the usage as of `usageLagMs` ago. */
  report (usageLagMs: number): TaskReport {
    const { taskId, team, kind, requestId, name, size } = this.#start
    const visibleUntilMs = this.#clock.monotonicMs() - usageLagMs
    return {
      taskId,
      team,
      kind,
      requestId,
      name,
      size,
      epoch: this.#epoch,
      state: this.#end === undefined ? 'running' : STATE_BY_ENDING[this.#end.ending],
      usage: this.#usages.findLast(({ sinceMs }) => sinceMs <= visibleUntilMs)?.usage
    }
  }

  #finish ({ failure, answer }: StandInWork): void {
    if (failure !== undefined) this.end('failed', failure)
    else this.end('finished', 'the work finished', answer)
  }

  async #enforceLease (signal: AbortSignal): Promise<void> {
    for (let remainingMs = this.#remainingLeaseMs(); remainingMs > 0; remainingMs = this.#remainingLeaseMs()) {
      await this.#clock.sleep(remainingMs, signal)
    }
    this.end('lease-ended', 'the lease of the task expired')
  }

  #remainingLeaseMs (): number {
    return this.#leaseEndsAt - this.#clock.monotonicMs()
  }
}
