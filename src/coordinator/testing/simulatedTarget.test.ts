import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { JobTargetClient } from '../../ports/jobTarget.ts'
import { RunRecorder } from './runRecorder.ts'
import { SimulatedTarget } from './simulatedTarget.ts'
import type { SimulatedTargetOptions } from './simulatedTarget.ts'

function createTarget (options: Partial<SimulatedTargetOptions> = {}): { clock: ManualClock, target: SimulatedTarget, client: JobTargetClient } {
  const clock = new ManualClock()
  const target = new SimulatedTarget({ id: 'worker-0', clock, workMs: () => Infinity, endOf: () => 'done', lateMs: 0, recorder: new RunRecorder(clock), ...options })
  return { clock, target, client: target.connect({ id: 'worker-0', bornMs: target.bornMs }) }
}

// Guards against a search that varies clocks without effect: the difference is to what the earlier clock shows at the restart, at its own rate.
test('the clock of the next incarnation begins at the given difference and runs at its own rate', async t => {
  const { clock, target } = createTarget({ initialClockMs: 1_000, initialClockRate: 0.98 })
  await clock.advance(10_000)
  t.is(target.issueTicket(), '1@10800')
  target.restart({ clockDifferenceMs: 500, clockRate: 1.02 })
  t.is(target.issueTicket(), '2@11300')
  await clock.advance(1_000)
  t.is(target.issueTicket(), '2@12320')
  target.restart()
  t.is(target.issueTicket(), '3@0')
})

// Guards against two incarnations with one start time, which the platform excludes.
test('the start time of an incarnation differs from all earlier ones, also when it steps back', t => {
  const { target } = createTarget({ initialBornMs: 10 })
  const born = [-1, -5, 4, 1, 1].map(bornDifferenceMs => {
    target.restart({ bornDifferenceMs })
    return target.bornMs
  })
  t.deepEqual(born, [9, 4, 8, 11, 12])
})

// Guards against leases that end by the coordinator's clock, though a target measures them by its own.
test('a lease of a slow clock lasts longer', async t => {
  const { clock, target, client } = createTarget({ initialClockRate: 0.98 })
  const started = client.start({ task: 'task', attempt: 1, spec: '', leaseUntilTargetMs: 4_900, fencingToken: 1, checkpoint: '' })
  await clock.advance(4_990)
  t.like(await started, { outcome: 'started' })
  t.deepEqual(target.running, ['task'])
  await clock.advance(20)
  t.deepEqual(target.running, [])
})
