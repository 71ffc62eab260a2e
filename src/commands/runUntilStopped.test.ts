import { EventEmitter } from 'node:events'
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import type { RunningInstance } from '../instance/runningInstance.ts'
import { runUntilStopped } from './runUntilStopped.ts'

const START_MS = 100

function createInstance (): { readonly calls: string[], readonly instance: RunningInstance } {
  const calls: string[] = []
  let resolveStopped: () => void = () => {}
  const stopped = new Promise<void>(resolve => { resolveStopped = resolve })
  return {
    calls,
    instance: {
      stopped,
      stop: async (elapsedMs = 0) => {
        calls.push(elapsedMs < START_MS / 2 ? 'stop' : 'late stop')
        resolveStopped()
      },
      reload: source => calls.push(`reload: ${source}`),
      logUnexpectedError: error => calls.push(`error: ${String(error)}`)
    }
  }
}

test('an unexpected error is logged and does not end the process', async t => {
  const events = new EventEmitter()
  const { calls, instance } = createInstance()
  const running = runUntilStopped(async () => instance, events)
  await nextTurn()
  t.true(events.emit('uncaughtException', new Error('a bug')), 'without a listener, Node.js ends the process')
  t.true(events.emit('unhandledRejection', new Error('another bug')))
  events.emit('SIGHUP')
  events.emit('SIGTERM')
  await running
  t.deepEqual(calls, ['error: Error: a bug', 'error: Error: another bug', 'reload: SIGHUP', 'stop'])
})

// Guards against exit codes other than 0 from signals and errors between the end of a stop and the end of the process.
test('signals and errors after the stop do not end the process by their default action', async t => {
  const events = new EventEmitter()
  const { calls, instance } = createInstance()
  const running = runUntilStopped(async () => instance, events)
  await nextTurn()
  events.emit('SIGTERM')
  await running
  for (const event of ['SIGTERM', 'SIGINT', 'SIGHUP', 'unhandledRejection', 'uncaughtException']) t.true(events.emit(event), event)
  t.true(calls.includes('error: undefined'))
})

// Guards against a process that ends with a signal or with code 1 because it was told to stop, or met an error, while starting.
test('a stop signal during the start takes effect after it, and an error during the start does not end the process', async t => {
  const events = new EventEmitter()
  const { calls, instance } = createInstance()
  const running = runUntilStopped(async () => {
    t.true(events.emit('SIGTERM'))
    t.true(events.emit('unhandledRejection', new Error('a bug')))
    await delay(START_MS)
    return instance
  }, events)
  await running
  t.deepEqual(calls, ['late stop'], 'the time since the signal counts')
})

test('a stop that fails is reported to the command instead of leaving the process running', async t => {
  const events = new EventEmitter()
  const { instance } = createInstance()
  const running = runUntilStopped(async () => ({ ...instance, stop: async () => { throw new Error('the stop failed') } }), events)
  await nextTurn()
  events.emit('SIGINT')
  await t.throwsAsync(running, { message: 'the stop failed' })
  t.deepEqual(events.eventNames(), [], 'signals end a process in which something is left open')
})

// Guards against a process that ends by the default action of SIGHUP, and against changed settings that it does not read.
test('a reload signal during the start takes effect after it', async t => {
  const events = new EventEmitter()
  const { calls, instance } = createInstance()
  const running = runUntilStopped(async () => {
    t.true(events.emit('SIGHUP'))
    return instance
  }, events)
  await nextTurn()
  events.emit('SIGTERM')
  await running
  t.deepEqual(calls, ['reload: SIGHUP', 'stop'])
})

// Guards against an instance without reload that keeps running after its terminal was closed during the start.
test('a reload signal during the start stops an instance that can not reload, and is left to the default action later', async t => {
  const events = new EventEmitter()
  const { calls, instance: { stopped, stop, logUnexpectedError } } = createInstance()
  await runUntilStopped(async () => {
    t.true(events.emit('SIGHUP'))
    return { stopped, stop, logUnexpectedError }
  }, events)
  t.deepEqual(calls, ['stop'])
  t.is(events.listenerCount('SIGHUP'), 0)
})
