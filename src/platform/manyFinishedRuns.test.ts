import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import { Cluster } from './testing/cluster.ts'

const TASKS = 600

// Guards against taking runs for lost whose ends a target does not list yet: it lists 500 at a time.
test('no task is started again after more runs than a target lists at a time have ended in a store outage', async t => {
  const cluster = await Cluster.start(1, { workers: 1, workMs: () => 6_000 })
  const { platform } = cluster
  const body = { spec: 'x', phases: [{ count: TASKS, cpu: 100, mem_mb: 64, estimate_ms: 6_000 }] }
  t.is((await cluster.callUntilServed(0, 'POST', '/checks/00000000000000ce', body)).status, 200)
  await cluster.waitUntil('all tasks have started', () => new Set(cluster.startedTasks('00000000000000ce')).size === TASKS)
  platform.store.fault = 'refusing'
  await cluster.waitUntil('all runs have ended', () => [...platform.workers.values()].every(({ running }) => running.length === 0))
  await delay(1_000)
  platform.store.fault = 'none'
  await cluster.waitForState(0, '/checks/00000000000000ce', 'completed')
  const done = new Set<string>()
  const startedAgain: string[] = []
  for (const { type, task, end } of platform.events) {
    if (type === 'started' && done.has(task)) startedAgain.push(task)
    if (end === 'done') done.add(task)
  }
  t.deepEqual([done.size, startedAgain], [TASKS, []])
  await cluster.stop()
})
