import test from 'ava'
import { resources } from '../../src/model/resources.ts'
import { Cell } from './cell.ts'
import { findViolations } from './checker.ts'
import { createRequest } from './layout.ts'
import { runCase } from './scenario.ts'
import type { Case } from './scenario.ts'

/** Cases that violated a promise in the past, keyed by the failure that they guard against. */
const CASES: Readonly<Record<string, Case>> = {
  'a planned stop waits for its open requests when the store fails at the end of the hand-over': {
    seed: 1, faults: ['store down'], step: 'leave', phase: 'before'
  }
}

for (const [title, testCase] of Object.entries(CASES)) {
  test.serial(title, async t => {
    t.deepEqual(await runCase(testCase), [])
  })
}

test.serial('a gang is not reported as not-run if one of its tasks ran and another did not start', async t => {
  const cell = new Cell(1)
  await cell.start(5_000)
  cell.stopRequests()
  cell.observations.faultsPreserveOpenRequests = false
  cell.chooseTargetFault = ({ method, taskId }) => method === 'start' ? { type: taskId?.endsWith('-0') === true ? 'loseCall' : 'loseAnswer' } : undefined
  for (const node of cell.nodes) {
    const request = createRequest(cell.random, `gang-${node.name}`, { kind: 'gang', team: 'gamma', repeatable: false })
    cell.submit(node, { ...request, body: { ...request.body, tasks: 2 } }).catch(() => {})
  }
  await cell.time.advance(30_000)
  t.true(cell.targets.some(({ history }) => history.some(({ requestId }) => requestId.startsWith('gang-'))))
  t.deepEqual(findViolations(cell.observations), [])
})

test.serial('a gang does not start partially when one of its targets is lost while its claim is written', async t => {
  const lost: string[] = []
  const cell = new Cell(1, {
    node: ({ coordination, scheduling }) => {
      const claim = coordination.claimClient.claim.bind(coordination.claimClient)
      coordination.claimClient.claim = async (...args) => {
        const outcome = await claim(...args)
        const targets = [...new Set(scheduling.placements.held.all().map(({ targetId }) => targetId))]
        if (args[1].startsWith('gang-') && targets.length > 1 && lost.length === 0) {
          lost.push(targets[0]!)
          coordination.ownership.reportFenced(targets[0]!, coordination.ownership.epochOf(targets[0]!)! + 1)
        }
        return outcome
      }
    }
  })
  await cell.start(5_000)
  cell.stopRequests()
  for (const node of cell.nodes) {
    const request = createRequest(cell.random, `gang-${node.name}`, { kind: 'gang', team: 'gamma', repeatable: false })
    const body = { ...request.body, tasks: 2, size: { processors: 5_000 }, payload: { runMs: 100 } }
    cell.submit(node, { ...request, body }).catch(() => {})
    await cell.time.advance(10_000)
  }
  t.is(lost.length, 1)
  t.deepEqual(findViolations(cell.observations), [])
})

test.serial('an owner whose calls are refused as fenced raises its epoch and uses its targets again', async t => {
  const cell = new Cell(1)
  await cell.start(5_000)
  cell.stopRequests()
  for (const target of cell.targets) target.fence(target.epoch + 5)
  const submit = async (id: string): Promise<string> => {
    const { body, ...request } = createRequest(cell.random, id, { kind: 'urgent', team: 'gamma', repeatable: true })
    const answered = cell.submit(cell.nodes[0]!, { ...request, body: { ...body, payload: { for: id } } })
    await cell.time.advance(10_000)
    return (await answered).outcome.type
  }
  for (let index = 0; index < 6; index++) await submit(`first-${index}`)
  t.is(await submit('last'), 'answered')
})

test.serial('a request that an outdated digest sent to a full instance of another region runs once, in its own region', async t => {
  let outdated = false
  const cell = new Cell(1, {
    // While the digest is outdated, m1 considers its own region full and a1 free.
    node: ({ self, configuration, scheduling }) => {
      if (self.name !== 'm1') return
      const { membership } = configuration
      const live = membership.live.bind(membership)
      const largestFree = scheduling.pool.largestFree.bind(scheduling.pool)
      const free = resources({ slots: 4 })
      membership.live = () => outdated
        ? live().filter(({ digest }) => digest.ref.name === 'a1').map(member => ({ ...member, digest: { ...member.digest, free, largestFree: free, queued: 0 } }))
        : live()
      scheduling.pool.largestFree = () => outdated ? resources({}) : largestFree()
      scheduling.waitEstimator.estimate = () => outdated ? 60_000 : 0
    }
  })
  await cell.start(10_000)
  cell.stopRequests()
  await cell.time.advance(20_000)
  const submit = (node: string, id: string, slots: number, runMs: number): void => {
    const { body, ...request } = createRequest(cell.random, id, { kind: 'batch', team: 'gamma', repeatable: true })
    cell.submit(cell.node(node), { ...request, body: { ...body, size: { slots }, deadlineMs: 60_000, payload: { runMs, answer: { for: id } } } }).catch(() => {})
  }
  const findTargets = (id: string): readonly string[] =>
    cell.targets.flatMap(({ info, history }) => history.filter(({ requestId }) => requestId === id).map(() => info.dataCentre))
  for (const [index, node] of ['a1', 'a2', 'b1', 'b2'].entries()) {
    submit(node, `fill-${index}`, 4, 50_000)
    await cell.time.advance(2_000)
  }
  t.deepEqual(['fill-0', 'fill-1', 'fill-2', 'fill-3'].flatMap(findTargets).sort(), ['attica-a', 'attica-a', 'attica-b', 'attica-b'])
  outdated = true
  submit('m1', 'misrouted', 1, 100)
  await cell.time.advance(200)
  outdated = false
  const waiting = cell.nodes.filter(({ instance }) => instance.scheduling.placements.length > 0).map(({ location }) => location.region)
  t.deepEqual(waiting, ['attica'], 'the request waits in the full region')
  await cell.time.advance(5_000)
  t.deepEqual(findTargets('misrouted'), ['macedonia-a'])
  t.deepEqual(findViolations(cell.observations), [])
})
