import test from 'ava'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { AdviceQuestion, AllowedTarget, PlacementAdvisor } from '../../ports/placementAdvisor.ts'
import { AdviceLanes, QuestionNotNeededError } from './adviceLanes.ts'

/** Serves questions serially, as the advisor does for each calling instance. */
class SerialAdvisor implements PlacementAdvisor {
  readonly #clock: ManualClock
  #line: Promise<unknown> = Promise.resolve()

  constructor (clock: ManualClock) {
    this.#clock = clock
  }

  async ask ({ expectedMs }: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    const answer = this.#line.then(async () => await this.#clock.sleep(expectedMs))
    this.#line = answer
    await answer
    return []
  }
}

function createLanes (clock: ManualClock, count: number): AdviceLanes {
  const lanes = new AdviceLanes(clock)
  lanes.setLanes(Array.from({ length: count }, (_, number) => ({ name: `entry-${number}`, advisor: new SerialAdvisor(clock), weight: 1 })))
  return lanes
}

/** Asks at the given times and returns how long each answer took. */
async function measure (clock: ManualClock, lanes: AdviceLanes, questions: readonly { readonly atMs: number, readonly expectedMs: number, readonly rank: number }[]): Promise<readonly number[]> {
  const waits: number[] = []
  for (const [position, { atMs, expectedMs, rank }] of questions.entries()) {
    await clock.advance(Math.max(0, atMs - clock.monotonicMs()))
    const askedMs = clock.monotonicMs()
    lanes.ask({ step: `job-${position}.0.0`, targets: [], expectedMs }, rank).then(() => { waits[position] = clock.monotonicMs() - askedMs }, () => {})
  }
  await clock.advance(60_000)
  return waits
}

test('burst of long questions: short ones never wait behind them', async t => {
  const clock = new ManualClock()
  const long = Array.from({ length: 30 }, (_, position) => ({ atMs: position * 10, expectedMs: 830, rank: 1 }))
  const short = Array.from({ length: 60 }, (_, position) => ({ atMs: position * 15, expectedMs: 12, rank: 0 }))
  const questions = [...long, ...short].sort((left, right) => left.atMs - right.atMs)
  const waits = await measure(clock, createLanes(clock, 7), questions)
  const slowest = Math.max(...questions.flatMap((question, position) => question.rank === 0 ? [waits[position] ?? Infinity] : []))
  t.true(slowest <= 40, `slowest short answer after ${slowest} ms`)
})

test('one lane cannot sustain the normal load that seven lanes sustain', async t => {
  const normalLoad = Array.from({ length: 20 }, (_, position) => ({ atMs: position * 800, expectedMs: 830, rank: 1 }))
  const one = await measure(new ManualClock(), createLanes(new ManualClock(), 1), []).then(async () => {
    const clock = new ManualClock()
    return await measure(clock, createLanes(clock, 1), normalLoad)
  })
  const clock = new ManualClock()
  const seven = await measure(clock, createLanes(clock, 7), normalLoad)
  t.true(Math.max(...one) > 1_300)
  t.true(Math.max(...seven) <= 840)
})

test('fractional expected times leave no residual backlog on an idle lane', async t => {
  const clock = new ManualClock()
  const lanes = createLanes(clock, 1)
  const short = Array.from({ length: 40 }, (_, position) => ({ atMs: position * 7, expectedMs: 8.1 + position * 0.0123, rank: 0 }))
  await measure(clock, lanes, short)
  const [wait] = await measure(clock, lanes, [{ atMs: clock.monotonicMs(), expectedMs: 109.917, rank: 1 }])
  t.true((wait ?? Infinity) < 200, `answered after ${wait} ms`)
})

