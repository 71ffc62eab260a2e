/** An in-process client for stand-in targets, with fault injection; for tests and benchmarks. */
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { FenceResult, StartResult, TargetClient, TaskCommand, TaskStart } from '../../ports/targetClient.ts'
import type { StandInAnswer } from './standInWork.ts'
import type { StandInTarget } from './standInTarget.ts'
import type { StandInTask } from './standInTask.ts'
import { IncompleteAnswerError, TargetUnknownError, TargetUnreachableError } from './targetErrors.ts'
import type { ChooseTargetFault, TargetCall, TargetFault } from './targetFault.ts'

type CallDescription = Omit<TargetCall, 'index'>

/**
 * Calls stand-in targets by identity. A target that was not added is unreachable.
 *
 * @example
 * const client = new MemoryTargetClient(clock, targets, call => call.method === 'start' ? { type: 'loseAnswer' } : undefined)
 */
export class MemoryTargetClient implements TargetClient {
  /** Chooses the fault for each call; assign it to start or end a fault. */
  chooseFault: ChooseTargetFault
  readonly #clock: Clock
  readonly #targets = new Map<string, StandInTarget>()
  #index = 0

  constructor (clock: Clock, targets: Iterable<StandInTarget>, chooseFault: ChooseTargetFault = () => undefined) {
    this.#clock = clock
    this.chooseFault = chooseFault
    for (const target of targets) this.add(target)
  }

  add (target: StandInTarget): void {
    this.#targets.set(target.info.id, target)
  }

  fence (target: TargetInfo, epoch: number, signal?: AbortSignal): Promise<FenceResult> {
    return this.#call({ targetId: target.id, method: 'fence' }, async standIn => standIn.fence(epoch), signal)
  }

  async start (target: TargetInfo, start: TaskStart, signal?: AbortSignal): Promise<StartResult> {
    const call = { targetId: target.id, method: 'start' as const, taskId: start.taskId }
    try {
      return await this.#call(call, (standIn, fault) => startTask(standIn, start, fault), signal)
    } catch (error) {
      if (error instanceof TargetUnreachableError) return { outcome: 'unreachable', message: error.message }
      if (error instanceof TargetUnknownError) return { outcome: 'unknown', message: error.message }
      throw error
    }
  }

  renew (target: TargetInfo, taskId: string, epoch: number, leaseMs: number, signal?: AbortSignal): Promise<TaskReport | undefined> {
    const call = { targetId: target.id, method: 'renew' as const, taskId }
    return this.#call(call, async standIn => standIn.renew(taskId, epoch, leaseMs), signal)
  }

  command (target: TargetInfo, taskId: string, epoch: number, command: TaskCommand, signal?: AbortSignal): Promise<TaskReport | undefined> {
    const call = { targetId: target.id, method: 'command' as const, taskId }
    return this.#call(call, async standIn => standIn.command(taskId, epoch, command), signal)
  }

  inspect (target: TargetInfo, taskId: string, signal?: AbortSignal): Promise<TaskReport | undefined> {
    return this.#call({ targetId: target.id, method: 'inspect', taskId }, async standIn => standIn.inspect(taskId), signal)
  }

  usage (target: TargetInfo, signal?: AbortSignal): Promise<readonly TaskReport[]> {
    return this.#call({ targetId: target.id, method: 'usage' }, async standIn => standIn.usage(), signal)
  }

  async #call<T> (
    call: CallDescription, perform: (target: StandInTarget, fault?: TargetFault) => Promise<T>, signal?: AbortSignal
  ): Promise<T> {
    const fault = this.chooseFault({ ...call, index: this.#index++ })
    if (signal?.aborted) throw new TargetUnreachableError('the call was aborted before it was sent:', { cause: signal.reason })
    if (fault?.type === 'unreachable') throw createUnreachableError(call)
    const target = this.#getReachable(call)
    if (fault?.type === 'loseCall') throw createUnknownError(call)
    if (fault?.type === 'duplicate') this.#deliver(fault.afterMs, target, call, perform).catch(() => {})
    const performed = fault?.type === 'delay'
      ? this.#deliver(fault.durationMs, target, call, perform)
      : perform(target, fault)
    if (fault?.type === 'loseAnswer') {
      performed.catch(() => {})
      throw createUnknownError(call)
    }
    const result = await rejectOnAbort(performed, call, signal)
    if (fault?.type === 'delayAnswer') await this.#delay(fault.durationMs, call, signal)
    return result
  }

  #getReachable (call: CallDescription): StandInTarget {
    const target = this.#targets.get(call.targetId)
    if (target === undefined || target.crashed) throw createUnreachableError(call)
    return target
  }

  async #delay (durationMs: number, call: CallDescription, signal?: AbortSignal): Promise<void> {
    try {
      await this.#clock.sleep(durationMs, signal)
    } catch {
      throw createUnknownError(call)
    }
  }

  /** Performs a call after a transit delay, even if its caller has stopped waiting. */
  async #deliver<T> (
    durationMs: number, target: StandInTarget, call: CallDescription, perform: (target: StandInTarget) => Promise<T>
  ): Promise<T> {
    await this.#clock.sleep(durationMs)
    if (target.crashed) throw createUnknownError(call)
    return await perform(target)
  }
}

async function startTask (target: StandInTarget, start: TaskStart, fault?: TargetFault): Promise<StartResult> {
  const closeConnection = target.openConnection()
  try {
    const started = target.start(start)
    if (started.outcome === 'refused') return started
    return await awaitAnswer(started.task, start, fault)
  } finally {
    closeConnection()
  }
}

async function awaitAnswer (task: StandInTask, start: TaskStart, fault?: TargetFault): Promise<StartResult> {
  const reply = await task.reply()
  if (reply.outcome === 'lost') throw new TargetUnknownError(reply.message)
  if (reply.outcome === 'failed') return reply
  return {
    outcome: 'started',
    answer: {
      taskId: fault?.type === 'echo' ? fault.taskId : start.taskId,
      contentType: reply.answer.contentType,
      body: readBody(reply.answer, fault?.type === 'truncate' ? fault.afterBytes : Infinity)
    }
  }
}

async function * readBody (answer: StandInAnswer, limitBytes: number): AsyncIterable<Uint8Array> {
  let remainingBytes = limitBytes
  for (const chunk of answer.chunks()) {
    const part = chunk.subarray(0, remainingBytes)
    if (part.length > 0) yield part
    remainingBytes -= part.length
    if (part.length < chunk.length) throw new IncompleteAnswerError(`the response body ended after ${limitBytes} of ${answer.byteCount} bytes`)
  }
}

function rejectOnAbort<T> (performed: Promise<T>, call: CallDescription, signal?: AbortSignal): Promise<T> {
  if (signal === undefined) return performed
  return new Promise((resolve, reject) => {
    const onAbort = (): void => reject(createUnknownError(call))
    signal.addEventListener('abort', onAbort, { once: true })
    performed.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
  })
}

function createUnreachableError (call: CallDescription): Error {
  return new TargetUnreachableError(`target ${call.targetId} is unreachable: ${call.method}`)
}

function createUnknownError (call: CallDescription): Error {
  return new TargetUnknownError(`target ${call.targetId} did not respond: ${call.method}`)
}
