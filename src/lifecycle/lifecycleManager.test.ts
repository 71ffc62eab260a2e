import test from 'ava'
import { LifecycleManager } from './lifecycleManager.ts'
import type { Component } from './component.ts'

function createRecordingComponent (name: string, events: string[], failing: 'start' | 'stop' | 'hang' | 'none' = 'none'): Component {
  return {
    name,
    async start () {
      if (failing === 'start') throw new Error(`${name} can not start`)
      events.push(`start ${name}`)
    },
    async stop () {
      if (failing === 'stop') throw new Error(`${name} can not stop`)
      if (failing === 'hang') await new Promise(() => {})
      events.push(`stop ${name}`)
    }
  }
}

test('components are stopped after those that depend on them', async t => {
  const events: string[] = []
  const manager = new LifecycleManager(1_000)
  manager.add(createRecordingComponent('store', events))
  manager.add(createRecordingComponent('server', events))
  await manager.start()
  await manager.stop()
  t.deepEqual(events, ['start store', 'start server', 'stop server', 'stop store'])
})

test('a failed start stops the components that were already started', async t => {
  const events: string[] = []
  const manager = new LifecycleManager(1_000)
  manager.add(createRecordingComponent('store', events))
  manager.add(createRecordingComponent('server', events, 'start'))
  await t.throwsAsync(manager.start(), { message: 'server can not start' })
  t.deepEqual(events, ['start store', 'stop store'])
})

test('a component whose stop hangs or fails does not prevent the others from stopping', async t => {
  const events: string[] = []
  const manager = new LifecycleManager(5)
  manager.add(createRecordingComponent('store', events))
  manager.add(createRecordingComponent('peers', events, 'stop'))
  manager.add(createRecordingComponent('server', events, 'hang'))
  await manager.start()
  const failures = await manager.stop()
  t.deepEqual(failures.map(failure => failure.component), ['server', 'peers'])
  t.deepEqual(events, ['start store', 'start peers', 'start server', 'stop store'])
})

// Guards against time-outs of the single components that add up beyond the time after which the platform kills the process.
test('components that hang share the time of the whole stop', async t => {
  const events: string[] = []
  const manager = new LifecycleManager(60_000)
  for (const name of ['store', 'peers']) manager.add(createRecordingComponent(name, events, 'hang'))
  manager.add(createRecordingComponent('server', events))
  await manager.start()
  const failures = await manager.stop(20)
  t.deepEqual(failures.map(failure => failure.component), ['peers', 'store'])
  t.true(events.includes('stop server'))
})