test('a failing lane is not used during its backoff, and its question is rejected', async t => {
  const clock = new ManualClock()
  const lanes = new AdviceLanes(clock)
  let asked = 0
  lanes.setLanes([{ name: 'entry-1', advisor: { ask: async () => { asked += 1; throw new Error('busy') } }, weight: 1 }])
  await t.throwsAsync(lanes.ask({ step: 'a.0.0', targets: [], expectedMs: 10 }, 0), { message: 'busy' })
  const second = lanes.ask({ step: 'b.0.0', targets: [], expectedMs: 10 }, 0)
  await clock.settle()
  t.is(asked, 1)
  await Promise.all([t.throwsAsync(second), clock.advance(1_100)])
  t.is(asked, 2)
})

test('stream of short questions: idle lanes take turns, small instances less often', async t => {
  const clock = new ManualClock()
  const asked = new Map<string, number>()
  const lanes = new AdviceLanes(clock)
  lanes.setLanes([0.3, 0.3, 0.3, 1.2].map((weight, number) => {
    const name = `entry-${number}`
    return {
      name,
      weight,
      advisor: {
        ask: async () => {
          asked.set(name, (asked.get(name) ?? 0) + 1)
          return []
        }
      }
    }
  }))
  await measure(clock, lanes, Array.from({ length: 210 }, (_, position) => ({ atMs: position * 20, expectedMs: 10, rank: 0 })))
  t.deepEqual([...asked.values()].reduce((sum, count) => sum + count, 0), 210)
  for (const name of ['entry-0', 'entry-1', 'entry-2']) t.true(Math.abs((asked.get(name) ?? 0) - 30) <= 1, `${name}: ${asked.get(name)}`)
})

test('an instance that was replaced at another address is not asked at the old one', async t => {
  const lanes = new AdviceLanes(new ManualClock())
  const asked: string[] = []
  const lane = (address: string) => ({ name: 'entry-1', weight: 1, advisor: { ask: async () => { asked.push(address); return [] } } })
  for (const address of ['old', 'new']) {
    lanes.setLanes([lane(address)])
    await lanes.ask({ step: 'a.0.0', targets: [], expectedMs: 10 }, 0)
  }
  t.deepEqual(asked, ['old', 'new'])
})

// Guards against lanes that are taken by questions about jobs that have ended, while hundreds of jobs wait for advice.
test('flood of cancelled jobs: the advisor is not asked about those that ended while their questions waited', async t => {
  const clock = new ManualClock()
  const asked: string[] = []
  const lanes = new AdviceLanes(clock)
  const advisor: PlacementAdvisor = {
    async ask ({ step, expectedMs }) {
      asked.push(step)
      await clock.sleep(expectedMs)
      return []
    }
  }
  lanes.setLanes([{ name: 'entry-1', advisor, weight: 1 }])
  const outcomes = Array.from({ length: 100 }, async (_, job) =>
    await lanes.ask({ step: `job-${job}.0.0`, targets: [], expectedMs: 600 }, 1, () => job === 99 || clock.monotonicMs() < 300)
      .then(() => 'answered', error => error instanceof QuestionNotNeededError ? 'not needed' : String(error)))
  await clock.advance(5_000)
  t.deepEqual(asked, ['job-0.0.0', 'job-99.0.0'])
  t.deepEqual([...new Set(await Promise.all(outcomes))], ['answered', 'not needed'])
})

// Guards against a step that asks a further question although the answer comes long after capacity does.
test('the expected wait for a lane counts the questions ahead, and is zero while a lane is idle', async t => {
  const clock = new ManualClock()
  const lanes = createLanes(clock, 3)
  const waits = [lanes.expectedWaitMs(600, 1)]
  for (let job = 0; job < 5; job++) lanes.ask({ step: `job-${job}.0.0`, targets: [], expectedMs: 600 }, 1).catch(() => {})
  waits.push(lanes.expectedWaitMs(600, 1), lanes.expectedWaitMs(600, 0), lanes.expectedWaitMs(12, 0))
  t.deepEqual(waits, [0, 3_000, 600, 0])
  await clock.advance(10_000)
  t.is(lanes.expectedWaitMs(600, 1), 0)
})
