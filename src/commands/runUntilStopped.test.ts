import { EventEmitter } from 'node:events'
import test from 'ava'
import { runUntilStopped } from './runUntilStopped.ts'

function createInstance (): { readonly calls: string[], readonly instance: Parameters<typeof runUntilStopped>[0] } {
  const calls: string[] = []
  let resolveStopped: () => void = () => {}
  const stopped = new Promise<void>(resolve => { resolveStopped = resolve })
  return {
    calls,
    instance: {
      stopped,
      stop: async () => {
        calls.push('stop')
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
  const running = runUntilStopped(instance, events)
  t.true(events.emit('uncaughtException', new Error('a bug')), 'without a listener, Node.js ends the process')
  t.true(events.emit('unhandledRejection', new Error('another bug')))
  events.emit('SIGHUP')
  events.emit('SIGTERM')
  await running
  t.deepEqual(calls, ['error: Error: a bug', 'error: Error: another bug', 'reload: SIGHUP', 'stop'])
  t.deepEqual(events.eventNames(), [], 'nothing is left on the process')
})

test('a stop that fails is reported to the command instead of leaving the process running', async t => {
  const events = new EventEmitter()
  const { instance } = createInstance()
  const running = runUntilStopped({ ...instance, stop: async () => { throw new Error('the stop failed') } }, events)
  events.emit('SIGINT')
  await t.throwsAsync(running, { message: 'the stop failed' })
})
