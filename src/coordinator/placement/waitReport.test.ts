import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { Logger } from '../../observability/logger.ts'
import type { TargetSession } from '../targets/targetSession.ts'
import { createAssignments } from '../testing/assignments.ts'
import { WaitReport } from './waitReport.ts'

// Guards against accepted work that does not run and of which no log line says why.
test('the steps that have had nothing running for longest are logged with the reason, a few per interval', async t => {
  const clock = new ManualClock()
  const lines: { readonly step: string, readonly assigned: unknown, readonly idleMs: number, readonly overdueSteps: number }[] = []
  const logger = { info: (line: typeof lines[number]) => lines.push(line) } as unknown as Logger
  const report = new WaitReport({ clock, logger, explain: () => ({ reason: 'cap' }) })
  const session = { id: 'worker-1' } as unknown as TargetSession
  const running = createAssignments('running').map(assignment => ({ session, assignment }))
  const halfRunning = createAssignments('lasting', 2, { longRunning: true }).slice(0, 1).map(assignment => ({ session, assignment }))
  const stopping = createAssignments('stopping', 1, {}, 'stopping').map(assignment => ({ session, assignment }))
  const placed = [...running, ...halfRunning, ...stopping]
  const waiting = Array.from({ length: 50 }, (_, number) => createAssignments(`waiting-${number}`)[0])
  const steps = [...placed.map(({ assignment }) => assignment.task.step), ...waiting.flatMap(assignment => assignment?.task.step ?? [])]
  for (let second = 0; second < 10; second++) {
    report.update(steps, placed)
    await clock.advance(1_000)
  }
  t.snapshot(lines.map(({ step, assigned, idleMs, overdueSteps }) => ({ step, assigned, idleMs, overdueSteps })))
})
