import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { PeriodicTask } from './periodicTask.ts'

function createTask (action: () => Promise<void>) {
  const clock = new ManualClock()
  return { clock, task: new PeriodicTask('test', clock, 1_000, action, () => {}) }
}

test('a run that is requested early takes place at once, and the next one an interval after it', async t => {
  const runsAtMs: number[] = []
  const { clock, task } = createTask(async () => { runsAtMs.push(clock.monotonicMs() - startMs) })
  const startMs = clock.monotonicMs()
  await task.start()
  await clock.advance(300)
  task.runNow()
  await clock.advance(1_100)
  t.deepEqual(runsAtMs, [0, 300, 1_300])
  await task.stop()
})

test('a stop during a run or a wait does not take another interval', async t => {
  let end: () => void = () => {}
  const { task } = createTask(async () => await new Promise(resolve => { end = resolve }))
  await task.start()
  const stopped = task.stop()
  end()
  await stopped
  const waiting = createTask(async () => {})
  await waiting.task.start()
  await waiting.clock.advance(300)
  await waiting.task.stop()
  t.pass('the clock did not advance')
})
