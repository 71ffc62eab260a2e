import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { resources } from '../../model/resources.ts'
import { findWorkload } from '../../workloads/registry.ts'
import { FairQueue } from './fairQueue.ts'
import type { Acceptance, QueueEntry } from './queueEntry.ts'

type Entry = QueueEntry<number>

function createEntry (value: number, changes: Partial<Entry> = {}): Entry {
  const kind = changes.kind ?? 'batch'
  const size = resources({ processors: 1 })
  return { team: 'a', kind, urgency: findWorkload(kind).urgency, size, tasks: 1, bytes: 1, deadlineAt: Infinity, value, ...changes }
}

/** Reference model: an array in order of arrival, sorted for every query. */
class NaiveQueue {
  entries: Entry[] = []

  push (entry: Entry, maximumEntries: number, maximumBytes: number): { accepted: boolean, shed: Entry[] } {
    const kept = [...this.entries, entry]
    const shed: Entry[] = []
    while (kept.length > maximumEntries || kept.reduce((sum, { bytes }) => sum + bytes, 0) > maximumBytes) {
      const worst = kept.reduce((found, candidate) => candidate.urgency >= found.urgency ? candidate : found)
      if (worst === entry) return { accepted: false, shed: [] }
      kept.splice(kept.indexOf(worst), 1)
      shed.push(worst)
    }
    this.entries = kept
    return { accepted: true, shed }
  }

  next (accept: (entry: Entry) => boolean, share: (team: string) => number): Entry | undefined {
    const found = [...this.entries].sort((left, right) => left.urgency - right.urgency || share(left.team) - share(right.team)).find(accept)
    this.entries = this.entries.filter(entry => entry !== found)
    return found
  }
}

const entryArbitrary = fc.record({
  team: fc.constantFrom('a', 'b', 'c'),
  kind: fc.constantFrom('urgent' as const, 'batch' as const, 'service' as const),
  size: fc.constantFrom(1, 2, 3).map(processors => resources({ processors })),
  bytes: fc.integer({ min: 1, max: 6 }),
  deadlineAt: fc.integer({ min: 1, max: 30 })
})
const command = fc.oneof(
  fc.record({ type: fc.constant('push' as const), entry: entryArbitrary }),
  fc.record({ type: fc.constant('push' as const), entry: entryArbitrary }),
  fc.record({ type: fc.constant('next' as const), largest: fc.nat(3), refusedTeam: fc.constantFrom('a', 'b', 'c', 'none') }),
  fc.record({ type: fc.constant('remove' as const), pick: fc.nat() }),
  fc.record({ type: fc.constant('expire' as const), now: fc.nat(30) }))

test('order, shedding, bounds, cancellation and expiry do not differ from a naive queue', t => {
  fc.assert(fc.property(fc.array(command, { maxLength: 80 }), commands => {
    const used: Record<string, number> = { a: 0, b: 0.25, c: 0.5 }
    const weightedShare = (team: string): number => used[team]!
    const queue = new FairQueue<number>({ maximumEntries: 8, maximumBytes: 25, clock: new ManualClock(), weightedShare })
    const naive = new NaiveQueue()
    for (const [index, step] of commands.entries()) {
      if (step.type === 'push') {
        const entry = createEntry(index, step.entry)
        t.deepEqual(queue.push(entry), naive.push(entry, 8, 25))
      } else if (step.type === 'next') {
        const accept = (entry: Entry): boolean => entry.size.processors <= step.largest && entry.team !== step.refusedTeam
        const found = queue.next(accept)
        t.is(found, naive.next(accept, weightedShare))
        if (found !== undefined) used[found.team]! += found.size.processors
      } else if (step.type === 'remove') {
        const entry = naive.entries[step.pick % Math.max(1, naive.entries.length)]
        if (entry !== undefined) t.true(queue.remove(entry))
        if (entry !== undefined) t.false(queue.remove(entry))
        naive.entries = naive.entries.filter(other => other !== entry)
      } else {
        t.deepEqual(new Set(queue.expire(step.now)), new Set(naive.entries.filter(entry => entry.deadlineAt <= step.now)))
        naive.entries = naive.entries.filter(entry => entry.deadlineAt > step.now)
      }
      t.deepEqual([...queue.entries()], naive.entries)
      t.is(queue.bytes, naive.entries.reduce((sum, { bytes }) => sum + bytes, 0))
    }
  }), { seed: 20_262, numRuns: 500 })
})

