/** Index of the tasks that hold capacity and allotment on this instance, by task, target and request. */
import type { KindName } from '../../model/request.ts'
import type { Resources } from '../../model/resources.ts'

/** A task that holds capacity and allotment. */
export interface HeldTask {
  readonly taskId: string
  readonly targetId: string
  readonly team: string
  readonly requestId: string
  readonly kind: KindName
  readonly size: Resources
  readonly repeatable: boolean
  /** Monotonic time of the placement. */
  readonly startedAt: number
}

export class HeldTasks {
  readonly #byId = new Map<string, HeldTask>()
  readonly #byTarget = new Map<string, Set<HeldTask>>()
  readonly #byRequest = new Map<string, Set<HeldTask>>()

  add (task: HeldTask): void {
    this.#byId.set(task.taskId, task)
    addTo(this.#byTarget, task.targetId, task)
    addTo(this.#byRequest, requestKey(task.team, task.requestId), task)
  }

  /** Removes and returns a task; undefined if it is not held. */
  remove (taskId: string): HeldTask | undefined {
    const task = this.#byId.get(taskId)
    if (task === undefined) return undefined
    this.#byId.delete(taskId)
    removeFrom(this.#byTarget, task.targetId, task)
    removeFrom(this.#byRequest, requestKey(task.team, task.requestId), task)
    return task
  }

  find (taskId: string): HeldTask | undefined {
    return this.#byId.get(taskId)
  }

  all (): readonly HeldTask[] {
    return [...this.#byId.values()]
  }

  onTarget (targetId: string): readonly HeldTask[] {
    return [...this.#byTarget.get(targetId) ?? []]
  }

  /** Tasks of one request; an index lookup instead of a scan, since cancellations come in bursts. */
  ofRequest (team: string, requestId: string): readonly HeldTask[] {
    return [...this.#byRequest.get(requestKey(team, requestId)) ?? []]
  }
}

function requestKey (team: string, requestId: string): string {
  return `${team}\n${requestId}`
}

function addTo (index: Map<string, Set<HeldTask>>, key: string, task: HeldTask): void {
  const tasks = index.get(key)
  if (tasks === undefined) index.set(key, new Set([task]))
  else tasks.add(task)
}

function removeFrom (index: Map<string, Set<HeldTask>>, key: string, task: HeldTask): void {
  const tasks = index.get(key)
  tasks?.delete(task)
  if (tasks?.size === 0) index.delete(key)
}
