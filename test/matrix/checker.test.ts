import test from 'ava'
import type { ExecutionContext } from 'ava'
import type { StandInTarget } from '../../src/adapters/target/standInTarget.ts'
import type { ClaimEntry } from '../../src/ports/peerClient.ts'
import type { CallerHandler } from '../../src/ports/callerHandler.ts'
import { Cell } from './cell.ts'
import type { Defects, Step } from './cell.ts'
import { findViolations } from './checker.ts'
import { runCase } from './scenario.ts'

/** Returns a port with some methods replaced. */
function replace<Port extends object> (port: Port, methods: Partial<Record<keyof Port, (...args: never[]) => unknown>>): Port {
  return new Proxy(port, {
    get: (target, name) => {
      const replaced = methods[name as keyof Port]
      if (replaced !== undefined) return replaced
      const member: unknown = Reflect.get(target, name, target)
      return typeof member === 'function' ? member.bind(target) : member
    }
  })
}

async function assertReports (t: ExecutionContext, promises: readonly number[], defects: Defects, faults: readonly string[], step: Step = 'run', seed = 1): Promise<void> {
  const violations = await runCase({ seed, faults, step, defects })
  for (const promise of promises) t.true(violations.some(line => line.startsWith(`${promise} `)), `promise ${promise}: ${violations.slice(0, 5).join('\n')}`)
}

test.serial('the checker reports work on a target that ignores its capacity', async t => {
  const cell = new Cell(1)
  const target = cell.targets[0]!
  const start = { team: 'beta', requestId: 'r', kind: 'batch' as const, name: 'n', payload: { runMs: 1_000 }, epoch: 1, startByWallMs: Infinity, leaseMs: 9_000, detached: false }
  for (const taskId of ['one', 'two']) target.start({ ...start, taskId, size: { ...target.info.capacity, slots: 6 } })
  t.true(findViolations(cell.observations).some(line => line.startsWith('1 ')))
})

test.serial('the checker reports a successor that exceeds capacity and limits when targets neither fence nor report their tasks', async t => {
  const unfenced = (target: StandInTarget): StandInTarget => {
    target.fence = epoch => ({ outcome: 'fenced', tasks: epoch < 0 ? target.usage() : [] })
    return target
  }
  await assertReports(t, [1, 4], { target: unfenced }, ['lease expiry of a paused holder'], 'run', 8)
})

test.serial('the checker reports a duplicate when every claim is answered as claimed', async t => {
  await assertReports(t, [7], {
    node: instance => {
      instance.coordination.claimClient.claim = async () => 'claimed'
      instance.coordination.claimLog.claim = async (entries: readonly ClaimEntry[]) => entries.map(() => 'claimed' as const)
    }
  }, ['delayed list'])
})

test.serial('the checker reports a team above its limit when allotments are ignored', async t => {
  await assertReports(t, [4], { node: instance => { instance.coordination.allotments.trySpend = () => true } }, ['delayed list'])
})

test.serial('the checker reports work with a withdrawn key when freshness is ignored', async t => {
  await assertReports(t, [3], { node: instance => { instance.configuration.freshness.ageMs = () => 0 } }, ['partition from other data centres, the store and the list'], 'reconfigure')
})

test.serial('the checker reports work with a key that never existed when keys are not checked', async t => {
  await assertReports(t, [3], {
    node: instance => {
      instance.scheduling.admission.identify = () => 'beta'
    }
  }, ['delayed list'])
})

test.serial('the checker reports a refusal whose verdict is replaced by not-run', async t => {
  const withFalseVerdict = (callers: CallerHandler): CallerHandler => replace(callers, {
    run: async function * (...args: Parameters<CallerHandler['run']>) {
      try {
        yield * callers.run(...args)
      } catch (error) {
        throw Object.assign(error as Error, { verdict: 'not-run' })
      }
    }
  })
  await assertReports(t, [6], { callers: withFalseVerdict }, ['targets fail every call'])
})

test.serial('the checker reports answers that are truncated or belong to another request', async t => {
  const withTruncatedChunks = (callers: CallerHandler): CallerHandler => replace(callers, {
    run: async function * (...args: Parameters<CallerHandler['run']>) {
      for await (const event of callers.run(...args)) yield event.type === 'chunk' ? { ...event, bytes: event.bytes.subarray(1) } : event
    }
  })
  await assertReports(t, [5], { callers: withTruncatedChunks }, ['delayed list'])
})

test.serial('the checker reports streams that stop without an end event in the absence of failures', async t => {
  const withoutEndEvent = (callers: CallerHandler): CallerHandler => replace(callers, {
    run: async function * (...args: Parameters<CallerHandler['run']>) {
      for await (const event of callers.run(...args)) if (event.type !== 'end') yield event
    }
  })
  await assertReports(t, [9, 0], { callers: withoutEndEvent }, ['planned drain'])
})

test.serial('the checker reports a leaving target that still gets work', async t => {
  await assertReports(t, [8], { node: instance => { instance.scheduling.targetAvailability.isDrained = () => false } }, ['delayed list'])
})

test.serial('the checker reports a task that runs on two targets when an unknown outcome counts as a confirmed stop', async t => {
  await assertReports(t, [2], {
    node: instance => {
      const { tracker } = instance.scheduling
      tracker.stop = async taskId => {
        tracker.complete(taskId, { outcome: 'ended', state: 'stopped' })
        return { outcome: 'ended', state: 'stopped' }
      }
    }
  }, ['lost target calls and answers'], 'run', 2)
})

test.serial('the checker reports a planned stop that does not drain', async t => {
  await assertReports(t, [9], { node: instance => { instance.drain = async () => {} } }, ['planned drain'])
})

test.serial('the checker reports changes that are acknowledged as accepted but not written, and versions that regress', async t => {
  await assertReports(t, [10], {
    node: instance => {
      const { submitChange } = instance.operators
      instance.operators.submitChange = async (submission, signal) => submission.id === 'change-withdraw'
        ? { outcome: 'accepted', version: 2, confirmations: [], aboveLimit: [] }
        : await submitChange.call(instance.operators, submission, signal)
    }
  }, ['delayed list'])
})