/** Runs 1-unit tasks of 3 s and one gang of 8 on 8 units; returns the gang's start time and the number of small starts. */
async function simulate (seconds: number, gangTeam: string, limited = false): Promise<{ gangAt: number, small: number }> {
  const clock = new ManualClock()
  const queue = new FairQueue<number>({ maximumEntries: 100, maximumBytes: 1e6, clock, weightedShare: () => 0 })
  let running = Array.from({ length: 8 }, (_, index) => ({ units: 1, endsAt: 375 * (index + 1) }))
  const result = { gangAt: Infinity, small: 0 }
  queue.push(createEntry(-1, { team: gangTeam, kind: 'gang', urgency: 2, tasks: 8 }))
  for (let tick = 0; tick < seconds * 4; tick++) {
    const now = clock.monotonicMs()
    running = running.filter(task => task.endsAt > now)
    while (queue.size < 20) queue.push(createEntry(tick))
    const accept = (entry: Entry): Acceptance => entry.tasks > 1 && limited
      ? 'limited'
      : entry.tasks <= 8 - running.reduce((sum, task) => sum + task.units, 0)
    for (let entry = queue.next(accept); entry !== undefined; entry = queue.next(accept)) {
      running.push({ units: entry.tasks, endsAt: now + 3_000 })
      if (entry.tasks === 8) result.gangAt = now
      else result.small++
      queue.push(createEntry(tick))
    }
    await clock.advance(250)
  }
  return result
}

test('a stream of small entries does not starve a gang, and the gang does not block them for long', async t => {
  for (const team of ['a', 'b']) {
    const { gangAt, small } = await simulate(60, team)
    t.true(gangAt > 5_000 && gangAt < 30_000, `the gang started at ${gangAt} ms`)
    t.true(small > 60, `${small} small tasks started`)
  }
})

test('an entry without an allotment does not reserve capacity that others could use', async t => {
  const { gangAt, small } = await simulate(30, 'b', true)
  t.is(gangAt, Infinity)
  t.true(small > 70, `${small} small tasks started`)
})

test('a team with many sizes neither slows down decisions nor starves one of its sizes', t => {
  const queue = new FairQueue<number>({ maximumEntries: 2_000, maximumBytes: 1e6, clock: new ManualClock(), weightedShare: () => 0 })
  for (let index = 0; index < 500; index++) queue.push(createEntry(index, { size: resources({ processors: 10_000 - index }) }))
  let offered = 0
  for (let decision = 0; decision < 100; decision++) {
    const found = queue.next(entry => offered++ >= 0 && entry.value === 499)
    if (found !== undefined) return t.true(offered <= 16 * (decision + 1))
  }
  t.fail('the only entry that fits was never offered')
})

/** Returns the number of reads of entry fields during a burst of cancellations, with decisions in between. */
function countReads (entries: number, order: 'oldest' | 'newest'): number {
  const queue = new FairQueue<number>({ maximumEntries: 1e6, maximumBytes: 1e9, clock: new ManualClock(), weightedShare: () => 0 })
  let reads = 0
  const burst = Array.from({ length: entries }, (_, index) => new Proxy(createEntry(index, { team: `t${index % 5}` }), {
    get (target, name) {
      reads++
      return Reflect.get(target, name)
    }
  }))
  for (const entry of burst) queue.push(entry)
  reads = 0
  if (order === 'newest') burst.reverse()
  for (const [index, entry] of burst.entries()) {
    queue.remove(entry)
    if (index % 10 === 0) queue.next(() => false)
    queue.expire(0)
  }
  return reads
}

test('the cost of a burst of cancellations is at most linear', t => {
  for (const order of ['oldest', 'newest'] as const) t.true(countReads(8_000, order) <= 8.1 * countReads(1_000, order))
})
