import test from 'ava'
import { Cell } from './cell.ts'
import { findViolations } from './checker.ts'
import { createRequest } from './layout.ts'
import { runCase } from './scenario.ts'
import type { Case } from './scenario.ts'

/** Cases that once broke a promise, by the failure that they guard against. */
const CASES: Readonly<Record<string, Case>> = {
  'a gang of which one target was handed over before the start does not start in part': {
    seed: 21051, faults: ['planned drain', 'store answers lost after their effect'], step: 'send', phase: 'before'
  },
  'a planned stop waits for its open requests when the store fails at the end of the hand-over': {
    seed: 1, faults: ['store down'], step: 'leave', phase: 'before'
  }
}

for (const [title, given] of Object.entries(CASES)) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(given), [])
  })
}

test.serial('a gang of which one task ran does not count as not run when another one did not start', async t => {
  const cell = new Cell(1)
  await cell.start(5_000)
  cell.quieten()
  cell.seen.gentle = false
  cell.targetFault = ({ method, taskId }) => method === 'start' ? { type: taskId?.endsWith('-0') === true ? 'loseCall' : 'loseAnswer' } : undefined
  for (const node of cell.nodes) {
    const request = createRequest(cell.random, `gang-${node.name}`, { kind: 'gang', team: 'gamma', repeatable: false })
    cell.submit(node, { ...request, body: { ...request.body, tasks: 2 } }).catch(() => {})
  }
  await cell.time.advance(30_000)
  t.true(cell.targets.some(({ history }) => history.some(({ requestId }) => requestId.startsWith('gang-'))))
  t.deepEqual(findViolations(cell.seen), [])
})
